// See observation_tracker.hpp.
#include "rhubarbweir/coordination/control/observation_tracker.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace rhubarbweir {

namespace {

using Domains = std::set<FailureDomainId>;

std::string describe(const std::vector<LivenessReport> &livenessReports)
{
    std::string text;
    for (const LivenessReport &livenessReport : livenessReports) {
        text += text.empty() ? "" : ",";
        text += livenessReport.observer.value + "@" + livenessReport.failureDomain.value + "=";
        text += nameOf(livenessReport.state);
    }
    return text;
}

bool isSuspectedByDomains(const std::vector<LivenessReport> &livenessReports)
{
    Domains alive;
    Domains lost;
    for (const LivenessReport &livenessReport : livenessReports) {
        if (livenessReport.state == ObservedState::Alive)
            alive.insert(livenessReport.failureDomain);
        else
            lost.insert(livenessReport.failureDomain);
    }
    for (const FailureDomainId &domain : alive)
        lost.erase(domain);
    return lost.size() >= 2 && lost.size() > alive.size();
}

bool isUnreachableForHolders(const std::vector<LivenessReport> &livenessReports)
{
    Domains lost;
    for (const LivenessReport &livenessReport : livenessReports) {
        if (!livenessReport.isHolder)
            continue;
        if (livenessReport.state == ObservedState::Alive)
            return false;
        lost.insert(livenessReport.failureDomain);
    }
    return lost.size() >= 2;
}

} // namespace

Suspicion assessLiveness(const std::vector<LivenessReport> &livenessReports)
{
    return {isSuspectedByDomains(livenessReports) || isUnreachableForHolders(livenessReports),
            describe(livenessReports)};
}

ObservationTracker::ObservationTracker(const ControlSettings &controlSettings)
    : settings(controlSettings)
{
}

bool ObservationTracker::receive(const RenewLease &report, TimePoint now)
{
    Observer observer;
    observer.failureDomain = report.failureDomain;
    observer.isProxy = true;
    return this->receive(report.proxy, std::move(observer), report.observations, now);
}

bool ObservationTracker::receive(const ObserverReport &report, TimePoint now)
{
    Observer observer;
    observer.failureDomain = report.failureDomain;
    return this->receive(report.instance, std::move(observer), report.observations, now);
}

bool ObservationTracker::receive(const InstanceId &instance, Observer observer,
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

void ObservationTracker::clear()
{
    this->observers.clear();
    this->controlObservers.clear();
    this->proxiesByTarget.clear();
}

std::vector<LivenessReport> ObservationTracker::livenessReportsOf(const TargetId &target,
                                                                  TimePoint now) const
{
    std::set<InstanceId> observerIds = this->controlObservers;
    const auto proxies = this->proxiesByTarget.find(target);
    if (proxies != this->proxiesByTarget.end())
        observerIds.insert(proxies->second.begin(), proxies->second.end());
    std::vector<LivenessReport> livenessReports;
    for (const InstanceId &instance : observerIds) {
        const Observer &observer = this->observers.at(instance);
        if (now >= observer.expiresAt)
            continue;
        const auto state = observer.states.find(target);
        const bool isReported = state != observer.states.end();
        livenessReports.push_back({instance, observer.failureDomain,
                                   isReported ? state->second : ObservedState::Alive,
                                   observer.isProxy});
    }
    return livenessReports;
}

int ObservationTracker::reachability(const TargetId &target, TimePoint now) const
{
    Domains reached;
    Domains unreached;
    for (const LivenessReport &livenessReport : this->livenessReportsOf(target, now)) {
        if (!livenessReport.isHolder)
            continue;
        if (livenessReport.state == ObservedState::Alive)
            reached.insert(livenessReport.failureDomain);
        else
            unreached.insert(livenessReport.failureDomain);
    }
    return static_cast<int>(reached.size()) - static_cast<int>(unreached.size());
}

} // namespace rhubarbweir
