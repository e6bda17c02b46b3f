// Keeps two proxies in different failure domains as the holders of each group's limits.
#pragma once

#include "rhubarbweir/coordination/control/control_context.hpp"
#include "rhubarbweir/coordination/control/grant_planner.hpp"

#include <map>
#include <string>
#include <vector>

namespace rhubarbweir {

class GrantManager
{
public:
    explicit GrantManager(const ControlContext &controlContext);

    // Forgets older grants; leases of former leaders are waited for instead.
    void beginOffice();
    // The grants of `group` are replaced at `revision`, that is just being applied; `before` were
    // in force until then.
    void replaced(const GroupId &group, const GroupGrants &before, std::uint64_t revision);
    void advanceGroup(const GroupId &group, TimePoint now);

private:
    // Grants that were replaced and may still be in force at a holder.
    struct FormerGrants
    {
        // Views before this revision hold them.
        std::uint64_t replacedAt = 0;
        std::vector<GrantHolder> holders;
    };

    // Whether the group has its holders with their full shares, all live, and nothing of former
    // grants is left. Nothing has to be planned then.
    bool isSettled(const GroupId &group, const TargetShares &limits, TimePoint now) const;
    TargetShares limitsOf(const GroupId &group) const;
    std::vector<GrantHolder> candidatesFor(const GroupId &group, const TargetShares &limits,
                                           TimePoint now) const;
    std::vector<GrantHolder> desiredFor(const GroupId &group, const TargetShares &limits,
                                        TimePoint now) const;
    // Adds draining holders with the slots that they have in use.
    void keepDraining(const GroupId &group, const GrantInputs &inputs,
                      std::vector<GrantHolder> &planned, TimePoint now) const;
    std::map<ProxyRun, TargetShares> usableIn(const GroupId &group, TimePoint now);
    std::map<InstanceId, TargetShares> openedIn(const TargetShares &limits) const;
    bool hasLeftover(const GrantHolder &candidate, const GroupId &group, const TargetShares &limits,
                     TimePoint now) const;
    std::string causeOf(const GroupId &group, const std::vector<GrantHolder> &planned,
                        TimePoint now) const;

    const ControlContext &context;
    std::map<GroupId, std::vector<FormerGrants>> former;
};

} // namespace rhubarbweir
