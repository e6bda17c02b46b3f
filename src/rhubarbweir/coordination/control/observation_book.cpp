// See observation_book.hpp.
#include "rhubarbweir/coordination/control/observation_book.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace rhubarbweir {

namespace {

using Domains = std::set<FailureDomainId>;

std::string describe(const std::vector<Sighting> &sightings)
{
    std::string text;
    for (const Sighting &sighting : sightings) {
        text += text.empty() ? "" : ",";
        text += sighting.observer.value + "@" + sighting.failureDomain.value + "=";
        text += nameOf(sighting.state);
    }
    return text;
}

bool isLostForDomains(const std::vector<Sighting> &sightings)
{
    Domains alive;
    Domains lost;
    for (const Sighting &sighting : sightings) {
        if (sighting.state == ObservedState::Alive)
            alive.insert(sighting.failureDomain);
        else
            lost.insert(sighting.failureDomain);
    }
    for (const FailureDomainId &domain : alive)
        lost.erase(domain);
    return lost.size() >= 2 && lost.size() > alive.size();
}

bool isLostForHolders(const std::vector<Sighting> &sightings)
{
    Domains lost;
    for (const Sighting &sighting : sightings) {
        if (!sighting.isHolder)
            continue;
        if (sighting.state == ObservedState::Alive)
            return false;
        lost.insert(sighting.failureDomain);
    }
    return lost.size() >= 2;
}

} // namespace

Suspicion assess(const std::vector<Sighting> &sightings)
{
    return {isLostForDomains(sightings) || isLostForHolders(sightings), describe(sightings)};
}

ObservationBook::ObservationBook(const ControlSettings &controlSettings)
    : settings(controlSettings)
{
}

bool ObservationBook::receive(const RenewLease &report, TimePoint now)
{
    Observer observer;
    observer.failureDomain = report.failureDomain;
    observer.isProxy = true;
    return this->receive(report.proxy, std::move(observer), report.observations, now);
}

bool ObservationBook::receive(const ObserverReport &report, TimePoint now)
{
    Observer observer;
    observer.failureDomain = report.failureDomain;
    return this->receive(report.instance, std::move(observer), report.observations, now);
}

bool ObservationBook::receive(const InstanceId &instance, Observer observer,
                              const std::vector<TargetObservation> &observations, TimePoint now)
{
    observer.expiresAt = now + this->settings.observationLifetime;
    for (const TargetObservation &observation : observations)
        observer.states[observation.target] = observation.state;
    if (!observer.isProxy)
        this->controlObservers.insert(instance);
    Observer &present = this->observers[instance];
    const bool isChanged = present.states != observer.states;
    if (isChanged && observer.isProxy) {
        for (const auto &[target, state] : present.states)
            this->proxiesByTarget[target].erase(instance);
        for (const auto &[target, state] : observer.states)
            this->proxiesByTarget[target].insert(instance);
    }
    present = std::move(observer);
    return isChanged;
}

void ObservationBook::clear()
{
    this->observers.clear();
    this->controlObservers.clear();
    this->proxiesByTarget.clear();
}

std::vector<Sighting> ObservationBook::sightingsOf(const TargetId &target, TimePoint now) const
{
    std::set<InstanceId> witnesses = this->controlObservers;
    const auto proxies = this->proxiesByTarget.find(target);
    if (proxies != this->proxiesByTarget.end())
        witnesses.insert(proxies->second.begin(), proxies->second.end());
    std::vector<Sighting> sightings;
    for (const InstanceId &instance : witnesses) {
        const Observer &observer = this->observers.at(instance);
        if (now >= observer.expiresAt)
            continue;
        const auto state = observer.states.find(target);
        const bool isNamed = state != observer.states.end();
        sightings.push_back({instance, observer.failureDomain,
                             isNamed ? state->second : ObservedState::Alive, observer.isProxy});
    }
    return sightings;
}

int ObservationBook::reachability(const TargetId &target, TimePoint now) const
{
    Domains reached;
    Domains unreached;
    for (const Sighting &sighting : this->sightingsOf(target, now)) {
        if (!sighting.isHolder)
            continue;
        if (sighting.state == ObservedState::Alive)
            reached.insert(sighting.failureDomain);
        else
            unreached.insert(sighting.failureDomain);
    }
    return static_cast<int>(reached.size()) - static_cast<int>(unreached.size());
}

} // namespace rhubarbweir
