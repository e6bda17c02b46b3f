// Grants leases to proxies together with the view, and pushes view changes.
#pragma once

#include "rhubarbweir/coordination/control/control_context.hpp"

namespace rhubarbweir {

class ViewPublisher
{
public:
    explicit ViewPublisher(const ControlContext &controlContext);

    // Extends the proxy's lease. Refuses if this instance is not the leader, its own lease from the
    // quorum has ended, or its state is older than the proxy's.
    void renew(ConnectionId connection, const RenewLease &message, bool isActiveLeader,
               TimePoint now);
    // Pushes all changes since the last view sent to each proxy. Changes in quick succession are
    // combined.
    void schedulePublish(TimePoint now);
    // Publishes pending changes and logs leases that ended.
    void advance(TimePoint now);
    std::vector<ProxyStatus> proxies(TimePoint now) const;

private:
    void publish(TimePoint now);
    void refuse(ConnectionId connection, const RenewLease &message, std::string cause);
    ViewDelta deltaFor(ProxyLease &lease, std::uint64_t fromRevision) const;
    bool isSubscribed(const ProxyLease &lease, const GroupId &group) const;
    // Omits grants of earlier runs of the proxy.
    GroupView viewFor(const ProxyLease &lease, const GroupId &group) const;

    const ControlContext &context;
    // Runs with a valid lease, to log when it ends.
    std::set<ProxyRun> runsWithLease;
    bool isPublishDue = false;
    TimePoint nextPublishAt;
};

} // namespace rhubarbweir
