// See transaction_table.hpp.
#include "rhubarbweir/coordination/proxy/transaction_table.hpp"

#include <algorithm>

namespace rhubarbweir {

void TransactionTable::open(const RequestKey &key, OpenTransaction transaction)
{
    this->transactions[key] = std::move(transaction);
}

OpenTransaction *TransactionTable::find(const RequestKey &key)
{
    const auto found = this->transactions.find(key);
    return found == this->transactions.end() ? nullptr : &found->second;
}

std::vector<RequestKey> TransactionTable::expired(TimePoint now) const
{
    return this->select([&](const OpenTransaction &each) {
        return std::min(each.deadline, each.idleUntil) <= now;
    });
}

std::vector<RequestKey> TransactionTable::ofEntryProxy(const InstanceId &entryProxy) const
{
    return this->select([&](const OpenTransaction &each) { return each.entryProxy == entryProxy; });
}

std::vector<RequestKey> TransactionTable::beforeTerm(std::uint64_t term) const
{
    return this->select([&](const OpenTransaction &each) { return each.term < term; });
}

std::vector<RequestKey> TransactionTable::onConnection(Generation generation) const
{
    return this->select([&](const OpenTransaction &each) { return each.generation == generation; });
}

TimePoint TransactionTable::nextDeadline() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[key, transaction] : this->transactions)
        next = std::min({next, transaction.deadline, transaction.idleUntil});
    return next;
}

std::vector<RequestKey>
TransactionTable::select(const std::function<bool(const OpenTransaction &)> &matches) const
{
    std::vector<RequestKey> keys;
    for (const auto &[key, transaction] : this->transactions) {
        if (matches(transaction))
            keys.push_back(key);
    }
    return keys;
}

} // namespace rhubarbweir
