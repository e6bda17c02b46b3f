// See proxy_node.hpp.
#include "rhubarbweir/coordination/proxy/proxy_node.hpp"

#include "rhubarbweir/coordination/proxy/group_holder.hpp"
#include "rhubarbweir/coordination/proxy/request_router.hpp"

#include <algorithm>
#include <deque>

namespace rhubarbweir {

struct ProxyNode::Impl
{
    struct LocalMessage
    {
        PeerMessage message;
    };

    Impl(ProxySettings givenSettings, std::uint64_t seed, ProxyHooks givenHooks)
        : settings(std::move(givenSettings))
        , hooks(withEvents(std::move(givenHooks)))
        , random(seed)
        , router(this->settings,
                 {this->hooks.answerCaller,
                  [this](const InstanceId &holder, const std::string &address,
                         const PeerMessage &message) { this->send(holder, address, message); },
                  this->hooks.event},
                 this->random)
        , view(std::make_shared<ProxyView>())
    {
    }

    // Replaces an unset event hook by one that does nothing.
    static ProxyHooks withEvents(ProxyHooks given)
    {
        if (!given.event)
            given.event = [](const ProxyEvent &) {
            };
        return given;
    }

    // Messages to this proxy itself are queued until deliverLocalMessages().
    void send(const InstanceId &peer, const std::string &address, const PeerMessage &message)
    {
        if (peer == this->settings.instance)
            this->localMessages.push_back({message});
        else
            this->hooks.sendPeer(peer, address, message);
    }

    void receive(const InstanceId &peer, const PeerMessage &message, TimePoint now)
    {
        if (const auto *answer = std::get_if<ForwardAnswer>(&message)) {
            this->router.holderAnswered(peer, *answer, now);
            return;
        }
        if (const auto *end = std::get_if<EndTransaction>(&message)) {
            if (GroupHolder *holder = this->find(end->group))
                holder->endTransaction(*end, now);
            return;
        }
        const auto &forward = std::get<ForwardRequest>(message);
        if (GroupHolder *holder = this->find(forward.request.group)) {
            holder->forward(peer, forward, now);
            return;
        }
        ForwardAnswer refusal;
        refusal.forwardId = forward.forwardId;
        refusal.answer = makeAnswer(forward.request, Outcome::NotRun, Reason::NoHolder);
        this->send(peer, std::string(), refusal);
    }

    // Runs at the end of every public call: handles the queued messages to this proxy itself and
    // updates the load of its holder sides.
    void deliverLocalMessages(TimePoint now)
    {
        while (!this->localMessages.empty()) {
            const PeerMessage message = std::move(this->localMessages.front().message);
            this->localMessages.pop_front();
            this->receive(this->settings.instance, message, now);
        }
        for (const auto &[group, holder] : this->holders) {
            const HolderLoad load{static_cast<std::uint32_t>(holder->queued()),
                                  holder->targets().slots().totalFree()};
            this->router.updateLoad(group, this->settings.instance, load);
        }
    }

    GroupHolder *find(const GroupId &group)
    {
        const auto found = this->holders.find(group);
        return found == this->holders.end() ? nullptr : found->second.get();
    }

    GroupHolder *findByGeneration(Generation generation)
    {
        const auto found = this->generations.find(generation);
        return found == this->generations.end() ? nullptr : this->find(found->second);
    }

    GroupHolder &findOrCreate(const GroupId &group)
    {
        auto &holder = this->holders[group];
        if (holder)
            return *holder;
        GroupHolderHooks holderHooks;
        holderHooks.answer = [this](const InstanceId &entryProxy, const ForwardAnswer &answer) {
            this->send(entryProxy, std::string(), answer);
        };
        holderHooks.nextProbeId = [this] {
            return ++this->lastProbe;
        };
        holderHooks.targets.nextGeneration = [this, group] {
            this->generations[++this->lastGeneration] = group;
            return this->lastGeneration;
        };
        holderHooks.targets.openTarget = this->hooks.openTarget;
        holderHooks.targets.sendTarget = this->hooks.sendTarget;
        holderHooks.targets.closeTarget = this->hooks.closeTarget;
        holderHooks.targets.event = this->hooks.event;
        holder =
            std::make_unique<GroupHolder>(this->settings, std::move(holderHooks), this->random);
        return *holder;
    }

