// Tracks the leases of proxies at the leader, and which views may still be in force.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace rhubarbweir {

// One start of a proxy process.
struct ProxyRun
{
    InstanceId proxy;
    std::uint64_t incarnation = 0;

    friend bool operator==(const ProxyRun &a, const ProxyRun &b)
    {
        return a.proxy == b.proxy && a.incarnation == b.incarnation;
    }
    friend bool operator<(const ProxyRun &a, const ProxyRun &b)
    {
        return std::tie(a.proxy, a.incarnation) < std::tie(b.proxy, b.incarnation);
    }
};

// A lease that was granted together with a view.
struct GrantedLease
{
    std::uint64_t revision = 0;
    TimePoint endsAt;
};

struct ProxyLease
{
    ProxyRun run;
    std::string address;
    FailureDomainId failureDomain;
    // 0 if there is none.
    ConnectionId connection = 0;
    // Revision last reported by the proxy. No older one is in force there.
    std::uint64_t revision = 0;
    // Revision of the last view or change sent on the connection; 0 if none was sent on it.
    std::uint64_t sentRevision = 0;
    std::vector<GroupId> subscription;
    // Whether the first view was sent on the connection.
    bool hasView = false;
    // Groups that were sent to the proxy. Their changes are sent regardless of the subscription.
    std::set<GroupId> sentGroups;
    bool draining = false;
    // Until when a draining proxy keeps the slots that it has in use.
    TimePoint drainDeadline;
    // No lease of this run ends later, on any clock within the drift bound.
    TimePoint endsAt;
    // Leases that may still be valid, oldest first. Neither revisions nor end times decrease.
    std::vector<GrantedLease> granted;
    // Another run of the proxy replaced this one, which gets no further lease.
    bool isRetired = false;
};

class LeaseTracker
{
public:
    // Ended runs are remembered for this many lease durations, so that they are refused if they
    // return.
    static constexpr int RememberedLeases = 30;

    explicit LeaseTracker(const ControlSettings &controlSettings);

    // Records a renewal. Returns null if a later run of the proxy has replaced this one.
    ProxyLease *renew(ConnectionId connection, const RenewLease &message, TimePoint now);
    // Records that a lease with the view of `revision` is being sent.
    void grant(ProxyLease &lease, std::uint64_t revision, TimePoint now);
    void connectionClosed(ConnectionId connection);
    // Discards all leases. Leases granted by another leader may be valid until graceEnd().
    void beginLeadership(TimePoint now);
    // Removes runs whose lease ended more than RememberedLeases lease durations ago.
    void evictExpired(TimePoint now);

    // Until when leases granted by former leaders may be valid.
    TimePoint graceEnd() const { return this->graceEndsAt; }
    bool hasLease(const ProxyRun &run, TimePoint now) const;
    // Whether the run may still use a view older than `revision`.
    bool mayUseOlderView(const ProxyRun &run, std::uint64_t revision, TimePoint now) const;
    // The newest revision of which the run is known to use no older view; max() if it can use none
    // at all, empty if it may use any.
    std::optional<std::uint64_t> oldestRevision(const ProxyRun &run, TimePoint now) const;
    // Returns null for a run that has not renewed with this leader.
    const ProxyLease *find(const ProxyRun &run) const;
    // Returns the run that renewed last; null for an unknown proxy.
    const ProxyLease *current(const InstanceId &proxy) const;
    std::map<ProxyRun, ProxyLease> &all() { return this->leases; }
    const std::map<ProxyRun, ProxyLease> &all() const { return this->leases; }

private:
    void retireOtherRuns(const ProxyRun &run);

    const ControlSettings &settings;
    TimePoint graceEndsAt;
    std::map<ProxyRun, ProxyLease> leases;
};

} // namespace rhubarbweir
