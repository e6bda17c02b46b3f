// See view_publisher.hpp.
#include "rhubarbweir/coordination/control/view_publisher.hpp"

#include "rhubarbweir/coordination/control/group_view_builder.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

// Minimum time between two publications. The first change is published immediately, later ones
// together.
constexpr Duration PublishInterval = std::chrono::milliseconds(20);

} // namespace

ViewPublisher::ViewPublisher(const ControlContext &controlContext)
    : context(controlContext)
{
}

void ViewPublisher::renew(ConnectionId connection, const RenewLease &message, bool isActiveLeader,
                          TimePoint now)
{
    if (!isActiveLeader || now >= this->context.quorum.leaseEnd()) {
        this->refuse(connection, message, "this instance holds no leader lease");
        return;
    }
    if (message.revision > this->context.state.revision()) {
        this->refuse(connection, message,
                     "the proxy has the newer revision " + std::to_string(message.revision));
        return;
    }
    ProxyLease *lease = this->context.leases.renew(connection, message, now);
    if (lease == nullptr) {
        this->refuse(connection, message, "a later run of the proxy has replaced this one");
        return;
    }
    LeaseGranted answer;
    answer.sequence = message.sequence;
    answer.leaseFor = this->context.settings.leaseFor;
    answer.delta = this->deltaFor(*lease, lease->revision);
    this->context.leases.grant(*lease, answer.delta.toRevision, now);
    this->context.hooks.sendToProxy(connection, answer);
    if (!this->runsWithLease.insert(lease->run).second)
        return;
    ControlEvent event;
    event.kind = ControlEventKind::ProxyLeaseStarted;
    event.instance = message.proxy;
    event.revision = message.revision;
    this->context.hooks.event(event);
}

void ViewPublisher::refuse(ConnectionId connection, const RenewLease &message, std::string cause)
{
    this->context.hooks.sendToProxy(
        connection, LeaseRefused{message.sequence, this->context.quorum.leaderAddress()});
    ControlEvent event;
    event.kind = ControlEventKind::LeaseRefused;
    event.instance = message.proxy;
    event.cause = std::move(cause);
    this->context.hooks.event(event);
}

void ViewPublisher::schedulePublish(TimePoint now)
{
    this->isPublishDue = true;
    if (now >= this->nextPublishAt)
        this->publish(now);
}

void ViewPublisher::publish(TimePoint now)
{
    this->isPublishDue = false;
    this->nextPublishAt = now + PublishInterval;
    if (now >= this->context.quorum.leaseEnd())
        return;
    for (auto &[run, lease] : this->context.leases.all()) {
        if (lease.connection == 0 || lease.isRetired || !lease.hasView)
            continue;
        this->context.hooks.sendToProxy(lease.connection,
                                        ViewChanged{this->deltaFor(lease, lease.sentRevision)});
    }
}

// The answer to a renewal starts at the revision that the proxy reported, so that it covers lost
// messages. Changes pushed in between start at the last revision sent.
ViewDelta ViewPublisher::deltaFor(ProxyLease &lease, std::uint64_t fromRevision) const
{
    const ReplicatedState &state = this->context.state;
    ViewDelta delta;
    delta.fromRevision = fromRevision;
    delta.toRevision = state.revision();
    for (const GroupId &group : state.groupsChangedSince(fromRevision)) {
        // A returning proxy may hold views of groups that it no longer subscribes to, including
        // grants that it lost. It therefore gets every change since its revision.
        const bool isReturning = !lease.hasView && lease.revision != 0;
        if (!isReturning && !this->isSubscribed(lease, group))
            continue;
        lease.sentGroups.insert(group);
        delta.groups.push_back(this->viewFor(lease, group));
    }
    lease.sentRevision = delta.toRevision;
    return delta;
}

bool ViewPublisher::isSubscribed(const ProxyLease &lease, const GroupId &group) const
{
    const auto &wanted = lease.subscription;
    if (wanted.empty() || std::find(wanted.begin(), wanted.end(), group) != wanted.end())
        return true;
    const auto &holders = this->context.state.grantsOf(group).holders;
    return lease.sentGroups.count(group) != 0
           || std::any_of(holders.begin(), holders.end(), [&](const GrantHolder &holder) {
                  return holder.proxy == lease.run.proxy;
              });
}

GroupView ViewPublisher::viewFor(const ProxyLease &lease, const GroupId &group) const
{
    GroupView view = buildGroupView(this->context.state, group);
    const auto &holders = this->context.state.grantsOf(group).holders;
    const auto isOfEarlierRun = [&](const HolderView &shown) {
        const bool isHeldNow =
            std::any_of(holders.begin(), holders.end(), [&](const GrantHolder &holder) {
                return holder.proxy == shown.proxy && holder.incarnation == lease.run.incarnation;
            });
        return shown.proxy == lease.run.proxy && !isHeldNow;
    };
    view.holders.erase(std::remove_if(view.holders.begin(), view.holders.end(), isOfEarlierRun),
                       view.holders.end());
    return view;
}

void ViewPublisher::advance(TimePoint now)
{
    if (this->isPublishDue && now >= this->nextPublishAt)
        this->publish(now);
    for (auto run = this->runsWithLease.begin(); run != this->runsWithLease.end();) {
        if (this->context.leases.hasLease(*run, now)) {
            ++run;
            continue;
        }
        ControlEvent event;
        event.kind = ControlEventKind::ProxyLeaseEnded;
        event.instance = run->proxy;
        event.cause = "the lease was not renewed in time";
        this->context.hooks.event(event);
        run = this->runsWithLease.erase(run);
    }
}

std::vector<ProxyStatus> ViewPublisher::proxies(TimePoint now) const
{
    std::vector<ProxyStatus> statuses;
    for (const auto &[run, lease] : this->context.leases.all()) {
        if (!lease.isRetired)
            statuses.push_back({run.proxy, lease.address, lease.failureDomain, lease.revision,
                                now < lease.endsAt, lease.draining});
    }
    return statuses;
}

} // namespace rhubarbweir
