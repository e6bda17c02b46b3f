// Plans the next grants of a group so that what is usable never exceeds a target's limits.
#pragma once

#include "rhubarbweir/coordination/control/lease_book.hpp"
#include "rhubarbweir/state/grant_book.hpp"

#include <map>
#include <vector>

namespace rhubarbweir {

struct GrantInputs
{
    // Limit of each target of the group.
    TargetShares limits;
    // Holders as they should become, first holder first, with the shares that they should reach.
    std::vector<GrantHolder> desired;
    // As committed.
    std::vector<GrantHolder> committed;
    // Most that each run may use by its committed grant or an older one still in force.
    std::map<ProxyRun, TargetShares> usable;
    // What each proxy has open as the targets count it.
    std::map<InstanceId, TargetShares> opened;
    // False while leases of a former leader may run, which `usable` does not know.
    bool mayGrow = false;
};

// Halves of the limits: the first holder gets the greater half. One holder gets all.
TargetShare shareOf(const TargetShare &limit, std::size_t holder, std::size_t holders);

// Shares shrink at once and grow only into what nobody may use or has open. Holders of which
// nothing is left are left out.
std::vector<GrantHolder> planGrants(const GrantInputs &inputs);

} // namespace rhubarbweir
