// See target_health.hpp.
#include "rhubarbweir/coordination/proxy/target_health.hpp"

#include <algorithm>

namespace rhubarbweir {

TargetHealth::TargetHealth(Duration givenSilentAfter)
    : silentAfter(givenSilentAfter)
{
}

void TargetHealth::setTargets(const std::vector<TargetId> &targets, TimePoint now)
{
    std::map<TargetId, Health> next;
    for (const TargetId &target : targets) {
        const auto old = this->healthByTarget.find(target);
        next[target] = old != this->healthByTarget.end()
                           ? old->second
                           : Health{ObservedState::Alive, now + this->silentAfter};
    }
    this->healthByTarget = std::move(next);
}

void TargetHealth::recordResponse(const TargetId &target, TimePoint now)
{
    const auto found = this->healthByTarget.find(target);
    if (found != this->healthByTarget.end())
        found->second = {ObservedState::Alive, now + this->silentAfter};
}

void TargetHealth::recordFailure(const TargetId &target, std::size_t connectionsLeft)
{
    const auto found = this->healthByTarget.find(target);
    if (found != this->healthByTarget.end() && connectionsLeft == 0)
        found->second.state = ObservedState::Broken;
}

void TargetHealth::restartSilenceTimeouts(TimePoint now)
{
    for (auto &[target, health] : this->healthByTarget) {
        if (health.state == ObservedState::Alive)
            health.silentAt = now + this->silentAfter;
    }
}

std::vector<TargetId> TargetHealth::takeNewlySilent(TimePoint now)
{
    std::vector<TargetId> newlySilent;
    for (auto &[target, health] : this->healthByTarget) {
        if (health.state != ObservedState::Alive || now < health.silentAt)
            continue;
        health.state = ObservedState::Silent;
        newlySilent.push_back(target);
    }
    return newlySilent;
}

ObservedState TargetHealth::state(const TargetId &target) const
{
    const auto found = this->healthByTarget.find(target);
    return found == this->healthByTarget.end() ? ObservedState::Silent : found->second.state;
}

std::vector<TargetId> TargetHealth::targets() const
{
    std::vector<TargetId> names;
    for (const auto &[target, health] : this->healthByTarget)
        names.push_back(target);
    return names;
}

TimePoint TargetHealth::nextDeadline() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[target, health] : this->healthByTarget) {
        if (health.state == ObservedState::Alive)
            next = std::min(next, health.silentAt);
    }
    return next;
}

} // namespace rhubarbweir
