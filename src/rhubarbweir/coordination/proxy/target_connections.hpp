// The connections of one proxy to the targets of a group: opened ahead of requests, bounded by
// the grant, never reused after an unanswered statement.
#pragma once

#include "rhubarbweir/coordination/proxy/proxy_settings.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rhubarbweir {

// What the grant allows and the pool wants of one target.
struct TargetDemand
{
    TargetId target;
    std::string address;
    // Greatest number of connections, closing ones included.
    std::uint32_t limit = 0;
    // Number to keep open.
    std::uint32_t desired = 0;
};

struct TargetConnectionsHooks
{
    std::function<Generation()> nextGeneration;
    std::function<void(Generation, const std::string &address)> open;
    std::function<void(Generation)> close;
};

class TargetConnections
{
public:
    enum class State {
        Opening,
        Idle,
        // Carries a statement or is pinned by a transaction.
        Busy,
        // Closed by this side; counts against the limit until it is gone.
        Closing,
    };

    struct Entry
    {
        TargetId target;
        State state = State::Opening;
        // When an opening connection is given up.
        TimePoint openBy;
    };

    TargetConnections(TargetConnectionsHooks hooks, std::mt19937_64 &random);

    // Targets that are not named lose their idle connections and get no new ones.
    void setDemand(const std::vector<TargetDemand> &demands);
    // Opens what is wanted and allowed, closes what is too much.
    void maintain(TimePoint now);
    TimePoint nextDeadline(TimePoint now) const;

    // False for a connection that is not opening any more.
    bool opened(Generation generation);
    void failed(Generation generation, TimePoint now);
    // The connection is gone; the entry as it was, if it was known.
    std::optional<Entry> gone(Generation generation, TimePoint now);

    bool hasIdle(const TargetId &target) const;
    std::optional<Generation> takeIdle(const TargetId &target);
    void giveBack(Generation generation);
    void discard(Generation generation);

    const Entry *find(Generation generation) const;
    // Connections of a target that can carry messages, idle ones first.
    std::vector<Generation> openOf(const TargetId &target) const;
    // Connections that are not closing.
    std::vector<Generation> all() const;
    std::size_t count(const TargetId &target) const;
    std::size_t size() const { return this->entries.size(); }

private:
    struct Endpoint
    {
        TargetDemand demand;
        std::uint32_t failures = 0;
        TimePoint openAfter;
    };

    std::size_t countIn(const TargetId &target, State state) const;
    void openMissing(Endpoint &endpoint, TimePoint now);
    void closeSurplus(const TargetId &target, std::size_t keep);
    void backOff(const TargetId &target, TimePoint now);

    TargetConnectionsHooks hooks;
    std::mt19937_64 &random;
    std::map<TargetId, Endpoint> endpoints;
    std::map<Generation, Entry> entries;
    // maintain() has nothing to do before, unless something changed.
    TimePoint maintainAt;
};

} // namespace rhubarbweir
