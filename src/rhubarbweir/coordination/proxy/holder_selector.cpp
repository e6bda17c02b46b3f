// See holder_selector.hpp.
#include "rhubarbweir/coordination/proxy/holder_selector.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// Cost of forwarding to another proxy, in waiting requests per slot.
constexpr double HopCost = 0.25;
// Exceeds the cost of any queue, so that an unreachable holder is chosen only as the last resort.
constexpr double UnreachableCost = 1e9;

} // namespace

HolderSelector::HolderSelector(InstanceId givenSelf)
    : self(std::move(givenSelf))
{
}

const HolderView *HolderSelector::choose(const GroupView &group,
                                         const std::set<InstanceId> &excluded,
                                         std::mt19937_64 &random) const
{
    const HolderView *best = nullptr;
    double bestWait = 0.0;
    for (const HolderView &holder : group.holders) {
        if (holder.grants.empty() || excluded.count(holder.proxy) > 0)
            continue;
        const double wait = this->expectedWait(group, holder);
        const bool isTie = best != nullptr && wait == bestWait;
        if (best != nullptr && !isTie && wait > bestWait)
            continue;
        if (isTie && random() % 2 == 0)
            continue;
        best = &holder;
        bestWait = wait;
    }
    return best;
}

void HolderSelector::updateLoad(const GroupId &group, const InstanceId &holder,
                                const HolderLoad &load)
{
    HolderState &state = this->holderStates[{group, holder}];
    state.load = load;
    state.sentSinceReport = 0;
}

void HolderSelector::requestSent(const GroupId &group, const InstanceId &holder)
{
    HolderState &state = this->holderStates[{group, holder}];
    ++state.outstanding;
    ++state.sentSinceReport;
}

void HolderSelector::requestEnded(const GroupId &group, const InstanceId &holder)
{
    HolderState &state = this->holderStates[{group, holder}];
    if (state.outstanding > 0)
        --state.outstanding;
}

void HolderSelector::setReachable(const InstanceId &holder, bool reachable)
{
    if (reachable)
        this->unreachable.erase(holder);
    else
        this->unreachable.insert(holder);
}

double HolderSelector::expectedWait(const GroupView &group, const HolderView &holder) const
{
    double slots = 0.0;
    for (const TargetGrant &grant : holder.grants)
        slots += grant.slots;
    if (slots == 0.0)
        return UnreachableCost / 2;
    double cost = holder.proxy == this->self ? 0.0 : HopCost;
    if (this->unreachable.count(holder.proxy) > 0)
        cost += UnreachableCost;
    const auto found = this->holderStates.find({group.group, holder.proxy});
    if (found == this->holderStates.end())
        return cost;
    const HolderState &state = found->second;
    const double inUse = slots - std::min(slots, static_cast<double>(state.load.slotsFree));
    const double reported = state.load.queued + inUse + state.sentSinceReport;
    // The report may be outdated and too low; the requests outstanding from here are a lower bound.
    return cost + std::max(reported, static_cast<double>(state.outstanding)) / slots;
}

} // namespace rhubarbweir
