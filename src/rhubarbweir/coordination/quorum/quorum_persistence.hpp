// Collects changes into batches for the disk, at most one of them in flight, and defers messages
// until the changes that they depend on are synced.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_messages.hpp"
#include "rhubarbweir/coordination/quorum/quorum_storage.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace rhubarbweir {

class QuorumPersistence
{
public:
    void setHardState(const QuorumHardState &state);
    void append(const QuorumEntry &entry);
    void truncateFrom(std::uint64_t index);
    void setSnapshot(const QuorumSnapshot &snapshot, bool discardEntries);

    // Runs `action` once all changes made so far are durable; immediately if they already are.
    // Dropped like a lost message if too many wait, as the disk has been full or stalled for long.
    void afterSync(std::function<void()> action);
    // Returns the next batch unless there are no changes or a batch is in flight.
    std::optional<PersistBatch> nextBatch();
    // Payload bytes of entries that are in no batch yet.
    std::size_t pendingBytes() const;
    bool isOutstanding(std::uint64_t token) const
    {
        return this->inFlightToken && *this->inFlightToken == token;
    }

    struct Completion
    {
        // Last entry, or snapshot, that became durable; index 0 if neither did.
        std::uint64_t lastIndex = 0;
        std::uint64_t lastTerm = 0;
        // Actions deferred until the batch was durable, in order.
        std::vector<std::function<void()>> actions;
    };
    // Marks the batch in flight as durable.
    Completion complete();

private:
    struct DeferredAction
    {
        std::uint64_t token;
        std::function<void()> action;
    };

    bool hasPendingChanges() const;

    // Changes that are in no batch yet; the next batch gets the token nextToken.
    PersistBatch pending;
    std::uint64_t nextToken = 1;
    std::optional<std::uint64_t> inFlightToken;
    // Last entry of the batch in flight.
    Completion inFlightEnd;
    // Ordered by token.
    std::deque<DeferredAction> deferredActions;
};

} // namespace rhubarbweir
