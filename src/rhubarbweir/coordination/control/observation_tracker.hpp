// Collects the observations of targets by instances in different failure domains and detects lost
// targets.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rhubarbweir {

// State of a target as reported by one observer.
struct LivenessReport
{
    InstanceId observer;
    FailureDomainId failureDomain;
    ObservedState state = ObservedState::Alive;
    // Whether the observer is a proxy that holds a grant for the target.
    bool isHolder = false;
};

struct Suspicion
{
    bool isSuspected = false;
    // The individual reports, for logs.
    std::string evidence;
};

// A target is suspected to be lost if either
// - observers in at least two failure domains report it as not alive, and these are more domains
//   than those in which it is alive. A domain counts as alive if any observer in it reports the
//   target as alive; or
// - all holders, in at least two failure domains, report it as not alive. Then no write can reach
//   it, even if other observers still do.
Suspicion assessLiveness(const std::vector<LivenessReport> &livenessReports);

class ObservationTracker
{
public:
    explicit ObservationTracker(const ControlSettings &controlSettings);

    // Returns whether the observations differ from the observer's last report.
    bool receive(const RenewLease &report, TimePoint now);
    bool receive(const ObserverReport &report, TimePoint now);
    void clear();

    // Reports of observers whose last message has not expired.
    std::vector<LivenessReport> livenessReportsOf(const TargetId &target, TimePoint now) const;
    // Number of failure domains in which proxies reach the target, minus those in which proxies do
    // not.
    int reachability(const TargetId &target, TimePoint now) const;

private:
    struct Observer
    {
        FailureDomainId failureDomain;
        // A proxy reports only on the targets that it lists. A control instance reports on all
        // targets and lists only those that are not alive.
        bool isProxy = false;
        TimePoint expiresAt;
        std::map<TargetId, ObservedState> states;
    };

    bool receive(const InstanceId &instance, Observer observer,
                 const std::vector<TargetObservation> &observations, TimePoint now);

    const ControlSettings &settings;
    std::map<InstanceId, Observer> observers;
    // Derived from `observers`: the instances that report on a target. Control instances report on
    // all targets, proxies on those that they list.
    std::set<InstanceId> controlObservers;
    std::map<TargetId, std::set<InstanceId>> proxiesByTarget;
};

} // namespace rhubarbweir
