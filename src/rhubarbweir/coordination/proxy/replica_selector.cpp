// See replica_selector.hpp.
#include "rhubarbweir/coordination/proxy/replica_selector.hpp"

#include <utility>

namespace rhubarbweir {

ReplicaSelector::Choice ReplicaSelector::choose(const GroupView &group, const TargetPool &pool,
                                                const LogPosition &minimum, TimePoint now) const
{
    Choice choice;
    std::pair<double, double> best;
    for (const TargetView &target : group.targets) {
        if (!this->isUsable(group, target, pool))
            continue;
        choice.anyUsable = true;
        if (!covers(pool.status(target.target)->applied, minimum))
            continue;
        choice.anyCovers = true;
        if (!pool.canAcquire(target.target, now))
            continue;
        const auto assigned = this->assignedReads.find(target.target);
        const double total =
            assigned == this->assignedReads.end() ? 0.0 : static_cast<double>(assigned->second);
        const double load = pool.slots().used(target.target) + 1.0;
        const std::pair<double, double> score{load / target.weight, total / target.weight};
        if (choice.replica && best <= score)
            continue;
        best = score;
        choice.replica = target.target;
    }
    return choice;
}

bool ReplicaSelector::isUsable(const GroupView &group, const TargetView &target,
                               const TargetPool &pool) const
{
    if (target.target == group.primary || target.leaving || target.weight == 0)
        return false;
    const TargetStatus *status = pool.status(target.target);
    if (status == nullptr || !pool.isConnected(target.target))
        return false;
    // A log that ends in another term may have diverged from the primary's log.
    return status->adoptedTerm == group.term && status->received.term == group.term
           && pool.slots().limit(target.target) > 0;
}

} // namespace rhubarbweir
