// Gathers durable changes into batches, one on the way at a time, and holds back messages until
// what they rest on is synced.
#pragma once

#include "rhubarbweir/coordination/quorum_messages.hpp"
#include "rhubarbweir/coordination/quorum_storage.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <utility>

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
    bool clean() const { return !this->outstanding && !this->dirty(); }
    // The next batch, when there is one and none is on the way.
    std::optional<PersistBatch> nextBatch();
    // Marks the batch on the way as durable and returns the actions that waited for it.
    // Empty for an unknown token.
    std::vector<std::function<void()>> complete(std::uint64_t token);
    bool isOutstanding(std::uint64_t token) const
    {
        return this->outstanding && *this->outstanding == token;
    }

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
    // Ordered by token.
    std::deque<Waiting> waiting;
};

} // namespace rhubarbweir
