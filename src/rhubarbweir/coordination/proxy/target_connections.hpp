// Connection pool of one proxy for the targets of a group. Connections are opened in advance,
// bounded by the grants, and never reused after an unanswered statement.
#pragma once

#include "rhubarbweir/coordination/proxy/proxy_settings.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rhubarbweir {

// Limit and desired number of connections to one target.
struct TargetDemand
{
    TargetId target;
    std::string address;
    // Maximum number of connections, including closing ones.
    std::uint32_t limit = 0;
    // Number of connections to keep open.
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
        // Executes a statement or belongs to an open transaction.
        Busy,
        // Being closed by this side; counts against the limit until closing completes.
        Closing,
    };

    struct Entry
    {
        TargetId target;
        State state = State::Opening;
        // When an attempt to open times out.
        TimePoint openDeadline;
    };

    TargetConnections(TargetConnectionsHooks hooks, std::mt19937_64 &random);

    // Idle connections to targets that are not listed are closed, and no new ones opened.
    void setDemand(const std::vector<TargetDemand> &demands);
    // Opens missing connections within the limits, closes surplus ones and times out attempts.
    void maintain(TimePoint now);
    TimePoint nextDeadline(TimePoint now) const;

    // False if the connection is unknown or no longer opening.
    bool opened(Generation generation);
    void openFailed(Generation generation, TimePoint now);
    // Removes a closed connection and returns its last entry; empty if it is unknown.
    std::optional<Entry> remove(Generation generation, TimePoint now);

    bool hasIdle(const TargetId &target) const;
    std::optional<Generation> takeIdle(const TargetId &target);
    void markIdle(Generation generation);
    void discard(Generation generation);

    const Entry *find(Generation generation) const;
    // Open connections to a target, idle ones first.
    std::vector<Generation> openOf(const TargetId &target) const;
    // Opening, idle and busy connections of all targets.
    std::vector<Generation> notClosing() const;
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
    // When maintain() next has work to do; reset by every change.
    TimePoint maintainAt;
};

} // namespace rhubarbweir
