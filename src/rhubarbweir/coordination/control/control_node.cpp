// See control_node.hpp.
#include "rhubarbweir/coordination/control/control_node.hpp"

#include "rhubarbweir/coordination/control/control_actions.hpp"
#include "rhubarbweir/coordination/control/control_context.hpp"
#include "rhubarbweir/coordination/control/failover_manager.hpp"
#include "rhubarbweir/coordination/control/grant_manager.hpp"
#include "rhubarbweir/coordination/control/operator_service.hpp"
#include "rhubarbweir/coordination/control/view_publisher.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

// Longest pause between two looks at what is due.
constexpr Duration TickInterval = std::chrono::milliseconds(20);
// A sweep over all groups takes at most so many ticks.
constexpr std::size_t SweepTicks = 5;
// Groups swept in one tick at least.
constexpr std::size_t MinSweep = 64;

std::set<GroupId> groupsIn(const std::vector<TargetObservation> &observations)
{
    std::set<GroupId> groups;
    for (const TargetObservation &observation : observations)
        groups.insert(observation.group);
    return groups;
}

GroupId groupIn(const TargetReport &report)
{
    return std::visit(
        [](const auto &body) {
            if constexpr (std::is_same_v<std::decay_t<decltype(body)>, TargetStatus>)
                return body.group;
            else
                return body.status.group;
        },
        report);
}

} // namespace

struct ControlNode::Parts
{
    Parts(ControlSettings controlSettings, QuorumPort quorumPort, StateCodec stateCodec,
          ControlHooks controlHooks, std::uint64_t seed)
        : settings(std::move(controlSettings))
        , quorum(std::move(quorumPort))
        , codec(std::move(stateCodec))
        , hooks(std::move(controlHooks))
        , random(seed)
    {
    }

    void report(ControlEventKind kind, const TargetId &target, std::string cause);
    void noteAction(const CommandBody &body, std::uint64_t index);
    void beginOffice(TimePoint now);
    void endOffice();
    void proposeMarker(TimePoint now);
    void registerMember(const Announcement &announcement, TimePoint now);
    void watchStates(TimePoint now);
    void reportToLeader(TimePoint now);
    bool mayDecide(TimePoint now) const;
    void decide(const GroupId &group, TimePoint now);
    void decideAll(TimePoint now);
    void sweep(TimePoint now);

    ControlSettings settings;
    QuorumPort quorum;
    StateCodec codec;
    ControlHooks hooks;
    std::mt19937_64 random;

    ReplicatedState state;
    CommandProposer proposer{settings, quorum, codec};
    TargetRegistry targets{settings};
    ObservationBook observations{settings};
    LeaseBook leases{settings};
    ControlContext context{settings, quorum, hooks, state, proposer, targets, observations, leases};
    FailoverManager failover{context};
    GrantManager grants{context};
    ViewPublisher views{context};
    OperatorService operators{context, failover, views};

    bool wasLeader = false;
    // When the present term of office began, as the quorum says.
    TimePoint officeStart;
    // The marker of this term of office was applied, and so is all that was committed before.
    bool isInOffice = false;
    std::uint64_t marker = 0;
    // Last state seen of each member, to report changes.
    std::map<TargetId, ObservedState> lastStates;
    // Targets whose refusal was logged.
    std::set<TargetId> refused;
    TimePoint nextReportAt;
    TimePoint nextTickAt;
    GroupId lastSwept;
};

void ControlNode::Parts::report(ControlEventKind kind, const TargetId &target, std::string cause)
{
    ControlEvent event;
    event.kind = kind;
    event.target = target;
    event.group = this->state.groupOf(target);
    event.instance = this->settings.instance;
    event.revision = this->state.revision();
    event.cause = std::move(cause);
    this->hooks.event(event);
}

void ControlNode::Parts::noteAction(const CommandBody &body, std::uint64_t index)
{
    std::optional<ControlEvent> event = describeAction(body, this->state);
    if (!event)
        return;
    event->instance = this->settings.instance;
    event->revision = index;
    this->hooks.event(*event);
    std::string subject = event->group.value;
    if (!event->target.empty())
        subject += "/" + event->target.value;
    this->operators.record({index, subject, std::string(nameOf(event->kind)), event->cause});
}

void ControlNode::Parts::beginOffice(TimePoint now)
{
    this->isInOffice = false;
    this->marker = this->random();
    this->leases.beginOffice(now);
    this->observations.clear();
    this->failover.beginOffice();
    this->grants.beginOffice();
    this->proposer.beginOffice(this->state.time(), now);
    this->proposeMarker(now);
}

