// Plans the next grants of a group such that the usable grants never exceed the limits of a target.
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
    // Holders to aim for, in order, with their final shares.
    std::vector<GrantHolder> desired;
    // Committed holders with their current shares.
    std::vector<GrantHolder> committed;
    // Upper bound of what each run may use, from its committed grant and older ones still in force.
    std::map<ProxyRun, TargetShares> usable;
    // Open slots and connections of each proxy, as reported by the targets.
    std::map<InstanceId, TargetShares> opened;
    // False while leases granted by a former leader may still be valid, as `usable` does not
    // include them.
    bool mayGrow = false;
};

// Returns the share of one holder. With two holders the limit is halved, and the first holder gets
// the larger half; a single holder gets all of it.
TargetShare shareOf(const TargetShare &limit, std::size_t holder, std::size_t holders);

// Shrinks shares immediately and grows them only into capacity that no proxy may use or has open.
// Holders without any share are omitted.
std::vector<GrantHolder> planGrants(const GrantInputs &inputs);

} // namespace rhubarbweir
