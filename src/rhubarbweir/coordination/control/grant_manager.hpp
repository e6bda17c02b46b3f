// Assigns the limits of each group to two proxies in different failure domains, its holders.
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

    // Discards superseded grants. Leases of former leaders are covered by the grace period instead.
    void beginOffice();
    // The grants of `group` are being replaced by those of `revision`; `before` are the grants in
    // force until then.
    void onReplaced(const GroupId &group, const GroupGrants &before, std::uint64_t revision);
    void advanceGroup(const GroupId &group, TimePoint now);

private:
    // Grants that were replaced but may still be in force at a holder.
    struct SupersededGrants
    {
        // Views with an earlier revision contain these grants.
        std::uint64_t replacedAt = 0;
        std::vector<GrantHolder> holders;
    };

    // Whether the group has live holders with their full shares in different failure domains, and
    // no superseded grants remain. In that case nothing needs to be planned.
    bool isSettled(const GroupId &group, const TargetShares &limits, TimePoint now) const;
    TargetShares limitsOf(const GroupId &group) const;
    std::vector<GrantHolder> candidatesFor(const GroupId &group, const TargetShares &limits,
                                           TimePoint now) const;
    std::vector<GrantHolder> desiredFor(const GroupId &group, const TargetShares &limits,
                                        TimePoint now) const;
    // Adds draining holders, limited to the slots that they have in use.
    void retainDraining(const GroupId &group, const GrantInputs &inputs,
                        std::vector<GrantHolder> &planned, TimePoint now) const;
    std::map<ProxyRun, TargetShares> usableShares(const GroupId &group, TimePoint now);
    std::map<InstanceId, TargetShares> openShares(const TargetShares &limits) const;
    bool mayHaveEarlierRun(const GrantHolder &candidate, const GroupId &group,
                           const TargetShares &limits, TimePoint now) const;
    std::string describeCause(const GroupId &group, const std::vector<GrantHolder> &planned,
                              TimePoint now) const;

    const ControlContext &context;
    std::map<GroupId, std::vector<SupersededGrants>> supersededByGroup;
};

} // namespace rhubarbweir
