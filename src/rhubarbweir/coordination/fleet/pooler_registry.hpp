// Which starts of poolers may hold a lease: the replicated list of them as the leader acts by it.
//
// A lease is given only after the registration of its holder is committed, so a new leader knows by
// name all who may hold one of its predecessor.
#pragma once

#include "rhubarbweir/coordination/control/lease_book.hpp"
#include "rhubarbweir/coordination/fleet/fleet_settings.hpp"
#include "rhubarbweir/state/fleet_state.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace rhubarbweir {

// A renewal that waits for the registration of its sender.
struct PendingRenewal
{
    std::uint64_t sequence = 0;
    std::uint64_t configurationVersion = 0;
};

struct PoolerRegistryPorts
{
    std::function<void(const FleetCommand &, TimePoint now)> propose;
    std::function<void(std::string_view event, const FleetEventFields &)> event;
};

class PoolerRegistry
{
public:
    PoolerRegistry(const FleetSettings &settings, const FleetState &state, const LeaseBook &leases,
                   PoolerRegistryPorts ports);

    // This instance became the leader.
    void beginOffice(TimePoint now);
    // The start renewed.
    void heard(const ProxyRun &run);
    // Proposes the registration of a start that renewed without one.
    void add(const ProxyRun &run, const PendingRenewal &renewal, TimePoint now);
    // The registration was committed. Returns the renewal that waited for it here, if any.
    std::optional<PendingRenewal> committed(const ProxyRun &run, TimePoint now);
    void removed(const ProxyRun &run);
    // Proposes the removal of starts that hold no lease and are not needed any more.
    void forgetOld(TimePoint now);

    // Starts that ended so recently that targets may hold their connections: one for each pooler
    // that has just registered and, while this leader is new, for each that it has not heard.
    std::size_t formerRuns(TimePoint now);
    // Whether some pooler that may hold a lease has said nothing for a while: a revocation would
    // have to wait for it.
    bool hasSilent(TimePoint now) const;
    // Whether some pooler may act by a view older than `revision`.
    bool mayUseBefore(std::uint64_t revision, TimePoint now) const;

private:
    const FleetSettings &settings;
    const FleetState &state;
    const LeaseBook &leases;
    PoolerRegistryPorts ports;
    TimePoint leadsSince;
    std::map<ProxyRun, PendingRenewal> pending;
    // Last starts that renewed in this office, one a pooler.
    std::set<ProxyRun> heardRuns;
    // When a pooler registered under this leader, while its former start may count.
    std::map<ProxyRun, TimePoint> registeredAt;
    // Proposed registrations and removals, until when they are waited for.
    std::map<ProxyRun, TimePoint> proposedUntil;
};

} // namespace rhubarbweir
