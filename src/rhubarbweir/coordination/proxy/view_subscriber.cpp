// See view_subscriber.hpp.
#include "rhubarbweir/coordination/proxy/view_subscriber.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// Delay before the next control instance is tried after a refusal or a lost connection.
constexpr Duration SwitchDelay = std::chrono::milliseconds(50);
constexpr std::size_t MaxUnansweredRenewals = 16;

bool haveSameStates(const std::vector<TargetObservation> &a,
                    const std::vector<TargetObservation> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const TargetObservation &left, const TargetObservation &right) {
                          return left.target == right.target && left.state == right.state;
                      });
}

} // namespace

ViewSubscriber::ViewSubscriber(ViewSubscriberSettings givenSettings, ViewSubscriberHooks givenHooks)
    : settings(std::move(givenSettings))
    , hooks(std::move(givenHooks))
{
}

void ViewSubscriber::start(TimePoint now)
{
    this->useNextControl(now);
}

void ViewSubscriber::setObservations(std::vector<TargetObservation> newObservations, TimePoint now)
{
    const bool changed = !haveSameStates(this->observations, newObservations);
    this->observations = std::move(newObservations);
    if (changed && this->isConnected)
        this->renew(now);
}

void ViewSubscriber::setDraining(bool isDraining, TimePoint now)
{
    this->draining = isDraining;
    if (this->isConnected)
        this->renew(now);
}

void ViewSubscriber::connected(TimePoint now)
{
    this->isConnected = true;
    this->renew(now);
}

void ViewSubscriber::disconnected(TimePoint now)
{
    this->isConnected = false;
    this->overdueAt = std::min(this->overdueAt, now + SwitchDelay);
}

void ViewSubscriber::receive(const LeaseGranted &message, TimePoint now)
{
    const auto sent =
        std::find_if(this->unanswered.begin(), this->unanswered.end(),
                     [&](const SentRenewal &each) { return each.sequence == message.sequence; });
    if (sent == this->unanswered.end())
        return;
    const TimePoint sentAt = sent->sentAt;
    this->unanswered.erase(this->unanswered.begin(), sent + 1);
    if (!this->apply(message.delta)) {
        // An instance that is behind this proxy's view must not extend its lease.
        this->useNextControl(now);
        return;
    }
    if (this->unanswered.empty())
        this->overdueAt = TimePoint::max();
    const Duration drift = message.leaseFor / this->settings.driftDivisor;
    const TimePoint deadline = sentAt + message.leaseFor - drift;
    if (deadline <= this->leaseEnd)
        return;
    this->leaseEnd = deadline;
    this->hooks.leaseChanged(deadline);
}

void ViewSubscriber::receive(const LeaseRefused &message, TimePoint now)
{
    const bool isAwaited =
        std::any_of(this->unanswered.begin(), this->unanswered.end(),
                    [&](const SentRenewal &each) { return each.sequence == message.sequence; });
    if (!isAwaited)
        return;
    if (!message.leaderAddress.empty() && message.leaderAddress != this->controlAddress) {
        this->useAddress(message.leaderAddress, now);
        return;
    }
    this->unanswered.clear();
    this->overdueAt = now + SwitchDelay;
}

void ViewSubscriber::receive(const ViewChanged &message, TimePoint)
{
    this->apply(message.delta);
}

void ViewSubscriber::advance(TimePoint now)
{
    if (now >= this->overdueAt)
        this->useNextControl(now);
    else if (this->isConnected && now >= this->renewAt)
        this->renew(now);
}

TimePoint ViewSubscriber::nextDeadline() const
{
    return this->isConnected ? std::min(this->renewAt, this->overdueAt) : this->overdueAt;
}

void ViewSubscriber::renew(TimePoint now)
{
    RenewLease message;
    message.proxy = this->settings.instance;
    message.address = this->settings.address;
    message.failureDomain = this->settings.failureDomain;
    message.incarnation = this->settings.incarnation;
    message.sequence = ++this->lastSequence;
    message.revision = this->view->revision;
    message.draining = this->draining;
    message.groups = this->settings.groups;
    message.observations = this->observations;
    if (this->unanswered.size() == MaxUnansweredRenewals)
        this->unanswered.erase(this->unanswered.begin());
    this->unanswered.push_back({message.sequence, now});
    this->renewAt = now + this->settings.renewInterval;
    this->overdueAt = std::min(this->overdueAt, now + this->settings.answerTimeout);
    this->hooks.send(message);
}

void ViewSubscriber::useNextControl(TimePoint now)
{
    const auto &addresses = this->settings.controlAddresses;
    if (addresses.empty())
        return;
    const std::string address = addresses[this->nextControl % addresses.size()];
    ++this->nextControl;
    this->useAddress(address, now);
}

void ViewSubscriber::useAddress(const std::string &address, TimePoint now)
{
    this->controlAddress = address;
    this->isConnected = false;
    // Answers of the former instance are ignored from now on.
    this->unanswered.clear();
    this->overdueAt = now + this->settings.answerTimeout;
    this->hooks.useControl(address);
}

bool ViewSubscriber::apply(const ViewDelta &delta)
{
    const std::uint64_t revision = this->view->revision;
    if (delta.toRevision < revision || delta.fromRevision > revision)
        return false;
    if (delta.toRevision == revision && revision != 0)
        return true;
    auto next = std::make_shared<ProxyView>();
    next->revision = delta.toRevision;
    // A delta from revision 0 contains every group, so groups missing from it were removed.
    if (delta.fromRevision != 0)
        next->groups = this->view->groups;
    for (const GroupId &group : delta.removed)
        next->groups.erase(group);
    for (const GroupView &group : delta.groups) {
        std::uint64_t &newest = this->newestGroupRevisions[group.group];
        const auto held = this->view->groups.find(group.group);
        if (group.revision >= newest)
            next->groups[group.group] = group;
        else if (held != this->view->groups.end())
            next->groups[group.group] = held->second;
        newest = std::max(newest, group.revision);
    }
    this->view = std::move(next);
    this->hooks.viewChanged(this->view);
    return true;
}

} // namespace rhubarbweir
