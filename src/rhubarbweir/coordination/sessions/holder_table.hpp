// Decides which poolers of a failure domain hold the connections to a group's targets.
//
// Answers the load of a fleet in which a target accepts fewer connections than there are poolers,
// or than poolers times teams, since each connection serves one team. If every pooler opened
// connections of its own, most statements would open one, which takes a slot of the target for
// longer than the statement does. Sessions are therefore served by a few holders for each group and
// team, chosen by rendezvous hashing, so that a lost pooler moves only the sessions it held.
#pragma once

#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
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
    // The pooler that serves sessions of the team in the group. Null if this one does.
    const PoolerPeer *holder(const RouteTable &routes, const GroupId &group, const TeamId &team,
                             std::uint32_t poolers, TimePoint now) const;
    // Connections to one target of the group that each holder may open for the team; empty for a
    // group without holders.
    std::optional<std::uint32_t> connections(const RouteTable &routes, const GroupId &group,
                                             const TeamId &team, std::uint32_t poolers) const;

private:
    std::uint32_t usableConnections(const RouteTable &routes, const GroupId &group) const;
    std::uint32_t holdersPerDomain(const RouteTable &routes, const GroupId &group) const;

    InstanceId self;
    std::uint32_t reserved;
    PoolerPeers peers;
    std::map<InstanceId, TimePoint> unreachableUntil;
};

} // namespace rhubarbweir
