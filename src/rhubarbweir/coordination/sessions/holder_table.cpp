// See holder_table.hpp.
#include "rhubarbweir/coordination/sessions/holder_table.hpp"

#include "rhubarbweir/state/rendezvous_score.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace rhubarbweir {

namespace {

// A holder needs this many connections to each target to run transactions beside statements.
constexpr std::uint32_t ConnectionsPerHolder = 4;
// A team needs one connection for a transaction and one for other statements.
constexpr std::uint32_t MinTeamConnections = 2;
// Placing more pairs of a key and a pooler takes a pooler with a tenth of a core more than 0.1 s,
// with each change of the peers. So many keys are spread evenly without it: each is then served by
// the pooler with the highest score.
constexpr std::size_t MaxPlacementScores = 100'000;
// Fine enough for teams with a thousandth of the load.
constexpr double WeightOfWholeLoad = 1e6;

// Share of the team's limit in the limits of all teams, as an estimate of its share of the load.
double loadShare(const RouteTable &routes, const TeamId &team)
{
    const double equalShare =
        1.0 / static_cast<double>(std::max<std::size_t>(1, routes.teams.size()));
    const auto found = routes.teams.find(team);
    if (found == routes.teams.end() || !found->second.limit)
        return equalShare;
    double total = 0;
    for (const auto &[id, each] : routes.teams) {
        if (each.limit)
            total += each.limit->operationsPerSecond;
    }
    return total > 0 ? found->second.limit->operationsPerSecond / total : equalShare;
}

std::uint64_t placementWeight(const RouteTable &routes, const TeamId &team)
{
    return routes.hasTeams ? static_cast<std::uint64_t>(loadShare(routes, team) * WeightOfWholeLoad)
                           : 1;
}

std::string placementKey(const GroupId &group, const TeamId &team)
{
    return group.value + "/" + team.value;
}

} // namespace

HolderTable::HolderTable(InstanceId selfId, std::uint32_t reservedConnections)
    : self(std::move(selfId))
    , reserved(reservedConnections)
{
}

void HolderTable::setPeers(PoolerPeers next)
{
    this->peers = std::move(next);
    this->placement.reset();
}

void HolderTable::markUnreachable(const InstanceId &peer, TimePoint until)
{
    TimePoint &known = this->unreachableUntil[peer];
    known = std::max(known, until);
}

std::uint32_t HolderTable::usableConnections(const RouteTable &routes, const GroupId &group) const
{
    const auto limits = routes.groups.find(group);
    const std::uint32_t limit = limits == routes.groups.end() ? 1 : limits->second.maxConnections;
    return limit > this->reserved ? limit - this->reserved : 1;
}

bool HolderTable::isScarce(const RouteTable &routes, const GroupId &group,
                           std::uint32_t poolers) const
{
    const std::size_t teams = routes.hasTeams ? std::max<std::size_t>(1, routes.teams.size()) : 1;
    return this->usableConnections(routes, group) < poolers * teams;
}

bool HolderTable::isScarce(const RouteTable &routes, std::uint32_t poolers) const
{
    return std::any_of(routes.groups.begin(), routes.groups.end(), [&](const auto &entry) {
        return this->isScarce(routes, entry.first, poolers);
    });
}

std::uint32_t HolderTable::holdersPerDomain(const RouteTable &routes, const GroupId &group) const
{
    // The connections of a team cannot serve another one, so they are not spread over holders.
    if (routes.hasTeams)
        return 1;
    const std::uint32_t domains = std::max<std::uint32_t>(1, this->peers.failureDomains);
    return std::max<std::uint32_t>(1, this->usableConnections(routes, group)
                                          / (domains * ConnectionsPerHolder));
}

std::vector<GroupId> HolderTable::scarceGroups(const RouteTable &routes,
                                               std::uint32_t poolers) const
{
    std::vector<GroupId> groups;
    for (const auto &[group, limits] : routes.groups) {
        if (this->isScarce(routes, group, poolers))
            groups.push_back(group);
    }
    return groups;
}

