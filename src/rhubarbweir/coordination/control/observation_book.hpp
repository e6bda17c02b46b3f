// What observers in other failure domains say about targets, and whether it amounts to a loss.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rhubarbweir {

// What one observer says about one target.
struct Sighting
{
    InstanceId observer;
    FailureDomainId failureDomain;
    ObservedState state = ObservedState::Alive;
    // The observer is a proxy that holds a grant for the target.
    bool isHolder = false;
};

struct Suspicion
{
    bool isSuspected = false;
    // Who saw what, for logs.
    std::string evidence;
};

// A target is suspected when
// - it is not alive for the failure domains of at least two observers, and for more domains
//   than it is alive for. A domain counts as alive if one observer in it says so; or
// - every holder, in at least two failure domains, says that it is not alive: then no write
//   can reach it, whoever else still sees it.
Suspicion assess(const std::vector<Sighting> &sightings);

class ObservationBook
{
public:
    explicit ObservationBook(const ControlSettings &controlSettings);

    // Whether the observer says something else than in its last report.
    bool receive(const RenewLease &report, TimePoint now);
    bool receive(const ObserverReport &report, TimePoint now);
    void clear();

    // Of observers whose last report is fresh.
    std::vector<Sighting> sightingsOf(const TargetId &target, TimePoint now) const;
    // Failure domains of proxies that reach the target, less those of proxies that do not.
    int reachability(const TargetId &target, TimePoint now) const;

private:
    struct Observer
    {
        FailureDomainId failureDomain;
        // A proxy sees only the targets that it names; a control instance sees all, and names
        // those that are not alive.
        bool isProxy = false;
        TimePoint expiresAt;
        std::map<TargetId, ObservedState> states;
    };

    bool receive(const InstanceId &instance, Observer observer,
                 const std::vector<TargetObservation> &observations, TimePoint now);

    const ControlSettings &settings;
    std::map<InstanceId, Observer> observers;
    // Derived from `observers`: who may say something of a target. Control instances of all,
    // proxies of what they name.
    std::set<InstanceId> controlObservers;
    std::map<TargetId, std::set<InstanceId>> proxiesByTarget;
};

} // namespace rhubarbweir
