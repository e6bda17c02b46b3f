// Committed grants: how the slot and connection limits of a group's targets are divided among
// proxies.
#pragma once

#include "rhubarbweir/state/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarbweir {

// Part of one target's limits that is granted to one proxy.
struct TargetShare
{
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    friend bool operator==(const TargetShare &a, const TargetShare &b)
    {
        return a.slots == b.slots && a.connections == b.connections;
    }
    friend bool operator!=(const TargetShare &a, const TargetShare &b) { return !(a == b); }
};

using TargetShares = std::map<TargetId, TargetShare>;

struct GrantHolder
{
    InstanceId proxy;
    // The grant is valid for this process start of the proxy only.
    std::uint64_t incarnation = 0;
    std::string address;
    FailureDomainId failureDomain;
    TargetShares shares;

    friend bool operator==(const GrantHolder &a, const GrantHolder &b)
    {
        return a.proxy == b.proxy && a.incarnation == b.incarnation && a.address == b.address
               && a.failureDomain == b.failureDomain && a.shares == b.shares;
    }
};

struct GroupGrants
{
    // Incremented with each change.
    std::uint64_t epoch = 0;
    // Revision of the last change.
    std::uint64_t revision = 0;
    // Ordered: the first holder is at the front.
    std::vector<GrantHolder> holders;
};

using GrantsByGroup = std::map<GroupId, GroupGrants>;

} // namespace rhubarbweir
