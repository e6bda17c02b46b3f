// See proxy_node.hpp.
#include "rhubarbweir/coordination/proxy/proxy_node.hpp"

#include "rhubarbweir/coordination/proxy/group_holder.hpp"
#include "rhubarbweir/coordination/proxy/request_router.hpp"

#include <algorithm>
#include <deque>

namespace rhubarbweir {

struct ProxyNode::Parts
{
    struct LocalMessage
    {
        PeerMessage message;
    };

    Parts(ProxySettings givenSettings, std::uint64_t seed, ProxyHooks givenHooks)
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

    // The event hook may be left out.
    static ProxyHooks withEvents(ProxyHooks given)
    {
        if (!given.event)
            given.event = [](const ProxyEvent &) {
            };
        return given;
    }

    // Messages to this proxy itself are handled after the call that sent them.
    void send(const InstanceId &peer, const std::string &address, const PeerMessage &message)
    {
        if (peer == this->settings.instance)
            this->local.push_back({message});
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

    // Ends every call: handles the messages to this proxy itself.
    void settle(TimePoint now)
    {
        while (!this->local.empty()) {
            const PeerMessage message = std::move(this->local.front().message);
            this->local.pop_front();
            this->receive(this->settings.instance, message, now);
        }
        for (const auto &[group, holder] : this->holders) {
            const HolderLoad load{static_cast<std::uint32_t>(holder->queued()),
                                  holder->targets().slots().totalFree()};
            this->router.noteLoad(group, this->settings.instance, load);
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
        holderHooks.answer = [this](const InstanceId &entry, const ForwardAnswer &answer) {
            this->send(entry, std::string(), answer);
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
    // Groups that this proxy holds, or held and still has connections of.
    std::map<GroupId, std::unique_ptr<GroupHolder>> holders;
    // The group of every target connection that is not gone.
    std::map<Generation, GroupId> generations;
    std::deque<LocalMessage> local;
    Generation lastGeneration = 0;
    std::uint64_t lastProbe = 0;
    TimePoint lastNow;
    bool draining = false;
    bool reportedDrained = false;
};

ProxyNode::ProxyNode(ProxySettings settings, std::uint64_t seed, ProxyHooks hooks)
    : parts(std::make_unique<Parts>(std::move(settings), seed, std::move(hooks)))
{
}

ProxyNode::~ProxyNode() = default;

void ProxyNode::callerOpened(CallerConnectionId connection)
{
    this->parts->router.callerOpened(connection);
}

void ProxyNode::callerMessage(CallerConnectionId connection, const CallerMessage &message,
                              TimePoint now)
{
    this->parts->router.callerMessage(connection, message, now);
    this->parts->settle(now);
}

void ProxyNode::callerClosed(CallerConnectionId connection, TimePoint now)
{
    this->parts->router.callerClosed(connection, now);
    this->parts->settle(now);
}

void ProxyNode::peerMessage(const InstanceId &peer, const PeerMessage &message, TimePoint now)
{
    this->parts->receive(peer, message, now);
    this->parts->settle(now);
}

void ProxyNode::peerConnected(const InstanceId &peer, TimePoint)
{
    this->parts->router.peerConnected(peer);
}

void ProxyNode::peerLost(const InstanceId &peer, TimePoint now)
{
    this->parts->router.peerLost(peer, now);
    for (const auto &[group, holder] : this->parts->holders)
        holder->entryLost(peer, now);
    this->parts->settle(now);
}

void ProxyNode::targetOpened(Generation generation, const ConnectionOpened &message, TimePoint now)
{
    if (GroupHolder *holder = this->parts->findByGeneration(generation))
        holder->targetOpened(generation, message, now);
    this->parts->settle(now);
}

void ProxyNode::targetRefused(Generation generation, OpenFailure failure, TimePoint now)
{
    if (GroupHolder *holder = this->parts->findByGeneration(generation))
        holder->targetRefused(generation, failure, now);
    this->parts->generations.erase(generation);
    this->parts->settle(now);
}

void ProxyNode::targetMessage(Generation generation, const TargetMessage &message, TimePoint now)
{
    if (GroupHolder *holder = this->parts->findByGeneration(generation))
        holder->targetMessage(generation, message, now);
    this->parts->settle(now);
}

void ProxyNode::targetClosed(Generation generation, TimePoint now)
{
    if (GroupHolder *holder = this->parts->findByGeneration(generation))
        holder->targetClosed(generation, now);
    this->parts->generations.erase(generation);
    this->parts->settle(now);
}

void ProxyNode::viewChanged(ProxyViewPtr view, TimePoint now)
{
    const ProxyViewPtr former = std::exchange(this->parts->view, std::move(view));
    const ProxyView &current = *this->parts->view;
    this->parts->router.setView(this->parts->view);
    for (const auto &[name, holder] : this->parts->holders) {
        if (current.groups.count(name) > 0)
            continue;
        GroupView removed;
        removed.group = name;
        holder->setView(removed, {}, now);
    }
    for (const auto &[name, group] : current.groups) {
        const auto grants = this->parts->grantsOf(group);
        const auto old = former->groups.find(name);
        const bool isSame = old != former->groups.end() && old->second.revision == group.revision;
        if (isSame || (grants.empty() && this->parts->find(name) == nullptr))
            continue;
        GroupHolder &holder = this->parts->findOrCreate(name);
        holder.setLease(this->parts->leaseEnd, now);
        holder.setView(group, grants, now);
    }
    this->parts->settle(now);
}

void ProxyNode::leaseChanged(TimePoint deadline, TimePoint now)
{
    this->parts->leaseEnd = deadline;
    this->parts->router.setLease(deadline);
    for (const auto &[group, holder] : this->parts->holders)
        holder->setLease(deadline, now);
    this->parts->settle(now);
}

void ProxyNode::drain(TimePoint now)
{
    if (this->parts->draining)
        return;
    this->parts->draining = true;
    ProxyEvent event;
    event.kind = ProxyEventKind::DrainStarted;
    this->parts->hooks.event(event);
    this->parts->router.drain(now);
    this->parts->settle(now);
}

void ProxyNode::advance(TimePoint now)
{
    this->parts->lastNow = now;
    // A wake-up after a stop: the lease is judged before any request is.
    for (const auto &[group, holder] : this->parts->holders)
        holder->advance(now);
    // What holders answer at the deadline goes before the router's own judgement.
    this->parts->settle(now);
    this->parts->router.advance(now);
    this->parts->settle(now);
    auto &holders = this->parts->holders;
    for (auto each = holders.begin(); each != holders.end();) {
        const GroupHolder &holder = *each->second;
        const bool isUnused =
            !holder.holdsGrants() && holder.isIdle() && holder.targets().connectionCount() == 0;
        each = isUnused ? holders.erase(each) : std::next(each);
    }
    if (this->isDrained() && !this->parts->reportedDrained) {
        this->parts->reportedDrained = true;
        ProxyEvent event;
        event.kind = ProxyEventKind::Drained;
        this->parts->hooks.event(event);
    }
}

TimePoint ProxyNode::nextDeadline() const
{
    TimePoint next = this->parts->router.nextDeadline();
    for (const auto &[group, holder] : this->parts->holders)
        next = std::min(next, holder->nextDeadline());
    // A draining proxy is free of its grants when its lease ends.
    if (this->parts->draining && this->parts->lastNow < this->parts->leaseEnd)
        next = std::min(next, this->parts->leaseEnd);
    return next;
}

bool ProxyNode::isDrained() const
{
    if (!this->parts->draining || !this->parts->router.isIdle())
        return false;
    const bool leaseEnded = this->parts->lastNow >= this->parts->leaseEnd;
    return std::all_of(this->parts->holders.begin(), this->parts->holders.end(),
                       [&](const auto &each) {
                           const GroupHolder &holder = *each.second;
                           return holder.isIdle() && (leaseEnded || !holder.holdsGrants());
                       });
}

std::vector<TargetObservation> ProxyNode::observations() const
{
    std::vector<TargetObservation> all;
    for (const auto &[group, holder] : this->parts->holders) {
        const auto seen = holder->targets().observations(this->parts->lastNow);
        all.insert(all.end(), seen.begin(), seen.end());
    }
    return all;
}

ProxyCounters ProxyNode::counters() const
{
    ProxyCounters counters = this->parts->router.counters();
    counters.inFlight = this->parts->router.inFlight();
    for (const auto &[group, holder] : this->parts->holders) {
        counters.queued += holder->queued();
        counters.connections += holder->targets().connectionCount();
        counters.openTransactions += holder->openTransactions();
    }
    return counters;
}

} // namespace rhubarbweir
