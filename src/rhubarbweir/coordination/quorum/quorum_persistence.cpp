// See quorum_persistence.hpp.
#include "rhubarbweir/coordination/quorum/quorum_persistence.hpp"

#include <utility>

namespace rhubarbweir {

void QuorumPersistence::setHardState(const QuorumHardState &state)
{
    this->gathered.hardState = state;
}

void QuorumPersistence::append(const QuorumEntry &entry)
{
    this->gathered.entries.push_back(entry);
}

void QuorumPersistence::truncateFrom(std::uint64_t index)
{
    std::vector<QuorumEntry> &entries = this->gathered.entries;
    while (!entries.empty() && entries.back().index >= index)
        entries.pop_back();
    if (!this->gathered.truncateFrom || index < *this->gathered.truncateFrom)
        this->gathered.truncateFrom = index;
}

void QuorumPersistence::setSnapshot(const QuorumSnapshot &snapshot, bool discardEntries)
{
    this->gathered.snapshot = snapshot;
    if (!discardEntries)
        return;
    this->gathered.discardEntries = true;
    this->gathered.truncateFrom.reset();
    this->gathered.entries.clear();
}

void QuorumPersistence::afterSync(std::function<void()> action)
{
    if (this->dirty())
        this->waiting.push_back({this->nextToken, std::move(action)});
    else if (this->outstanding)
        this->waiting.push_back({*this->outstanding, std::move(action)});
    else
        action();
}

std::optional<PersistBatch> QuorumPersistence::nextBatch()
{
    if (this->outstanding || !this->dirty())
        return std::nullopt;
    PersistBatch batch = std::exchange(this->gathered, {});
    batch.token = this->nextToken++;
    this->outstanding = batch.token;
    this->onTheWay = {};
    if (!batch.entries.empty()) {
        this->onTheWay.lastIndex = batch.entries.back().index;
        this->onTheWay.lastTerm = batch.entries.back().term;
    } else if (batch.snapshot && batch.discardEntries) {
        this->onTheWay.lastIndex = batch.snapshot->index;
        this->onTheWay.lastTerm = batch.snapshot->term;
    }
    return batch;
}

QuorumPersistence::Completion QuorumPersistence::complete()
{
    Completion done = std::exchange(this->onTheWay, {});
    const std::uint64_t token = *std::exchange(this->outstanding, std::nullopt);
    while (!this->waiting.empty() && this->waiting.front().token <= token) {
        done.actions.push_back(std::move(this->waiting.front().action));
        this->waiting.pop_front();
    }
    return done;
}

bool QuorumPersistence::dirty() const
{
    return this->gathered.hardState || this->gathered.snapshot || this->gathered.truncateFrom
           || !this->gathered.entries.empty();
}

} // namespace rhubarbweir
