// See pooler_registry.hpp.
#include "rhubarbweir/coordination/fleet/pooler_registry.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>
#include <vector>

namespace rhubarbweir {

namespace {

// Targets close the connections of an unreachable machine after this.
constexpr std::chrono::seconds DeadConnectionLifetime{3};
// A pooler keeps its share of connections for this long after its lease ended. Longer than most
// network partitions and process freezes.
constexpr std::chrono::seconds PoolerRetention{15};

ProxyRun runOf(const PoolerRun &registered)
{
    return {registered.pooler, registered.incarnation};
}

} // namespace

PoolerRegistry::PoolerRegistry(const FleetSettings &fleetSettings, const FleetState &fleetState,
                               const LeaseTracker &leaseTracker, PoolerRegistryPorts registryPorts)
    : settings(fleetSettings)
    , state(fleetState)
    , leases(leaseTracker)
    , ports(std::move(registryPorts))
{
}

void PoolerRegistry::beginLeadership(TimePoint now)
{
    this->leadsSince = now;
    this->renewedRuns.clear();
    this->pending.clear();
    this->registeredAt.clear();
    this->proposedUntil.clear();
}

void PoolerRegistry::recordRenewal(const ProxyRun &run)
{
    const auto first = this->renewedRuns.lower_bound({run.proxy, 0});
    if (first != this->renewedRuns.end() && *first == run)
        return;
    if (first != this->renewedRuns.end() && first->proxy == run.proxy)
        this->renewedRuns.erase(first);
    this->renewedRuns.insert(run);
}

void PoolerRegistry::add(const ProxyRun &run, std::uint64_t sequence, TimePoint now)
{
    this->pending[run] = sequence;
    TimePoint &until = this->proposedUntil[run];
    if (now < until)
        return;
    until = now + this->settings.proposalTimeout;
    this->ports.propose(RegisterPooler{run.proxy, run.incarnation}, now);
}

std::optional<std::uint64_t> PoolerRegistry::committed(const ProxyRun &run, TimePoint now)
{
    this->proposedUntil.erase(run);
    const auto waiting = this->pending.find(run);
    if (waiting == this->pending.end())
        return std::nullopt;
    this->registeredAt[run] = now;
    const std::uint64_t sequence = waiting->second;
    this->pending.erase(waiting);
    return sequence;
}

void PoolerRegistry::removed(const ProxyRun &run)
{
    this->proposedUntil.erase(run);
    this->registeredAt.erase(run);
    this->renewedRuns.erase(run);
}

void PoolerRegistry::evictExpired(TimePoint now)
{
    // Collected first, because a proposal may change the state synchronously.
    std::vector<PoolerRun> due;
    for (const auto &[key, registered] : this->state.poolers()) {
        const ProxyRun run = runOf(registered);
        const ProxyLease *lease = this->leases.find(run);
        const TimePoint endsAt = lease == nullptr
                                     ? this->leases.graceEnd()
                                     : std::max(lease->endsAt, this->leases.graceEnd());
        // An ended run is kept as long as in the lease tracker, so that its late messages are
        // refused.
        const Duration retention =
            registered.hasEnded ? this->settings.lease.leaseFor * LeaseTracker::RememberedLeases
                                : Duration(PoolerRetention);
        if (now >= endsAt + retention)
            due.push_back(registered);
    }
    for (const PoolerRun &registered : due) {
        const ProxyRun run = runOf(registered);
        TimePoint &until = this->proposedUntil[run];
        if (now < until)
            continue;
        until = now + this->settings.proposalTimeout;
        this->ports.event("pooler_forgotten",
                          {{"pooler", run.proxy.value},
                           {"incarnation", absl::StrCat(run.incarnation)},
                           {"cause", registered.hasEnded ? "ended" : "no_lease"}});
        this->ports.propose(ForgetPooler{run.proxy, run.incarnation}, now);
    }
}

std::size_t PoolerRegistry::formerRunCount(TimePoint now)
{
    for (auto entry = this->registeredAt.begin(); entry != this->registeredAt.end();) {
        const bool isOver = now >= entry->second + DeadConnectionLifetime;
        entry = isOver ? this->registeredAt.erase(entry) : std::next(entry);
    }
    std::size_t notRenewed = 0;
    if (now < this->leadsSince + DeadConnectionLifetime)
        notRenewed = this->state.livePoolers()
                     - std::min(this->state.livePoolers(), this->renewedRuns.size());
    return this->registeredAt.size() + notRenewed;
}

void PoolerRegistry::beginSupervision()
{
    this->lastSummary.reset();
}

bool PoolerRegistry::hasSilentPooler(TimePoint now) const
{
    return this->summary(now).hasSilentPooler;
}

bool PoolerRegistry::mayUseOlderView(std::uint64_t revision, TimePoint now) const
{
    const std::optional<std::uint64_t> &oldest = this->summary(now).oldestRevision;
    return !oldest || revision > *oldest;
}

bool PoolerRegistry::isSilent(const ProxyLease *lease, TimePoint now) const
{
    if (lease == nullptr)
        return now < this->leases.graceEnd();
    const bool isRecent =
        now < lease->endsAt - this->settings.lease.leaseFor + this->settings.reportLifetime;
    return !lease->isRetired && now < lease->endsAt && !isRecent;
}

const PoolerRegistry::Summary &PoolerRegistry::summary(TimePoint now) const
{
    if (this->lastSummary && this->lastSummary->madeAt == now)
        return *this->lastSummary;
    Summary &summary = this->lastSummary.emplace(Summary{});
    summary.madeAt = now;
    summary.oldestRevision = std::numeric_limits<std::uint64_t>::max();
    for (const auto &[key, registered] : this->state.poolers()) {
        if (registered.hasEnded)
            continue;
        const ProxyRun run = runOf(registered);
        const ProxyLease *lease = this->leases.find(run);
        summary.hasSilentPooler = summary.hasSilentPooler || this->isSilent(lease, now);
        // A later run of the same pooler proves that this one ended.
        if (!summary.oldestRevision || (lease != nullptr && lease->isRetired))
            continue;
        const std::optional<std::uint64_t> oldest = this->leases.oldestRevision(run, now);
        summary.oldestRevision =
            oldest ? std::make_optional(std::min(*oldest, *summary.oldestRevision)) : std::nullopt;
    }
    return summary;
}

} // namespace rhubarbweir
