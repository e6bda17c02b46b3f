// See holder_choice.hpp.
#include "rhubarbweir/coordination/proxy/holder_choice.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// What the extra hop to another proxy costs, in requests waiting for each slot.
constexpr double HopCost = 0.25;
// Far above any queue: an unreachable holder is chosen only when there is no other.
constexpr double UnreachableCost = 1e9;

} // namespace

HolderChoice::HolderChoice(InstanceId givenSelf)
    : self(std::move(givenSelf))
{
}

const HolderView *HolderChoice::choose(const GroupView &group, const std::set<InstanceId> &excluded,
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

void HolderChoice::noteLoad(const GroupId &group, const InstanceId &holder, const HolderLoad &load)
{
    Known &entry = this->known[{group, holder}];
    entry.load = load;
    entry.sentSince = 0;
}

void HolderChoice::sent(const GroupId &group, const InstanceId &holder)
{
    Known &entry = this->known[{group, holder}];
    ++entry.outstanding;
    ++entry.sentSince;
}

void HolderChoice::ended(const GroupId &group, const InstanceId &holder)
{
    Known &entry = this->known[{group, holder}];
    if (entry.outstanding > 0)
        --entry.outstanding;
}

void HolderChoice::setReachable(const InstanceId &holder, bool reachable)
{
    if (reachable)
        this->unreachable.erase(holder);
    else
        this->unreachable.insert(holder);
}

double HolderChoice::expectedWait(const GroupView &group, const HolderView &holder) const
{
    double slots = 0.0;
    for (const TargetGrant &grant : holder.grants)
        slots += grant.slots;
    if (slots == 0.0)
        return UnreachableCost / 2;
    double cost = holder.proxy == this->self ? 0.0 : HopCost;
    if (this->unreachable.count(holder.proxy) > 0)
        cost += UnreachableCost;
    const auto found = this->known.find({group.group, holder.proxy});
    if (found == this->known.end())
        return cost;
    const Known &entry = found->second;
    const double inUse = slots - std::min(slots, static_cast<double>(entry.load.slotsFree));
    const double reported = entry.load.queued + inUse + entry.sentSince;
    // An old report may be too low; what this proxy itself waits for is certain.
    return cost + std::max(reported, static_cast<double>(entry.outstanding)) / slots;
}

} // namespace rhubarbweir
