// Gathers durable changes into batches, one on the way at a time, and holds back messages until
// what they rest on is synced.
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

    // Runs `action` once everything handed in so far is durable; at once when it already is.
    void afterSync(std::function<void()> action);
    // The next batch, when there is one and none is on the way.
    std::optional<PersistBatch> nextBatch();
    bool isOutstanding(std::uint64_t token) const
    {
        return this->outstanding && *this->outstanding == token;
    }

    struct Completion
    {
        // Last entry, or snapshot, that became durable; index 0 for none.
        std::uint64_t lastIndex = 0;
        std::uint64_t lastTerm = 0;
        // What waited for the batch, in order.
        std::vector<std::function<void()>> actions;
    };
    // Marks the batch on the way as durable.
    Completion complete();

private:
    struct Waiting
    {
        std::uint64_t token;
        std::function<void()> action;
    };

    bool dirty() const;

    // The batch being gathered; its token is nextToken.
    PersistBatch gathered;
    std::uint64_t nextToken = 1;
    std::optional<std::uint64_t> outstanding;
    // Last entry of the batch on the way.
    Completion onTheWay;
    // Ordered by token.
    std::deque<Waiting> waiting;
};

} // namespace rhubarbweir
