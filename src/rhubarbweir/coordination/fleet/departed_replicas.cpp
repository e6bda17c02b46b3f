// See departed_replicas.hpp.
#include "rhubarbweir/coordination/fleet/departed_replicas.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// A target ends within this time of its last call. It repeats a call that is not acknowledged
// sooner.
constexpr std::chrono::seconds EndOfLeaving{2};

} // namespace

DepartedReplicas::DepartedReplicas(const FleetSettings &fleetSettings, const FleetState &fleetState)
    : settings(fleetSettings)
    , state(fleetState)
{
}

void DepartedReplicas::beginLeadership(TimePoint now)
{
    this->departures.clear();
    this->raised.clear();
    for (const auto &[id, target] : this->state.targets()) {
        if (target.phase == TargetPhase::Left)
            this->add(target, now + EndOfLeaving, now);
    }
}

void DepartedReplicas::add(const RegisteredTarget &target, TimePoint endsAt, TimePoint now)
{
    this->departures[target.target] = {target.group, endsAt, now + this->settings.lastResortTimeout,
                                       std::nullopt};
}

void DepartedReplicas::recorded(const std::optional<RegisteredTarget> &before,
                                const RegisteredTarget &after, TimePoint now)
{
    for (auto entry = this->departures.begin(); entry != this->departures.end();) {
        const bool isForgotten = now >= entry->second.forgetAt;
        entry = isForgotten ? this->departures.erase(entry) : std::next(entry);
    }
    const bool hasLeft = after.phase == TargetPhase::Left;
    if (hasLeft && before && before->phase != TargetPhase::Left)
        this->add(after, now + EndOfLeaving, now);
    else if (!hasLeft && before && before->born < after.born)
        this->add(after, now, now);
}

void DepartedReplicas::confirmationRaised(const GroupId &group, TimePoint now)
{
    this->raised[group] = {group, now, now + this->settings.lastResortTimeout, std::nullopt};
}

void DepartedReplicas::calledAgain(const TargetId &target, TimePoint now)
{
    const auto found = this->departures.find(target);
    if (found == this->departures.end())
        return;
    found->second.endsAt = now + EndOfLeaving;
    found->second.forgetAt = now + this->settings.lastResortTimeout;
    found->second.bound.reset();
}

// Whether the log is still unheard: no later target has taken the address.
bool DepartedReplicas::isGone(const TargetId &target, const Departure &departure,
                              TimePoint now) const
{
    return now < departure.forgetAt && this->state.find(target) != nullptr;
}

bool DepartedReplicas::takesBound(const Departure &departure, TimePoint now)
{
    return now >= departure.endsAt && now < departure.forgetAt;
}

bool DepartedReplicas::awaitsPosition(const GroupId &group, TimePoint now) const
{
    const auto raise = this->raised.find(group);
    if (raise != this->raised.end() && !raise->second.bound && takesBound(raise->second, now))
        return true;
    return std::any_of(this->departures.begin(), this->departures.end(), [&](const auto &entry) {
        const auto &[target, departure] = entry;
        return departure.group == group && takesBound(departure, now)
               && this->isGone(target, departure, now);
    });
}

void DepartedReplicas::positionKnown(const GroupId &group, const LogPosition &position,
                                     TimePoint now)
{
    for (auto &[target, departure] : this->departures) {
        if (departure.group == group && takesBound(departure, now))
            departure.bound = position;
    }
    // Replicas confirm what comes after the first one.
    const auto raise = this->raised.find(group);
    if (raise != this->raised.end() && !raise->second.bound && takesBound(raise->second, now))
        raise->second.bound = position;
}

std::vector<TargetId> DepartedReplicas::mayExceed(const GroupId &group, const LogPosition &best,
                                                  TimePoint now) const
{
    const auto exceeds = [&best](const Departure &departure) {
        return !departure.bound || best < *departure.bound;
    };
    std::vector<TargetId> result;
    const PrimaryAuthority *authority = this->state.authority(group);
    const TargetId former = authority == nullptr ? TargetId() : authority->former;
    const auto raise = this->raised.find(group);
    if (raise != this->raised.end() && now < raise->second.forgetAt && exceeds(raise->second))
        result.push_back(former);
    for (const auto &[target, departure] : this->departures) {
        // The replicas hold what the former primary confirmed.
        if (departure.group == group && target != former && exceeds(departure)
            && this->isGone(target, departure, now))
            result.push_back(target);
    }
    return result;
}

} // namespace rhubarbweir