    std::vector<TargetGrant> grantsOf(const GroupView &group) const
    {
        for (const HolderView &holder : group.holders) {
            if (holder.proxy == this->settings.instance)
                return holder.grants;
        }
        return {};
    }

    const ProxySettings settings;
    ProxyHooks hooks;
    std::mt19937_64 random;
    RequestRouter router;
    ProxyViewPtr view;
    TimePoint leaseEnd;
    // Groups that this proxy holds grants of, and former ones with open connections.
    std::map<GroupId, std::unique_ptr<GroupHolder>> holders;
    // Group of every target connection that is not closed yet.
    std::map<Generation, GroupId> generations;
    std::deque<LocalMessage> localMessages;
    Generation lastGeneration = 0;
    std::uint64_t lastProbe = 0;
    TimePoint lastNow;
    bool draining = false;
    bool reportedDrained = false;
};

ProxyNode::ProxyNode(ProxySettings settings, std::uint64_t seed, ProxyHooks hooks)
    : impl(std::make_unique<Impl>(std::move(settings), seed, std::move(hooks)))
{
}

ProxyNode::~ProxyNode() = default;

void ProxyNode::callerOpened(CallerConnectionId connection)
{
    this->impl->router.callerOpened(connection);
}

void ProxyNode::callerMessage(CallerConnectionId connection, const CallerMessage &message,
                              TimePoint now)
{
    this->impl->router.callerMessage(connection, message, now);
    this->impl->deliverLocalMessages(now);
}

void ProxyNode::callerClosed(CallerConnectionId connection, TimePoint now)
{
    this->impl->router.callerClosed(connection, now);
    this->impl->deliverLocalMessages(now);
}

void ProxyNode::peerMessage(const InstanceId &peer, const PeerMessage &message, TimePoint now)
{
    this->impl->receive(peer, message, now);
    this->impl->deliverLocalMessages(now);
}

void ProxyNode::peerConnected(const InstanceId &peer, TimePoint)
{
    this->impl->router.peerConnected(peer);
}

void ProxyNode::peerLost(const InstanceId &peer, TimePoint now)
{
    this->impl->router.peerLost(peer, now);
    for (const auto &[group, holder] : this->impl->holders)
        holder->entryProxyLost(peer, now);
    this->impl->deliverLocalMessages(now);
}

void ProxyNode::targetOpened(Generation generation, const ConnectionOpened &message, TimePoint now)
{
    if (GroupHolder *holder = this->impl->findByGeneration(generation))
        holder->targetOpened(generation, message, now);
    this->impl->deliverLocalMessages(now);
}

void ProxyNode::targetRefused(Generation generation, OpenFailure failure, TimePoint now)
{
    if (GroupHolder *holder = this->impl->findByGeneration(generation))
        holder->targetRefused(generation, failure, now);
    this->impl->generations.erase(generation);
    this->impl->deliverLocalMessages(now);
}

void ProxyNode::targetMessage(Generation generation, const TargetMessage &message, TimePoint now)
{
    if (GroupHolder *holder = this->impl->findByGeneration(generation))
        holder->targetMessage(generation, message, now);
    this->impl->deliverLocalMessages(now);
}

void ProxyNode::targetClosed(Generation generation, TimePoint now)
{
    if (GroupHolder *holder = this->impl->findByGeneration(generation))
        holder->targetClosed(generation, now);
    this->impl->generations.erase(generation);
    this->impl->deliverLocalMessages(now);
}

void ProxyNode::viewChanged(ProxyViewPtr view, TimePoint now)
{
    const ProxyViewPtr former = std::exchange(this->impl->view, std::move(view));
    const ProxyView &current = *this->impl->view;
    this->impl->router.setView(this->impl->view);
    for (const auto &[name, holder] : this->impl->holders) {
        if (current.groups.count(name) > 0)
            continue;
        GroupView removed;
        removed.group = name;
        holder->setView(removed, {}, now);
    }
    for (const auto &[name, group] : current.groups) {
        const auto grants = this->impl->grantsOf(group);
        const auto old = former->groups.find(name);
        const bool isSame = old != former->groups.end() && old->second.revision == group.revision;
        if (isSame || (grants.empty() && this->impl->find(name) == nullptr))
            continue;
        GroupHolder &holder = this->impl->findOrCreate(name);
        holder.setLease(this->impl->leaseEnd, now);
        holder.setView(group, grants, now);
    }
    this->impl->deliverLocalMessages(now);
}

void ProxyNode::leaseChanged(TimePoint deadline, TimePoint now)
{
    this->impl->leaseEnd = deadline;
    this->impl->router.setLease(deadline);
    for (const auto &[group, holder] : this->impl->holders)
        holder->setLease(deadline, now);
    this->impl->deliverLocalMessages(now);
}

void ProxyNode::drain(TimePoint now)
{
    if (this->impl->draining)
        return;
    this->impl->draining = true;
    ProxyEvent event;
    event.kind = ProxyEventKind::DrainStarted;
    this->impl->hooks.event(event);
    this->impl->router.drain(now);
    this->impl->deliverLocalMessages(now);
}

void ProxyNode::advance(TimePoint now)
{
    this->impl->lastNow = now;
    // Holders go first: if the process was suspended, the lease is checked before any request.
    for (const auto &[group, holder] : this->impl->holders)
        holder->advance(now);
    // Answers of the holders take precedence over the router's own expiry.
    this->impl->deliverLocalMessages(now);
    this->impl->router.advance(now);
    this->impl->deliverLocalMessages(now);
    auto &holders = this->impl->holders;
    for (auto each = holders.begin(); each != holders.end();) {
        const GroupHolder &holder = *each->second;
        const bool isUnused =
            !holder.holdsGrants() && holder.isIdle() && holder.targets().connectionCount() == 0;
        each = isUnused ? holders.erase(each) : std::next(each);
    }
    if (this->isDrained() && !this->impl->reportedDrained) {
        this->impl->reportedDrained = true;
        ProxyEvent event;
        event.kind = ProxyEventKind::Drained;
        this->impl->hooks.event(event);
    }
}

TimePoint ProxyNode::nextDeadline() const
{
    TimePoint next = this->impl->router.nextDeadline();
    for (const auto &[group, holder] : this->impl->holders)
        next = std::min(next, holder->nextDeadline());
    // A draining proxy may count as drained when its lease ends, see isDrained().
    if (this->impl->draining && this->impl->lastNow < this->impl->leaseEnd)
        next = std::min(next, this->impl->leaseEnd);
    return next;
}

bool ProxyNode::isDrained() const
{
    if (!this->impl->draining || !this->impl->router.isIdle())
        return false;
    const bool leaseEnded = this->impl->lastNow >= this->impl->leaseEnd;
    return std::all_of(this->impl->holders.begin(), this->impl->holders.end(),
                       [&](const auto &each) {
                           const GroupHolder &holder = *each.second;
                           return holder.isIdle() && (leaseEnded || !holder.holdsGrants());
                       });
}

std::vector<TargetObservation> ProxyNode::observations() const
{
    std::vector<TargetObservation> all;
    for (const auto &[group, holder] : this->impl->holders) {
        const auto seen = holder->targets().observations(this->impl->lastNow);
        all.insert(all.end(), seen.begin(), seen.end());
    }
    return all;
}

ProxyCounters ProxyNode::counters() const
{
    ProxyCounters counters = this->impl->router.counters();
    counters.inFlight = this->impl->router.inFlight();
    for (const auto &[group, holder] : this->impl->holders) {
        counters.queued += holder->queued();
        counters.connections += holder->targets().connectionCount();
        counters.openTransactions += holder->openTransactions();
    }
    return counters;
}

} // namespace rhubarbweir