void ControlNode::Parts::proposeMarker(TimePoint now)
{
    this->proposer.proposeOnce({ProposalTopic::Leadership, ""},
                               StartLeadership{this->settings.instance, this->marker}, now);
}

void ControlNode::Parts::endOffice()
{
    if (this->isInOffice)
        this->report(ControlEventKind::LeadershipEnded, TargetId(), "the quorum has moved on");
    this->isInOffice = false;
    this->operators.endOffice();
    this->proposer.endOffice();
}

void ControlNode::Parts::registerMember(const Announcement &announcement, TimePoint now)
{
    const GroupId &group = announcement.status.group;
    const TargetId &target = announcement.status.target;
    const GroupId present = this->state.groupOf(target);
    const GroupRecord *record = this->state.findGroup(group);
    std::string refusal;
    if (!isValidName(group.value) || !isValidName(target.value))
        refusal = "malformed name";
    else if (!present.empty() && present != group)
        refusal = "it belongs to " + present.value;
    else if (present.empty() && record != nullptr
             && record->members.size() >= this->state.sizeOf(group))
        refusal = "the group has all its databases";
    if (!refusal.empty()) {
        if (this->refused.insert(target).second)
            this->report(ControlEventKind::TargetRefused, target, refusal);
        return;
    }
    if (!present.empty()) {
        const GroupMember &member = record->members.at(target);
        if (member.address == announcement.address
            && member.failureDomain == announcement.failureDomain)
            return;
    }
    this->proposer.proposeOnce(
        {ProposalTopic::Member, target.value},
        RegisterMember{group, target, {announcement.address, announcement.failureDomain}}, now);
}

// Logs changes of what this instance sees, and reports them to the leader at once.
void ControlNode::Parts::watchStates(TimePoint now)
{
    bool isChanged = false;
    for (const auto &[group, record] : this->state.groups()) {
        for (const auto &[target, member] : record.members) {
            const ObservedState current = this->targets.stateOf(target, now);
            const auto [last, isNew] = this->lastStates.try_emplace(target, current);
            if (isNew || last->second == current)
                continue;
            last->second = current;
            isChanged = true;
            this->report(ControlEventKind::TargetStateChanged, target,
                         std::string(nameOf(current)));
        }
    }
    if (isChanged || now >= this->nextReportAt)
        this->reportToLeader(now);
}

void ControlNode::Parts::reportToLeader(TimePoint now)
{
    this->nextReportAt = now + this->settings.reportInterval;
    const InstanceId leader = this->quorum.leader();
    if (leader.empty() || leader == this->settings.instance)
        return;
    ObserverReport message;
    message.instance = this->settings.instance;
    message.failureDomain = this->settings.failureDomain;
    for (const auto &[group, record] : this->state.groups()) {
        for (const auto &[target, member] : record.members) {
            const ObservedState seen = this->targets.stateOf(target, now);
            if (seen != ObservedState::Alive)
                message.observations.push_back({target, group, seen});
        }
    }
    this->hooks.sendToControl(leader, message);
}

bool ControlNode::Parts::mayDecide(TimePoint now) const
{
    return this->isInOffice && now < this->quorum.leaseEnd();
}

// Everything that a leader may have to do now for one group.
void ControlNode::Parts::decide(const GroupId &group, TimePoint now)
{
    if (group.empty() || !this->mayDecide(now))
        return;
    this->failover.advanceGroup(group, now);
    this->grants.advanceGroup(group, now);
}

void ControlNode::Parts::decideAll(TimePoint now)
{
    for (const auto &[group, record] : this->state.groups())
        this->decide(group, now);
}

// Decides the next groups in turn for what only time brings; all within SweepTicks ticks.
void ControlNode::Parts::sweep(TimePoint now)
{
    const auto &groups = this->state.groups();
    const std::size_t share = std::max(MinSweep, groups.size() / SweepTicks + 1);
    auto next = groups.upper_bound(this->lastSwept);
    for (std::size_t count = std::min(share, groups.size()); count > 0; --count) {
        if (next == groups.end())
            next = groups.begin();
        this->lastSwept = next->first;
        ++next;
        this->decide(this->lastSwept, now);
    }
}

ControlNode::ControlNode(ControlSettings settings, QuorumPort quorum, StateCodec codec,
                         ControlHooks hooks, std::uint64_t seed)
    : parts(std::make_unique<Parts>(std::move(settings), std::move(quorum), std::move(codec),
                                    std::move(hooks), seed))
{
}

ControlNode::~ControlNode() = default;

