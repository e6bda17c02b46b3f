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
        const auto old = this->known.find(target);
        next[target] = old != this->known.end()
                           ? old->second
                           : Health{ObservedState::Alive, now + this->silentAfter};
    }
    this->known = std::move(next);
}

void TargetHealth::heard(const TargetId &target, TimePoint now)
{
    const auto found = this->known.find(target);
    if (found != this->known.end())
        found->second = {ObservedState::Alive, now + this->silentAfter};
}

void TargetHealth::failed(const TargetId &target, std::size_t connectionsLeft)
{
    const auto found = this->known.find(target);
    if (found != this->known.end() && connectionsLeft == 0)
        found->second.state = ObservedState::Broken;
}

void TargetHealth::forgive(TimePoint now)
{
    for (auto &[target, health] : this->known) {
        if (health.state == ObservedState::Alive)
            health.silentAt = now + this->silentAfter;
    }
}

std::vector<TargetId> TargetHealth::takeSilenced(TimePoint now)
{
    std::vector<TargetId> silenced;
    for (auto &[target, health] : this->known) {
        if (health.state != ObservedState::Alive || now < health.silentAt)
            continue;
        health.state = ObservedState::Silent;
        silenced.push_back(target);
    }
    return silenced;
}

ObservedState TargetHealth::state(const TargetId &target) const
{
    const auto found = this->known.find(target);
    return found == this->known.end() ? ObservedState::Silent : found->second.state;
}

std::vector<TargetId> TargetHealth::targets() const
{
    std::vector<TargetId> names;
    for (const auto &[target, health] : this->known)
        names.push_back(target);
    return names;
}

TimePoint TargetHealth::nextDeadline() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[target, health] : this->known) {
        if (health.state == ObservedState::Alive)
            next = std::min(next, health.silentAt);
    }
    return next;
}

} // namespace rhubarbweir
