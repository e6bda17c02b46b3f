// See holder_table.hpp.
#include "rhubarbweir/coordination/sessions/holder_table.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace rhubarbweir {

namespace {

// A holder needs this many connections to each target to run transactions beside statements.
constexpr std::uint32_t ConnectionsPerHolder = 4;
// A team needs one connection for a transaction and one for other statements.
constexpr std::uint32_t MinTeamConnections = 2;

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

std::size_t rank(const InstanceId &instance, const std::string &key)
{
    return std::hash<std::string>()(instance.value + "/" + key);
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

const PoolerPeer *HolderTable::holder(const RouteTable &routes, const GroupId &group,
                                      const TeamId &team, std::uint32_t poolers,
                                      TimePoint now) const
{
    if (!this->isScarce(routes, group, poolers))
        return nullptr;
    const std::string key = group.value + "/" + team.value;
    // Null stands for this pooler.
    std::vector<std::pair<std::size_t, const PoolerPeer *>> ranked;
    ranked.emplace_back(rank(this->self, key), nullptr);
    for (const PoolerPeer &peer : this->peers.peers) {
        const auto unreachable = this->unreachableUntil.find(peer.instance);
        const bool isReachable =
            unreachable == this->unreachableUntil.end() || now >= unreachable->second;
        if (peer.instance != this->self && isReachable)
            ranked.emplace_back(rank(peer.instance, key), &peer);
    }
    const std::size_t count =
        std::min<std::size_t>(this->holdersPerDomain(routes, group), ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    const bool holdsItself =
        std::any_of(ranked.begin(), end, [](const auto &entry) { return entry.second == nullptr; });
    if (holdsItself)
        return nullptr;
    // The poolers of the domain spread over its holders.
    return ranked[rank(this->self, key + "/entry") % count].second;
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
