// See lease_tracker.hpp.
#include "rhubarbweir/coordination/control/lease_tracker.hpp"

#include <algorithm>
#include <limits>

namespace rhubarbweir {

namespace {

Duration withDrift(const ControlSettings &settings)
{
    return settings.leaseFor + settings.leaseFor / settings.driftDivisor;
}

} // namespace

LeaseTracker::LeaseTracker(const ControlSettings &controlSettings)
    : settings(controlSettings)
{
}

ProxyLease *LeaseTracker::renew(ConnectionId connection, const RenewLease &message, TimePoint now)
{
    const ProxyRun run{message.proxy, message.incarnation};
    ProxyLease &lease = this->leases[run];
    if (lease.isRetired)
        return nullptr;
    this->retireOtherRuns(run);
    lease.run = run;
    lease.address = message.address;
    lease.failureDomain = message.failureDomain;
    lease.hasView = lease.hasView && lease.connection == connection;
    if (lease.connection != connection)
        lease.sentRevision = 0;
    lease.connection = connection;
    // A run without a lease is tracked as well.
    lease.endsAt = std::max(lease.endsAt, now);
    // Messages sent on a former connection may arrive late.
    lease.revision = std::max(lease.revision, message.revision);
    lease.subscription = message.groups;
    if (message.draining && !lease.draining)
        lease.drainDeadline = now + this->settings.drainTimeout;
    lease.draining = message.draining;
    return &lease;
}

void LeaseTracker::retireOtherRuns(const ProxyRun &run)
{
    const auto first = this->leases.lower_bound(ProxyRun{run.proxy, 0});
    for (auto entry = first; entry != this->leases.end() && entry->first.proxy == run.proxy;
         ++entry) {
        if (!(entry->first == run))
            entry->second.isRetired = true;
    }
}

void LeaseTracker::grant(ProxyLease &lease, std::uint64_t revision, TimePoint now)
{
    lease.hasView = true;
    lease.endsAt = now + withDrift(this->settings);
    const auto hasEnded = [now](const GrantedLease &granted) {
        return granted.endsAt <= now;
    };
    lease.granted.erase(std::remove_if(lease.granted.begin(), lease.granted.end(), hasEnded),
                        lease.granted.end());
    if (!lease.granted.empty() && lease.granted.back().revision == revision)
        lease.granted.back().endsAt = lease.endsAt;
    else
        lease.granted.push_back({revision, lease.endsAt});
}

void LeaseTracker::connectionClosed(ConnectionId connection)
{
    for (auto &[run, lease] : this->leases) {
        if (lease.connection == connection) {
            lease.connection = 0;
            lease.hasView = false;
        }
    }
}

void LeaseTracker::beginLeadership(TimePoint now)
{
    this->leases.clear();
    this->graceEndsAt = now + withDrift(this->settings);
}

void LeaseTracker::evictExpired(TimePoint now)
{
    for (auto entry = this->leases.begin(); entry != this->leases.end();) {
        if (now >= entry->second.endsAt + RememberedLeases * this->settings.leaseFor)
            entry = this->leases.erase(entry);
        else
            ++entry;
    }
}

bool LeaseTracker::hasLease(const ProxyRun &run, TimePoint now) const
{
    const ProxyLease *lease = this->find(run);
    return lease != nullptr && now < lease->endsAt;
}

bool LeaseTracker::mayUseOlderView(const ProxyRun &run, std::uint64_t revision, TimePoint now) const
{
    const std::optional<std::uint64_t> oldest = this->oldestRevision(run, now);
    return !oldest || revision > *oldest;
}

std::optional<std::uint64_t> LeaseTracker::oldestRevision(const ProxyRun &run, TimePoint now) const
{
    const ProxyLease *lease = this->find(run);
    if (now < this->graceEndsAt)
        return lease == nullptr ? std::nullopt : std::make_optional(lease->revision);
    std::uint64_t oldest = std::numeric_limits<std::uint64_t>::max();
    if (lease == nullptr)
        return oldest;
    for (const GrantedLease &granted : lease->granted) {
        if (now < granted.endsAt)
            oldest = std::min(oldest, granted.revision);
    }
    return std::max(oldest, lease->revision);
}

const ProxyLease *LeaseTracker::find(const ProxyRun &run) const
{
    const auto found = this->leases.find(run);
    return found == this->leases.end() ? nullptr : &found->second;
}

const ProxyLease *LeaseTracker::current(const InstanceId &proxy) const
{
    const auto first = this->leases.lower_bound(ProxyRun{proxy, 0});
    for (auto entry = first; entry != this->leases.end() && entry->first.proxy == proxy; ++entry) {
        if (!entry->second.isRetired)
            return &entry->second;
    }
    return nullptr;
}

} // namespace rhubarbweir
