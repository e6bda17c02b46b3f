// Decides which poolers of a failure domain hold the connections to a group's targets.
//
// Answers the load of a fleet in which a target accepts fewer connections than there are poolers,
// or than poolers times teams, since each connection serves one team. If every pooler opened
// connections of its own, most statements would open one, which takes a slot of the target for
// longer than the statement does. Sessions are therefore served by a few holders for each group and
// team. Poolers with the same peers and routes choose the same holders, and every pooler of the
// domain holds about the same load (see HolderPlacement). Poolers that disagree do no harm: any
// pooler may serve any session.
#pragma once

#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/coordination/sessions/holder_placement.hpp"
#include "rhubarbweir/coordination/sessions/route_table.hpp"
#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rhubarbweir {

class HolderTable
{
public:
    // `reservedConnections`: connections of each target that are kept for control instances.
    HolderTable(InstanceId self, std::uint32_t reservedConnections);

    // Live poolers of the own failure domain. Without any, every pooler serves its own sessions.
    void setPeers(PoolerPeers peers);
    // Version of the peers in use; 0 before the first.
    std::uint64_t peersVersion() const { return this->peers.version; }
    // The peer is not chosen until then.
    void markUnreachable(const InstanceId &peer, TimePoint until);

    // Whether sessions of the group are served by holders.
    bool isScarce(const RouteTable &routes, const GroupId &group, std::uint32_t poolers) const;
    // Whether any group has holders.
    bool isScarce(const RouteTable &routes, std::uint32_t poolers) const;
    // The pooler that serves sessions of the team in the group. Null if this one does. Places all
    // groups and teams anew if the peers, the routes or the set of scarce groups have changed.
    const PoolerPeer *holder(const RouteTable &routes, const GroupId &group, const TeamId &team,
                             std::uint32_t poolers, TimePoint now);
    // Connections to one target of the group that each holder may open for the team; empty for a
    // group without holders.
    std::optional<std::uint32_t> connections(const RouteTable &routes, const GroupId &group,
                                             const TeamId &team, std::uint32_t poolers) const;

private:
    std::uint32_t usableConnections(const RouteTable &routes, const GroupId &group) const;
    std::uint32_t holdersPerDomain(const RouteTable &routes, const GroupId &group) const;

    // What the placement was made from, beside the peers.
    struct PlacementInputs
    {
        std::uint64_t routesVersion = 0;
        std::uint32_t poolers = 0;
        std::vector<GroupId> scarceGroups;
    };

    std::vector<GroupId> scarceGroups(const RouteTable &routes, std::uint32_t poolers) const;
    void updatePlacement(const RouteTable &routes, std::uint32_t poolers);
    std::vector<HolderDemand> demands(const RouteTable &routes,
                                      const std::vector<GroupId> &scarceGroups) const;
    bool isReachable(const InstanceId &instance, TimePoint now) const;

    InstanceId self;
    std::uint32_t reserved;
    PoolerPeers peers;
    // Its indexes are those of `peers`. Empty until it is needed with these peers.
    std::optional<HolderPlacement> placement;
    PlacementInputs placementInputs;
    std::map<InstanceId, TimePoint> unreachableUntil;
};

} // namespace rhubarbweir
