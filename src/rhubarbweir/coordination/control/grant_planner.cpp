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

TargetShare lesser(const TargetShare &a, const TargetShare &b)
{
    return {std::min(a.slots, b.slots), std::min(a.connections, b.connections)};
}

TargetShare greater(const TargetShare &a, const TargetShare &b)
{
    return {std::max(a.slots, b.slots), std::max(a.connections, b.connections)};
}

TargetShare sum(const TargetShare &a, const TargetShare &b)
{
    return {a.slots + b.slots, a.connections + b.connections};
}

// `a` less `b`, not below 0.
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

// What each proxy holds of one target, at most.
std::map<InstanceId, TargetShare> chargesOf(const GrantInputs &inputs, const TargetId &target)
{
    std::map<InstanceId, TargetShare> charges;
    for (const auto &[run, shares] : inputs.usable)
        charges[run.proxy] = sum(charges[run.proxy], sharesAt(shares, target));
    for (const auto &[proxy, shares] : inputs.opened)
        charges[proxy] = greater(charges[proxy], sharesAt(shares, target));
    return charges;
}

// What other runs of the holder's proxy may use of the target.
TargetShare otherRuns(const GrantInputs &inputs, const GrantHolder &holder, const TargetId &target)
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
    std::map<InstanceId, TargetShare> charges = chargesOf(inputs, target);
    TargetShare charged;
    for (const auto &[proxy, charge] : charges)
        charged = sum(charged, charge);
    TargetShare free = difference(limit, charged);
    for (std::size_t index = 0; index < planned.size(); ++index) {
        GrantHolder &holder = planned[index];
        const TargetShare wanted = sharesAt(inputs.desired[index].shares, target);
        TargetShare share = lesser(wanted, committedShare(inputs, holder, target));
        if (inputs.mayGrow) {
            const TargetShare own =
                difference(charges[holder.proxy], otherRuns(inputs, holder, target));
            share = lesser(wanted, sum(greater(share, own), free));
            free = difference(free, difference(share, own));
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
