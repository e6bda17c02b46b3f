// Committed grants: which proxies hold which part of the limits of a group's targets.
#pragma once

#include "rhubarbweir/state/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarbweir {

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
    // The grant is for this start of the proxy's process only.
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
    // Raised by one with each change.
    std::uint64_t epoch = 0;
    // Revision of the last change.
    std::uint64_t revision = 0;
    // First holder first.
    std::vector<GrantHolder> holders;
};

using GrantBook = std::map<GroupId, GroupGrants>;

} // namespace rhubarbweir