void ControlNode::receiveFromProxy(ConnectionId connection, const RenewLease &message,
                                   TimePoint now)
{
    Parts &node = *this->parts;
    const bool hasNews = node.isInOffice && node.observations.receive(message, now);
    node.views.renew(connection, message, node.isInOffice, now);
    if (!hasNews)
        return;
    for (const GroupId &group : groupsIn(message.observations))
        node.decide(group, now);
}

void ControlNode::receiveFromTarget(ConnectionId connection, const TargetReport &message,
                                    TimePoint now)
{
    Parts &node = *this->parts;
    if (!node.targets.receive(connection, message, now))
        return;
    const auto *announcement = std::get_if<Announcement>(&message);
    if (announcement != nullptr && node.isInOffice)
        node.registerMember(*announcement, now);
    node.decide(groupIn(message), now);
}

void ControlNode::receiveFromOperator(ConnectionId connection, const OperatorRequest &message,
                                      TimePoint now)
{
    this->parts->operators.receive(connection, message, this->parts->isInOffice, now);
}

void ControlNode::receiveFromControl(const InstanceId &, const ObserverReport &message,
                                     TimePoint now)
{
    Parts &node = *this->parts;
    if (!node.isInOffice || !node.observations.receive(message, now))
        return;
    for (const GroupId &group : groupsIn(message.observations))
        node.decide(group, now);
}

void ControlNode::connectionClosed(ConnectionId connection, TimePoint now)
{
    Parts &node = *this->parts;
    node.targets.connectionClosed(connection);
    node.leases.connectionClosed(connection);
    node.operators.connectionClosed(connection);
    node.watchStates(now);
    node.decideAll(now);
}

void ControlNode::applied(std::uint64_t index, std::string_view payload, TimePoint now)
{
    Parts &node = *this->parts;
    node.proposer.applied(index);
    const auto command = node.codec.decodeCommand(payload);
    if (!command.ok()) {
        node.report(ControlEventKind::CommandMalformed, TargetId(),
                    std::string(command.status().message()));
        return;
    }
    const auto *setGrants = std::get_if<SetGrants>(&command->body);
    const GroupGrants before =
        setGrants == nullptr ? GroupGrants() : node.state.grantsOf(setGrants->group);
    const std::uint64_t formerRevision = node.state.revision();
    const ApplyResult result = node.state.apply(index, *command);
    if (setGrants != nullptr && result.accepted)
        node.grants.replaced(setGrants->group, before, index);
    if (result.accepted)
        node.noteAction(command->body, index);
    node.operators.applied(index, command->body, result);
    const auto *start = std::get_if<StartLeadership>(&command->body);
    if (start != nullptr && node.wasLeader && start->marker == node.marker) {
        node.isInOffice = true;
        node.report(ControlEventKind::LeadershipStarted, TargetId(), "elected");
    }
    if (node.isInOffice && node.state.revision() != formerRevision)
        node.views.publishSoon(now);
    if (start != nullptr)
        node.decideAll(now);
    for (const GroupId &group : result.changedGroups)
        node.decide(group, now);
}

void ControlNode::leadershipChanged(TimePoint now)
{
    Parts &node = *this->parts;
    const bool isLeader = node.quorum.isLeader();
    const TimePoint start = node.quorum.leadershipStart();
    node.nextReportAt = now;
    if (isLeader && node.wasLeader && start == node.officeStart)
        return;
    if (node.wasLeader)
        node.endOffice();
    node.wasLeader = isLeader;
    node.officeStart = start;
    if (isLeader)
        node.beginOffice(now);
}

void ControlNode::advance(TimePoint now)
{
    Parts &node = *this->parts;
    node.nextTickAt = now + TickInterval;
    node.watchStates(now);
    node.operators.advance(now);
    if (node.wasLeader && !node.isInOffice)
        node.proposeMarker(now);
    if (!node.isInOffice)
        return;
    node.views.advance(now);
    node.leases.forgetOld(now);
    node.sweep(now);
}

TimePoint ControlNode::nextDeadline() const
{
    return this->parts->nextTickAt;
}

std::string ControlNode::snapshot() const
{
    return this->parts->codec.encodeSnapshot(this->parts->state.snapshot());
}

absl::Status ControlNode::restore(std::string_view snapshot, TimePoint now)
{
    const auto decoded = this->parts->codec.decodeSnapshot(snapshot);
    if (!decoded.ok())
        return decoded.status();
    this->parts->state.restore(*decoded);
    this->parts->nextTickAt = now;
    return absl::OkStatus();
}

const ReplicatedState &ControlNode::state() const
{
    return this->parts->state;
}

} // namespace rhubarbweir