std::vector<HolderDemand> HolderTable::demands(const RouteTable &routes,
                                               const std::vector<GroupId> &groups) const
{
    // Sessions of public routes belong to no team.
    std::set<GroupId> groupsWithoutTeam;
    for (const auto &[database, route] : routes.routes) {
        if (route.isPublic)
            groupsWithoutTeam.insert(route.group);
    }
    std::map<TeamId, std::uint64_t> weights;
    for (const auto &[team, settings] : routes.teams)
        weights[team] = placementWeight(routes, team);
    std::vector<HolderDemand> demands;
    for (const GroupId &group : groups) {
        const std::uint32_t holders = this->holdersPerDomain(routes, group);
        if (!routes.hasTeams || groupsWithoutTeam.count(group) != 0)
            demands.push_back({placementKey(group, {}), placementWeight(routes, {}), holders});
        for (const auto &[team, weight] : weights) {
            if (routes.hasTeams)
                demands.push_back({placementKey(group, team), weight, holders});
        }
    }
    return demands;
}

void HolderTable::updatePlacement(const RouteTable &routes, std::uint32_t poolers)
{
    PlacementInputs &known = this->placementInputs;
    const bool hasSameRoutes = this->placement && known.routesVersion == routes.version;
    if (hasSameRoutes && known.poolers == poolers)
        return;
    std::vector<GroupId> scarce = this->scarceGroups(routes, poolers);
    known.poolers = poolers;
    if (hasSameRoutes && known.scarceGroups == scarce)
        return;
    std::vector<InstanceId> instances;
    instances.reserve(this->peers.peers.size());
    for (const PoolerPeer &peer : this->peers.peers)
        instances.push_back(peer.instance);
    const std::size_t teams = routes.hasTeams ? std::max<std::size_t>(1, routes.teams.size()) : 1;
    const bool isTooLarge = scarce.size() * teams * instances.size() > MaxPlacementScores;
    this->placement.emplace(isTooLarge ? std::vector<HolderDemand>()
                                       : this->demands(routes, scarce),
                            std::move(instances));
    known.routesVersion = routes.version;
    known.scarceGroups = std::move(scarce);
}

bool HolderTable::isReachable(const InstanceId &instance, TimePoint now) const
{
    const auto unreachable = this->unreachableUntil.find(instance);
    return instance == this->self || unreachable == this->unreachableUntil.end()
           || now >= unreachable->second;
}

const PoolerPeer *HolderTable::holder(const RouteTable &routes, const GroupId &group,
                                      const TeamId &team, std::uint32_t poolers, TimePoint now)
{
    if (this->peers.peers.empty() || !this->isScarce(routes, group, poolers))
        return nullptr;
    this->updatePlacement(routes, poolers);
    const std::string key = placementKey(group, team);
    // The poolers of the domain spread over the holders of the group.
    const std::string entryKey = key + "/" + this->self.value;
    const PoolerPeer *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const std::size_t index : this->placement->holders(key)) {
        const PoolerPeer &peer = this->peers.peers[index];
        if (peer.instance == this->self)
            return nullptr;
        const std::uint64_t score = rendezvousScore(entryKey, peer.instance);
        if (this->isReachable(peer.instance, now) && (best == nullptr || score > bestScore)) {
            best = &peer;
            bestScore = score;
        }
    }
    if (best != nullptr)
        return best;
    const std::size_t substitute = this->placement->substitute(key, [&](std::size_t index) {
        return this->isReachable(this->peers.peers[index].instance, now);
    });
    if (substitute == this->peers.peers.size()
        || this->peers.peers[substitute].instance == this->self)
        return nullptr;
    return &this->peers.peers[substitute];
}

std::optional<std::uint32_t> HolderTable::connections(const RouteTable &routes,
                                                      const GroupId &group, const TeamId &team,
                                                      std::uint32_t poolers) const
{
    if (this->peers.peers.empty() || !this->isScarce(routes, group, poolers))
        return std::nullopt;
    const std::uint32_t domains = std::max<std::uint32_t>(1, this->peers.failureDomains);
    const std::uint32_t usable = this->usableConnections(routes, group) / domains;
    if (!routes.hasTeams)
        return std::max<std::uint32_t>(1, usable / this->holdersPerDomain(routes, group));
    const auto share = static_cast<std::uint32_t>(usable * loadShare(routes, team));
    return std::max(MinTeamConnections, share);
}

} // namespace rhubarbweir
