// The routes and limits of the operators' configuration, as poolers apply them.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/key_digest.hpp"
#include "rhubarbweir/state/team_limit.hpp"
#include "rhubarbweir/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rhubarbweir {

// Which writes a read on a route has to see.
enum class RouteConsistency {
    // Every confirmed write.
    Primary,
    // Every write that was confirmed at least Route::maxAge ago.
    BoundedAge,
    // As BoundedAge, plus every write of the same session.
    ReadYourWrites,
};

template<>
struct EnumNames<RouteConsistency>
{
    static constexpr std::string_view Names[] = {"primary", "bounded_age", "read_your_writes"};
};

struct Route
{
    std::string database;
    GroupId group;
    RouteConsistency consistency = RouteConsistency::Primary;
    // Time limit of one statement.
    Duration timeout = std::chrono::milliseconds(1000);
    // Target latency of a caller's whole operation.
    Duration latencyObjective = std::chrono::milliseconds(500);
    // Maximum staleness of a read.
    Duration maxAge{0};
    // 0 is the highest priority.
    unsigned priority = 0;
    // Whether callers need no API key.
    bool isPublic = false;
};

struct GroupLimits
{
    // Connection limit of one target, over all clients.
    std::uint32_t maxConnections = 1;
    // Replicas that must hold a commit before it is confirmed.
    std::uint32_t syncReplicas = 0;
};

struct Team
{
    // 0 is the highest priority.
    unsigned priority = 0;
    // Empty for a team without a limit.
    std::optional<TeamLimit> limit;
};

struct RouteTable
{
    std::uint64_t version = 0;
    std::map<std::string, Route> routes;
    std::map<GroupId, GroupLimits> groups;
    // Whether callers of routes that are not public need the key of a team.
    bool hasTeams = false;
    std::map<TeamId, Team> teams;
    // Each key belongs to one team.
    std::map<KeyDigest, TeamId> teamsByKey;
    // A transaction is rolled back after being idle for this long.
    Duration transactionIdle = std::chrono::milliseconds(3000);
};

} // namespace rhubarbweir
