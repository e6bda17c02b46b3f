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

// Maximum time between two calls of advance().
constexpr Duration TickInterval = std::chrono::milliseconds(20);
// Number of ticks within which every group is evaluated.
constexpr std::size_t SweepTicks = 5;
// Minimum number of groups evaluated per tick.
constexpr std::size_t MinGroupsPerTick = 64;

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
    void recordAction(const CommandBody &body, std::uint64_t index);
    void beginOffice(TimePoint now);
    void endLeadership();
    void proposeLeadershipMarker(TimePoint now);
    void registerMember(const Announcement &announcement, TimePoint now);
    void monitorTargetStates(TimePoint now);
    void reportToLeader(TimePoint now);
    bool mayAct(TimePoint now) const;
    void evaluateGroup(const GroupId &group, TimePoint now);
    void evaluateAllGroups(TimePoint now);
    void sweep(TimePoint now);

    ControlSettings settings;
    QuorumPort quorum;
    StateCodec codec;
    ControlHooks hooks;
    std::mt19937_64 random;

    ReplicatedState state;
    CommandProposer proposer{settings, quorum, codec};
    TargetRegistry targets{settings};
    ObservationTracker observations{settings};
    LeaseBook leases{settings};
    ControlContext context{settings, quorum, hooks, state, proposer, targets, observations, leases};
    FailoverManager failover{context};
    GrantManager grants{context};
    ViewPublisher views{context};
    OperatorService operators{context, failover, views};

    bool wasLeader = false;
    // Start of the current leadership according to the quorum log.
    TimePoint leaderSince;
    // Whether the marker of the current leadership was applied, and thereby everything committed
    // before it.
    bool isActiveLeader = false;
    std::uint64_t marker = 0;
    // Last observed state of each member, to detect changes.
    std::map<TargetId, ObservedState> lastStates;
    // Targets whose refusal has been logged.
    std::set<TargetId> refusalsReported;
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

void ControlNode::Parts::recordAction(const CommandBody &body, std::uint64_t index)
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
    this->operators.storeAction({index, subject, std::string(nameOf(event->kind)), event->cause});
}

void ControlNode::Parts::beginOffice(TimePoint now)
{
    this->isActiveLeader = false;
    this->marker = this->random();
    this->leases.beginOffice(now);
    this->observations.clear();
    this->failover.beginOffice();
    this->grants.beginOffice();
    this->proposer.beginOffice(this->state.time(), now);
    this->proposeLeadershipMarker(now);
}

void ControlNode::Parts::proposeLeadershipMarker(TimePoint now)
{
    this->proposer.proposeOnce({ProposalTopic::Leadership, ""},
                               StartLeadership{this->settings.instance, this->marker}, now);
}

void ControlNode::Parts::endLeadership()
{
    if (this->isActiveLeader)
        this->report(ControlEventKind::LeadershipEnded, TargetId(),
                     "the quorum leadership changed");
    this->isActiveLeader = false;
    this->operators.endLeadership();
    this->proposer.endLeadership();
}

void ControlNode::Parts::registerMember(const Announcement &announcement, TimePoint now)
{
    const GroupId &group = announcement.status.group;
    const TargetId &target = announcement.status.target;
    const GroupId currentGroup = this->state.groupOf(target);
    const GroupRecord *record = this->state.findGroup(group);
    std::string refusal;
    if (!isValidName(group.value) || !isValidName(target.value))
        refusal = "malformed name";
    else if (!currentGroup.empty() && currentGroup != group)
        refusal = "the target belongs to group " + currentGroup.value;
    else if (currentGroup.empty() && record != nullptr
             && record->members.size() >= this->state.sizeOf(group))
        refusal = "the group already has all its databases";
    if (!refusal.empty()) {
        if (this->refusalsReported.insert(target).second)
            this->report(ControlEventKind::TargetRefused, target, refusal);
        return;
    }
    if (!currentGroup.empty()) {
        const GroupMember &member = record->members.at(target);
        if (member.address == announcement.address
            && member.failureDomain == announcement.failureDomain)
            return;
    }
    this->proposer.proposeOnce(
        {ProposalTopic::Member, target.value},
        RegisterMember{group, target, {announcement.address, announcement.failureDomain}}, now);
}

// Logs state changes that this instance observes, and reports them to the leader immediately.
void ControlNode::Parts::monitorTargetStates(TimePoint now)
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

