// The operators' configuration as poolers act by it.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace rhubarbweir {

enum class RouteConsistency {
    // Every confirmed write.
    Primary,
    // Every write confirmed longer ago than the greatest age.
    BoundedAge,
    // As BoundedAge, and every write of the same session.
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
    // For one statement.
    Duration timeout = std::chrono::milliseconds(1000);
    // For a caller's whole operation.
    Duration latencyObjective = std::chrono::milliseconds(500);
    // Greatest age of what a read may see.
    Duration maxAge{0};
    // 0 is the most urgent.
    unsigned priority = 0;
};

struct GroupLimits
{
    // Connections of one target, from all callers together.
    std::uint32_t maxConnections = 1;
    // Replicas that must hold a commit before it is confirmed.
    std::uint32_t syncReplicas = 0;
};

struct RouteTable
{
    std::uint64_t version = 0;
    std::map<std::string, Route> routes;
    std::map<GroupId, GroupLimits> groups;
    // A transaction without a statement for this long may be ended.
    Duration transactionIdle = std::chrono::milliseconds(3000);
};

} // namespace rhubarbweir
