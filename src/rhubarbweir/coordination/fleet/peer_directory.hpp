// Tells poolers which other poolers of their failure domain are live, so that they can relay
// sessions.
#pragma once

#include "rhubarbweir/coordination/control/lease_tracker.hpp"
#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"

#include <map>
#include <optional>

namespace rhubarbweir {

class PeerDirectory
{
public:
    explicit PeerDirectory(const LeaseTracker &leases);

    // A new leader does not know all poolers before they have come back to it.
    void beginLeadership(TimePoint now);
    // The live poolers of the failure domain, unless they have the version that the pooler holds.
    std::optional<PoolerPeers> changesFor(const FailureDomainId &domain, std::uint64_t heldVersion,
                                          TimePoint now);

private:
    void rebuild(TimePoint now);

    const LeaseTracker &leases;
    TimePoint knownFrom = TimePoint::max();
    TimePoint rebuildAt;
    std::map<FailureDomainId, PoolerPeers> peersByDomain;
};

} // namespace rhubarbweir