bool ControlNode::Parts::mayAct(TimePoint now) const
{
    return this->isActiveLeader && now < this->quorum.leaseEnd();
}

// Takes all actions that are due for a group. Does nothing unless this instance is the leader and
// holds a lease.
void ControlNode::Parts::evaluateGroup(const GroupId &group, TimePoint now)
{
    if (group.empty() || !this->mayAct(now))
        return;
    this->failover.advanceGroup(group, now);
    this->grants.advanceGroup(group, now);
}

void ControlNode::Parts::evaluateAllGroups(TimePoint now)
{
    for (const auto &[group, record] : this->state.groups())
        this->evaluateGroup(group, now);
}

// Evaluates the next groups in turn for actions that depend on time only. Covers all groups within
// SweepTicks ticks.
void ControlNode::Parts::sweep(TimePoint now)
{
    const auto &groups = this->state.groups();
    const std::size_t groupsPerTick = std::max(MinGroupsPerTick, groups.size() / SweepTicks + 1);
    auto next = groups.upper_bound(this->lastSwept);
    for (std::size_t count = std::min(groupsPerTick, groups.size()); count > 0; --count) {
        if (next == groups.end())
            next = groups.begin();
        this->lastSwept = next->first;
        ++next;
        this->evaluateGroup(this->lastSwept, now);
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
    const bool hasChanged = node.isActiveLeader && node.observations.receive(message, now);
    node.views.renew(connection, message, node.isActiveLeader, now);
    if (!hasChanged)
        return;
    for (const GroupId &group : groupsIn(message.observations))
        node.evaluateGroup(group, now);
}

void ControlNode::receiveFromTarget(ConnectionId connection, const TargetReport &message,
                                    TimePoint now)
{
    Parts &node = *this->parts;
    if (!node.targets.receive(connection, message, now))
        return;
    const auto *announcement = std::get_if<Announcement>(&message);
    if (announcement != nullptr && node.isActiveLeader)
        node.registerMember(*announcement, now);
    node.evaluateGroup(groupIn(message), now);
}

void ControlNode::receiveFromOperator(ConnectionId connection, const OperatorRequest &message,
                                      TimePoint now)
{
    this->parts->operators.receive(connection, message, this->parts->isActiveLeader, now);
}

void ControlNode::receiveFromControl(const InstanceId &, const ObserverReport &message,
                                     TimePoint now)
{
    Parts &node = *this->parts;
    if (!node.isActiveLeader || !node.observations.receive(message, now))
        return;
    for (const GroupId &group : groupsIn(message.observations))
        node.evaluateGroup(group, now);
}

void ControlNode::connectionClosed(ConnectionId connection, TimePoint now)
{
    Parts &node = *this->parts;
    node.targets.connectionClosed(connection);
    node.leases.connectionClosed(connection);
    node.operators.connectionClosed(connection);
    node.monitorTargetStates(now);
    node.evaluateAllGroups(now);
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
        node.grants.onReplaced(setGrants->group, before, index);
    if (result.accepted)
        node.recordAction(command->body, index);
    node.operators.applied(index, command->body, result);
    const auto *start = std::get_if<StartLeadership>(&command->body);
    if (start != nullptr && node.wasLeader && start->marker == node.marker) {
        node.isActiveLeader = true;
        node.report(ControlEventKind::LeadershipStarted, TargetId(), "elected");
    }
    if (node.isActiveLeader && node.state.revision() != formerRevision)
        node.views.schedulePublish(now);
    if (start != nullptr)
        node.evaluateAllGroups(now);
    for (const GroupId &group : result.changedGroups)
        node.evaluateGroup(group, now);
}

void ControlNode::leadershipChanged(TimePoint now)
{
    Parts &node = *this->parts;
    const bool isLeader = node.quorum.isLeader();
    const TimePoint start = node.quorum.leadershipStart();
    node.nextReportAt = now;
    if (isLeader && node.wasLeader && start == node.leaderSince)
        return;
    if (node.wasLeader)
        node.endLeadership();
    node.wasLeader = isLeader;
    node.leaderSince = start;
    if (isLeader)
        node.beginOffice(now);
}

void ControlNode::advance(TimePoint now)
{
    Parts &node = *this->parts;
    node.nextTickAt = now + TickInterval;
    node.monitorTargetStates(now);
    node.operators.advance(now);
    if (node.wasLeader && !node.isActiveLeader)
        node.proposeLeadershipMarker(now);
    if (!node.isActiveLeader)
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
