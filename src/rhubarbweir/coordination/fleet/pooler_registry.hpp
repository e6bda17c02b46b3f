// The leader's registry of pooler runs that may hold a lease, based on the replicated state.
//
// A run is one start of a pooler's process. A lease is granted only after the registration of the
// run is committed, so a new leader knows every run that may hold a lease of its predecessor.
#pragma once

#include "rhubarbweir/coordination/control/lease_tracker.hpp"
#include "rhubarbweir/coordination/fleet/fleet_settings.hpp"
#include "rhubarbweir/state/fleet_state.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace rhubarbweir {

struct PoolerRegistryPorts
{
    std::function<void(const FleetCommand &, TimePoint now)> propose;
    std::function<void(std::string_view event, const FleetEventFields &)> event;
};

class PoolerRegistry
{
public:
    PoolerRegistry(const FleetSettings &settings, const FleetState &state,
                   const LeaseTracker &leases, PoolerRegistryPorts ports);

    // Resets the registry when this instance becomes the leader.
    void beginLeadership(TimePoint now);
    // Records that the run renewed its lease under this leader.
    void recordRenewal(const ProxyRun &run);
    // Proposes the registration of a run that renewed without one.
    void add(const ProxyRun &run, std::uint64_t sequence, TimePoint now);
    // The registration was committed. Returns the sequence of the renewal that was waiting for it,
    // if any.
    std::optional<std::uint64_t> committed(const ProxyRun &run, TimePoint now);
    void removed(const ProxyRun &run);
    // Proposes the removal of runs whose lease ended longer ago than their retention time.
    void evictExpired(TimePoint now);

    // Number of ended runs whose connections targets may still hold: one for each recent
    // registration and, while this leader is new, one for each pooler that has not renewed yet.
    std::size_t formerRunCount(TimePoint now);
    // The two queries below are answered for all groups from one pass over the poolers, which
    // counts until the next call of this.
    void beginSupervision();
    // Whether some pooler that may hold a lease has not renewed for the report lifetime, so that a
    // revocation would have to wait for the end of its lease.
    bool hasSilentPooler(TimePoint now) const;
    // Whether some pooler may still use a view older than `revision`.
    bool mayUseOlderView(std::uint64_t revision, TimePoint now) const;

private:
    // What the leases of all live runs say together at one time.
    struct Summary
    {
        TimePoint madeAt;
        bool hasSilentPooler = false;
        // Newest revision of which no run may use an older view; empty if one may use any.
        std::optional<std::uint64_t> oldestRevision;
    };

    bool isSilent(const ProxyLease *lease, TimePoint now) const;
    const Summary &summary(TimePoint now) const;

    const FleetSettings &settings;
    const FleetState &state;
    const LeaseTracker &leases;
    PoolerRegistryPorts ports;
    TimePoint leadsSince;
    // Sequences of renewals that are answered once the registration of the run is committed.
    std::map<ProxyRun, std::uint64_t> pending;
    // The last run of each pooler that renewed under this leader.
    std::set<ProxyRun> renewedRuns;
    // When each run registered under this leader, kept while connections of the pooler's previous
    // run may be open.
    std::map<ProxyRun, TimePoint> registeredAt;
    // Deadlines of proposed registrations and removals; proposed again after them.
    std::map<ProxyRun, TimePoint> proposedUntil;
    mutable std::optional<Summary> lastSummary;
};

} // namespace rhubarbweir
