// Open transactions of a holder: each pins one connection of the primary.
#pragma once

#include "rhubarbweir/coordination/proxy/holder_work.hpp"

#include <deque>
#include <map>
#include <vector>

namespace rhubarbweir {

struct OpenTransaction
{
    // The only proxy whose statements may join.
    InstanceId entry;
    Generation generation = 0;
    // Term in which it was begun; it cannot commit in another.
    std::uint64_t term = 0;
    TimePoint deadline;
    // When it ends for want of a statement; max() while one runs.
    TimePoint idleUntil = TimePoint::max();
    // The statement in flight; 0 when none is.
    Ticket running = 0;
    // Statements that wait for it, in the caller's order.
    std::deque<Ticket> waiting;
};

class TransactionTable
{
public:
    void open(const RequestKey &key, OpenTransaction transaction);
    OpenTransaction *find(const RequestKey &key);
    void erase(const RequestKey &key) { this->transactions.erase(key); }

    std::vector<RequestKey> expired(TimePoint now) const;
    std::vector<RequestKey> begunThrough(const InstanceId &entry) const;
    std::vector<RequestKey> beforeTerm(std::uint64_t term) const;
    std::vector<RequestKey> on(Generation generation) const;
    std::size_t size() const { return this->transactions.size(); }
    TimePoint nextDeadline() const;

private:
    std::vector<RequestKey>
    select(const std::function<bool(const OpenTransaction &)> &matches) const;

    // Each generation stands in one transaction at most.
    std::map<RequestKey, OpenTransaction> transactions;
};

} // namespace rhubarbweir
