// Open transactions of a holder. Each has a connection to the primary to itself.
#pragma once

#include "rhubarbweir/coordination/proxy/pending_request.hpp"

#include <deque>
#include <map>
#include <vector>

namespace rhubarbweir {

struct OpenTransaction
{
    // Only this proxy may send statements of the transaction.
    InstanceId entryProxy;
    Generation generation = 0;
    // Term in which the transaction was begun; it cannot commit in another one.
    std::uint64_t term = 0;
    TimePoint deadline;
    // When the idle timeout ends the transaction; max() while a statement runs.
    TimePoint idleUntil = TimePoint::max();
    // Statement in flight; 0 if none.
    Ticket running = 0;
    // Statements queued behind it, in the caller's order.
    std::deque<Ticket> waiting;
};

class TransactionTable
{
public:
    void open(const RequestKey &key, OpenTransaction transaction);
    OpenTransaction *find(const RequestKey &key);
    void erase(const RequestKey &key) { this->transactions.erase(key); }

    std::vector<RequestKey> expired(TimePoint now) const;
    std::vector<RequestKey> ofEntryProxy(const InstanceId &entryProxy) const;
    std::vector<RequestKey> beforeTerm(std::uint64_t term) const;
    std::vector<RequestKey> onConnection(Generation generation) const;
    std::size_t size() const { return this->transactions.size(); }
    TimePoint nextDeadline() const;

private:
    std::vector<RequestKey>
    select(const std::function<bool(const OpenTransaction &)> &matches) const;

    // Each generation belongs to at most one transaction.
    std::map<RequestKey, OpenTransaction> transactions;
};

} // namespace rhubarbweir
