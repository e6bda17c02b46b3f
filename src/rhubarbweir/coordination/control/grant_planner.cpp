// See grant_planner.hpp.
#include "rhubarbweir/coordination/control/grant_planner.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

TargetShare sharesAt(const TargetShares &shares, const TargetId &target)
{
    const auto found = shares.find(target);
    return found == shares.end() ? TargetShare() : found->second;
}

TargetShare componentwiseMin(const TargetShare &a, const TargetShare &b)
{
    return {std::min(a.slots, b.slots), std::min(a.connections, b.connections)};
}

TargetShare componentwiseMax(const TargetShare &a, const TargetShare &b)
{
    return {std::max(a.slots, b.slots), std::max(a.connections, b.connections)};
}

TargetShare sum(const TargetShare &a, const TargetShare &b)
{
    return {a.slots + b.slots, a.connections + b.connections};
}

// Returns `a` minus `b`, saturating at 0.
TargetShare difference(const TargetShare &a, const TargetShare &b)
{
    return {a.slots - std::min(a.slots, b.slots),
            a.connections - std::min(a.connections, b.connections)};
}

TargetShare committedShare(const GrantInputs &inputs, const GrantHolder &holder,
                           const TargetId &target)
{
    for (const GrantHolder &committed : inputs.committed) {
        if (committed.proxy == holder.proxy && committed.incarnation == holder.incarnation)
            return sharesAt(committed.shares, target);
    }
    return {};
}

// Upper bound of each proxy's use of one target.
std::map<InstanceId, TargetShare> maximumUse(const GrantInputs &inputs, const TargetId &target)
{
    std::map<InstanceId, TargetShare> useByProxy;
    for (const auto &[run, shares] : inputs.usable)
        useByProxy[run.proxy] = sum(useByProxy[run.proxy], sharesAt(shares, target));
    for (const auto &[proxy, shares] : inputs.opened)
        useByProxy[proxy] = componentwiseMax(useByProxy[proxy], sharesAt(shares, target));
    return useByProxy;
}

// Use of the target that other runs of the holder's proxy are allowed.
TargetShare useOfOtherRuns(const GrantInputs &inputs, const GrantHolder &holder,
                           const TargetId &target)
{
    TargetShare others;
    for (const auto &[run, shares] : inputs.usable) {
        if (run.proxy == holder.proxy && run.incarnation != holder.incarnation)
            others = sum(others, sharesAt(shares, target));
    }
    return others;
}

void planTarget(const GrantInputs &inputs, const TargetId &target, const TargetShare &limit,
                std::vector<GrantHolder> &planned)
{
    std::map<InstanceId, TargetShare> useByProxy = maximumUse(inputs, target);
    TargetShare totalUse;
    for (const auto &[proxy, use] : useByProxy)
        totalUse = sum(totalUse, use);
    TargetShare available = difference(limit, totalUse);
    for (std::size_t index = 0; index < planned.size(); ++index) {
        GrantHolder &holder = planned[index];
        const TargetShare wanted = sharesAt(inputs.desired[index].shares, target);
        TargetShare share = componentwiseMin(wanted, committedShare(inputs, holder, target));
        if (inputs.mayGrow) {
            const TargetShare own =
                difference(useByProxy[holder.proxy], useOfOtherRuns(inputs, holder, target));
            share = componentwiseMin(wanted, sum(componentwiseMax(share, own), available));
            available = difference(available, difference(share, own));
        }
        if (share.slots != 0 || share.connections != 0)
            holder.shares[target] = share;
    }
}

} // namespace

TargetShare shareOf(const TargetShare &limit, std::size_t holder, std::size_t holders)
{
    if (holders < 2)
        return limit;
    const TargetShare second{limit.slots / 2, limit.slots < 2 ? 0 : limit.connections / 2};
    return holder == 0 ? difference(limit, second) : second;
}

std::vector<GrantHolder> planGrants(const GrantInputs &inputs)
{
    std::vector<GrantHolder> planned = inputs.desired;
    for (GrantHolder &holder : planned)
        holder.shares.clear();
    for (const auto &[target, limit] : inputs.limits)
        planTarget(inputs, target, limit, planned);
    planned.erase(std::remove_if(planned.begin(), planned.end(),
                                 [](const GrantHolder &holder) { return holder.shares.empty(); }),
                  planned.end());
    return planned;
}

} // namespace rhubarbweir
