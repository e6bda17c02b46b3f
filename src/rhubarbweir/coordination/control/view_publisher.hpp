// Gives proxies leases together with the view, and pushes changes of the view.
#pragma once

#include "rhubarbweir/coordination/control/control_context.hpp"

namespace rhubarbweir {

class ViewPublisher
{
public:
    explicit ViewPublisher(const ControlContext &controlContext);

    // Extends the proxy's lease, or refuses when this instance must not: it does not lead, its
    // own lease from the quorum ended, or it knows less than the proxy.
    void renew(ConnectionId connection, const RenewLease &message, bool isInOffice, TimePoint now);
    // Pushes what changed since each proxy's view; changes in quick succession go out together.
    void publishSoon(TimePoint now);
    // Publishes what is due and logs leases that ended.
    void advance(TimePoint now);
    std::vector<ProxyStatus> proxies(TimePoint now) const;

private:
    void publish(TimePoint now);
    void refuse(ConnectionId connection, const RenewLease &message, std::string cause);
    ViewDelta deltaFor(ProxyLease &lease, std::uint64_t fromRevision) const;
    bool isWanted(const ProxyLease &lease, const GroupId &group) const;
    // A grant of an earlier run of the proxy is not shown to it.
    GroupView viewFor(const ProxyLease &lease, const GroupId &group) const;

    const ControlContext &context;
    // Runs whose lease runs, for the log.
    std::set<ProxyRun> leased;
    bool isPublishDue = false;
    TimePoint nextPublishAt;
};

} // namespace rhubarbweir
