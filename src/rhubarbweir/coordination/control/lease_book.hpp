// Leases of proxies as the leader counts them, and which views they may still have in force.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"

#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace rhubarbweir {

// One start of a proxy's process.
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
    // 0 while there is none.
    ConnectionId connection = 0;
    // Revision that the proxy reported last; it has no older one in force.
    std::uint64_t revision = 0;
    // Revision of the last view or change sent on the connection.
    std::uint64_t sentRevision = 0;
    std::vector<GroupId> subscription;
    // The first view on the connection was sent.
    bool hasView = false;
    // Groups that were ever sent; their changes are sent too, whatever the subscription.
    std::set<GroupId> shownGroups;
    bool draining = false;
    // A draining proxy keeps what is in use until here.
    TimePoint drainDeadline;
    // No lease of this run ends later, by any clock within the drift allowance.
    TimePoint endsAt;
    // Leases that may still run, oldest first; revisions and ends never fall.
    std::vector<GrantedLease> granted;
    // Another run of the proxy took over: no further lease.
    bool isRetired = false;
};

class LeaseBook
{
public:
    // An ended run is remembered for so many leases, to refuse it if it comes back.
    static constexpr int RememberedLeases = 30;

    explicit LeaseBook(const ControlSettings &controlSettings);

    // Notes a renewal. Null when a later run of the proxy renewed before.
    ProxyLease *renew(ConnectionId connection, const RenewLease &message, TimePoint now);
    // A lease with the view of `revision` is sent now.
    void grant(ProxyLease &lease, std::uint64_t revision, TimePoint now);
    void connectionClosed(ConnectionId connection);
    // Forgets everything; leases that another leader granted may run until graceEnd().
    void beginOffice(TimePoint now);
    // Forgets runs whose lease ended long ago.
    void forgetOld(TimePoint now);

    // Until here leases of former leaders may run.
    TimePoint graceEnd() const { return this->officeGraceEnd; }
    bool hasLease(const ProxyRun &run, TimePoint now) const;
    // Whether the run may act by a view older than `revision`.
    bool mayUseBefore(const ProxyRun &run, std::uint64_t revision, TimePoint now) const;
    // Null for a run that did not renew in this office.
    const ProxyLease *find(const ProxyRun &run) const;
    // The run that renewed last; null for an unknown proxy.
    const ProxyLease *current(const InstanceId &proxy) const;
    std::map<ProxyRun, ProxyLease> &all() { return this->leases; }
    const std::map<ProxyRun, ProxyLease> &all() const { return this->leases; }

private:
    void retireOthers(const ProxyRun &run);

    const ControlSettings &settings;
    TimePoint officeGraceEnd;
    std::map<ProxyRun, ProxyLease> leases;
};

} // namespace rhubarbweir
