// See quorum_persistence.hpp.
#include "rhubarbweir/coordination/quorum/quorum_persistence.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

// About a minute of answers to a leader's messages.
constexpr std::size_t MaxDeferredActions = 4096;

} // namespace

void QuorumPersistence::setHardState(const QuorumHardState &state)
{
    this->pending.hardState = state;
}

void QuorumPersistence::append(const QuorumEntry &entry)
{
    this->pending.entries.push_back(entry);
}

void QuorumPersistence::truncateFrom(std::uint64_t index)
{
    std::vector<QuorumEntry> &entries = this->pending.entries;
    while (!entries.empty() && entries.back().index >= index)
        entries.pop_back();
    if (!this->pending.truncateFrom || index < *this->pending.truncateFrom)
        this->pending.truncateFrom = index;
}

void QuorumPersistence::setSnapshot(const QuorumSnapshot &snapshot, bool discardEntries)
{
    this->pending.snapshot = snapshot;
    if (!discardEntries)
        return;
    this->pending.discardEntries = true;
    this->pending.truncateFrom.reset();
    this->pending.entries.clear();
}

void QuorumPersistence::afterSync(std::function<void()> action)
{
    const bool mayWait = this->deferredActions.size() < MaxDeferredActions;
    if (!mayWait && (this->hasPendingChanges() || this->inFlightToken))
        return;
    if (this->hasPendingChanges())
        this->deferredActions.push_back({this->nextToken, std::move(action)});
    else if (this->inFlightToken)
        this->deferredActions.push_back({*this->inFlightToken, std::move(action)});
    else
        action();
}

std::optional<PersistBatch> QuorumPersistence::nextBatch()
{
    if (this->inFlightToken || !this->hasPendingChanges())
        return std::nullopt;
    PersistBatch batch = std::exchange(this->pending, {});
    batch.token = this->nextToken++;
    this->inFlightToken = batch.token;
    this->inFlightEnd = {};
    if (!batch.entries.empty()) {
        this->inFlightEnd.lastIndex = batch.entries.back().index;
        this->inFlightEnd.lastTerm = batch.entries.back().term;
    } else if (batch.snapshot && batch.discardEntries) {
        this->inFlightEnd.lastIndex = batch.snapshot->index;
        this->inFlightEnd.lastTerm = batch.snapshot->term;
    }
    return batch;
}

QuorumPersistence::Completion QuorumPersistence::complete()
{
    Completion done = std::exchange(this->inFlightEnd, {});
    const std::uint64_t token = *std::exchange(this->inFlightToken, std::nullopt);
    while (!this->deferredActions.empty() && this->deferredActions.front().token <= token) {
        done.actions.push_back(std::move(this->deferredActions.front().action));
        this->deferredActions.pop_front();
    }
    return done;
}

std::size_t QuorumPersistence::pendingBytes() const
{
    std::size_t bytes = 0;
    for (const QuorumEntry &entry : this->pending.entries)
        bytes += entry.payload.bytes.size();
    return bytes;
}

bool QuorumPersistence::hasPendingChanges() const
{
    return this->pending.hardState || this->pending.snapshot || this->pending.truncateFrom
           || !this->pending.entries.empty();
}

} // namespace rhubarbweir
