// See failover_manager.hpp.
#include "rhubarbweir/coordination/control/failover_manager.hpp"

#include "rhubarbweir/coordination/control/primary_choice.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

// Interval of status probes while a replica catches up.
constexpr Duration CatchUpProbeInterval = std::chrono::milliseconds(20);
// Interval at which orders are repeated to a replica that has adopted the term but has no log entry
// of it yet.
constexpr Duration FollowRepeatInterval = std::chrono::seconds(1);

std::string describe(const LogPosition &position)
{
    return std::to_string(position.term) + ":" + std::to_string(position.position);
}

} // namespace

FailoverManager::FailoverManager(const ControlContext &controlContext)
    : context(controlContext)
{
}

void FailoverManager::beginOffice()
{
    this->progressByGroup.clear();
    this->nextMoveAt.clear();
}

void FailoverManager::advanceGroup(const GroupId &group, TimePoint now)
{
    const GroupRecord *found = this->context.state.findGroup(group);
    if (found == nullptr)
        return;
    const GroupRecord &record = *found;
    Progress &groupProgress = this->progressOf(group, record, now);
    switch (record.phase) {
    case GroupPhase::Unassigned:
        this->assign(group, record, groupProgress, now);
        return;
    case GroupPhase::Steady:
        this->monitorPrimary(group, record, groupProgress, now);
        return;
    case GroupPhase::PlannedHold:
        this->awaitCatchUp(group, record, groupProgress, now);
        return;
    case GroupPhase::Fencing:
        this->fence(group, record, groupProgress, now);
        return;
    case GroupPhase::Promoting:
        this->promote(group, record, groupProgress, now);
        return;
    }
}

FailoverManager::Progress &FailoverManager::progressOf(const GroupId &group,
                                                       const GroupRecord &record, TimePoint now)
{
    const auto [entry, isNew] = this->progressByGroup.try_emplace(group);
    Progress &groupProgress = entry->second;
    if (isNew || groupProgress.term != record.term || groupProgress.phase != record.phase) {
        groupProgress = Progress();
        groupProgress.term = record.term;
        groupProgress.phase = record.phase;
        groupProgress.phaseSince = now;
    }
    return groupProgress;
}

// Waits until all databases of a new group have announced themselves, or until a majority has and
// assignmentTimeout has passed.
void FailoverManager::assign(const GroupId &group, const GroupRecord &record,
                             Progress &groupProgress, TimePoint now)
{
    const std::uint32_t size = this->context.state.sizeOf(group);
    const auto alive =
        std::count_if(record.members.begin(), record.members.end(), [&](const auto &member) {
            return this->context.targets.isAlive(member.first, now);
        });
    if (alive < majorityOf(size)) {
        groupProgress.majoritySince = TimePoint::max();
        return;
    }
    groupProgress.majoritySince = std::min(groupProgress.majoritySince, now);
    const bool isComplete = alive == size;
    if (!isComplete && now < groupProgress.majoritySince + this->context.settings.assignmentTimeout)
        return;
    this->beginTerm(group, record, TargetId(),
                    "first assignment: " + std::to_string(alive) + " of " + std::to_string(size)
                        + " databases announced themselves",
                    now);
}

void FailoverManager::monitorPrimary(const GroupId &group, const GroupRecord &record,
                                     Progress &groupProgress, TimePoint now)
{
    std::string cause = this->replacementCause(record, groupProgress, now);
    if (!cause.empty()) {
        this->beginTerm(group, record, TargetId(), std::move(cause), now);
        return;
    }
    this->orderFollowers(group, record, record.primary, groupProgress, now);
    if (this->isLeaving(record.primary))
        this->movePrimaryOffLeaving(group, record, now);
}

std::string FailoverManager::replacementCause(const GroupRecord &record,
                                              const Progress &groupProgress, TimePoint now) const
{
    const TargetId &primary = record.primary;
    const ControlSettings &settings = this->context.settings;
    std::vector<LivenessReport> livenessReports =
        this->context.observations.livenessReportsOf(primary, now);
    livenessReports.push_back({settings.instance, settings.failureDomain,
                               this->context.targets.stateOf(primary, now), false});
    const Suspicion suspicion = assessLiveness(livenessReports);
    if (suspicion.isSuspected)
        return "primary " + primary.value + " lost: " + suspicion.evidence;
    const RegisteredTarget *target = this->context.targets.find(primary);
    // Shortly after a promotion, a status that was sent before it may still arrive.
    if (target == nullptr || target->seenAt < groupProgress.phaseSince + settings.silentAfter)
        return "";
    const TargetStatus &status = target->status;
    if (status.adoptedTerm > record.term)
        return "primary " + primary.value + " is in term " + std::to_string(status.adoptedTerm);
    if (status.role != TargetRole::Primary)
        return "primary " + primary.value + " returned as a replica";
    return "";
}

void FailoverManager::movePrimaryOffLeaving(const GroupId &group, const GroupRecord &record,
                                            TimePoint now)
{
    TimePoint &nextAt = this->nextMoveAt[group];
    if (now < nextAt)
        return;
    const TargetId target = this->bestReplica(record, now);
    if (target.empty())
        return;
    nextAt = now + this->context.settings.plannedRetryDelay;
    HoldWrites command{group, record.term, target, "",
                       "primary " + record.primary.value + " is leaving"};
    this->context.proposer.proposeOnce({ProposalTopic::Group, group.value}, std::move(command),
                                       now);
}

// Handles GroupPhase::PlannedHold. Once no proxy starts new writes and the replica has received
// everything that the primary has, the change continues like a failover.
void FailoverManager::awaitCatchUp(const GroupId &group, const GroupRecord &record,
                                   Progress &groupProgress, TimePoint now)
{
    const std::string cause = this->replacementCause(record, groupProgress, now);
    if (!cause.empty()) {
        this->beginTerm(group, record, record.chosen, cause, now);
        return;
    }
    const ProposalSubject subject{ProposalTopic::Group, group.value};
    if (now >= groupProgress.phaseSince + this->context.settings.plannedChangeTimeout) {
        ReleaseWrites command{group, record.term,
                              record.chosen.value + " did not catch up in time"};
        this->context.proposer.proposeOnce(subject, std::move(command), now);
        return;
    }
    this->sendOrder(record.primary, StatusProbe(), groupProgress, CatchUpProbeInterval, now);
    this->sendOrder(record.chosen, StatusProbe(), groupProgress, CatchUpProbeInterval, now);
    if (!this->isHoldInForce(group, groupProgress, now))
        return;
    groupProgress.holdInForceSince = std::min(groupProgress.holdInForceSince, now);
    const RegisteredTarget *primary = this->context.targets.find(record.primary);
    const RegisteredTarget *chosen = this->context.targets.find(record.chosen);
    const auto isFresh = [&groupProgress](const RegisteredTarget *target) {
        return target != nullptr && target->seenAt > groupProgress.holdInForceSince;
    };
    if (!isFresh(primary) || !isFresh(chosen) || chosen->status.received < primary->status.received)
        return;
    this->beginTerm(group, record, record.chosen,
                    "planned change to " + record.chosen.value + ", caught up at "
                        + describe(chosen->status.received),
                    now);
}

bool FailoverManager::isHoldInForce(const GroupId &group, const Progress &groupProgress,
                                    TimePoint now) const
{
    if (now >= groupProgress.phaseSince + this->context.settings.holdTimeout)
        return true;
    const std::uint64_t revision = this->context.state.revisionOf(group);
    const auto &holders = this->context.state.grantsOf(group).holders;
    return std::none_of(holders.begin(), holders.end(), [&](const GrantHolder &holder) {
        return this->context.leases.mayUseBefore({holder.proxy, holder.incarnation}, revision, now);
    });
}

void FailoverManager::fence(const GroupId &group, const GroupRecord &record,
                            Progress &groupProgress, TimePoint now)
{
    for (const auto &[target, member] : record.members) {
        const RegisteredTarget *known = this->context.targets.find(target);
        if (known != nullptr && known->status.adoptedTerm > record.term) {
            this->beginTerm(
                group, record, record.chosen,
                target.value + " is in term " + std::to_string(known->status.adoptedTerm), now);
            return;
        }
        const bool isFenced = known != nullptr && known->status.adoptedTerm == record.term;
        if (!isFenced)
            this->sendOrder(target, FenceTarget{group, record.term}, groupProgress,
                            this->context.settings.orderInterval, now);
    }
    this->choose(group, record, groupProgress, now);
}

void FailoverManager::choose(const GroupId &group, const GroupRecord &record,
                             const Progress &groupProgress, TimePoint now)
{
    std::vector<FencedTarget> fenced;
    bool isPreferredFenced = record.chosen.empty();
    std::string evidence;
    for (const auto &[target, member] : record.members) {
        const RegisteredTarget *known = this->context.targets.find(target);
        if (known == nullptr || known->status.adoptedTerm != record.term)
            continue;
        fenced.push_back(
            {target, known->status.received, this->context.targets.isAlive(target, now),
             this->context.observations.reachability(target, now), this->isLeaving(target)});
        isPreferredFenced = isPreferredFenced || target == record.chosen;
        evidence += " " + target.value + "=" + describe(known->status.received);
    }
    const bool isWaiting =
        !isPreferredFenced
        && now < groupProgress.phaseSince + this->context.settings.plannedFenceTimeout;
    const auto target = choosePrimary(fenced, record.size, record.chosen);
    if (isWaiting || !target)
        return;
    ChoosePrimary command{group, record.term, *target,
                          "most advanced log of a majority:" + evidence};
    this->context.proposer.proposeOnce({ProposalTopic::Group, group.value}, std::move(command),
                                       now);
}

void FailoverManager::promote(const GroupId &group, const GroupRecord &record,
                              Progress &groupProgress, TimePoint now)
{
    const TargetId &chosen = record.chosen;
    if (this->isPrimaryOf(chosen, record.term)) {
        this->orderFollowers(group, record, chosen, groupProgress, now);
        this->context.proposer.proposeOnce({ProposalTopic::Group, group.value},
                                           ConfirmPrimary{group, record.term}, now);
        return;
    }
    const ObservedState state = this->context.targets.stateOf(chosen, now);
    const bool hasTimedOut =
        now >= groupProgress.phaseSince + this->context.settings.promotionPatience;
    // No proxy uses the chosen target yet, so it is given up without a second observer.
    if (state == ObservedState::Broken || hasTimedOut) {
        this->beginTerm(group, record, TargetId(),
                        chosen.value + " was not promoted: " + std::string(nameOf(state)), now);
        return;
    }
    PromoteTarget message{group, record.term, {}};
    for (const auto &[target, member] : record.members)
        message.members.push_back({target, member.address});
    this->sendOrder(chosen, message, groupProgress, this->context.settings.orderInterval, now);
}

// Orders every other member to follow `primary`: once per connection, because a restarted database
// may have lost the order, and repeatedly until the member has a log entry of the term.
void FailoverManager::orderFollowers(const GroupId &group, const GroupRecord &record,
                                     const TargetId &primary, Progress &groupProgress,
                                     TimePoint now)
{
    const auto address = record.members.find(primary);
    if (address == record.members.end())
        return;
    const FollowPrimary message{group, record.term, {primary, address->second.address}};
    for (const auto &[target, member] : record.members) {
        const RegisteredTarget *known = this->context.targets.find(target);
        if (target == primary || known == nullptr || known->connection == 0)
            continue;
        const TargetStatus &status = known->status;
        const bool isOutsideTerm =
            status.adoptedTerm < record.term || status.role == TargetRole::Primary;
        const bool isFollowing = !isOutsideTerm && status.received.term >= record.term;
        const bool wasOrdered = groupProgress.followOrderedOn[target] == known->connection;
        if (isFollowing && wasOrdered)
            continue;
        const bool isUrgent =
            (isOutsideTerm || !wasOrdered) && this->context.targets.isAlive(target, now);
        if (this->sendOrder(target, message, groupProgress,
                            isUrgent ? this->context.settings.orderInterval : FollowRepeatInterval,
                            now))
            groupProgress.followOrderedOn[target] = known->connection;
    }
}

void FailoverManager::beginTerm(const GroupId &group, const GroupRecord &record,
                                const TargetId &preferred, std::string cause, TimePoint now)
{
    std::uint64_t newestTerm = record.term;
    for (const auto &[target, member] : record.members) {
        if (const RegisteredTarget *known = this->context.targets.find(target))
            newestTerm = std::max(newestTerm, known->status.adoptedTerm);
    }
    BeginTerm command{group, record.term, newestTerm + 1, preferred, std::move(cause)};
    this->context.proposer.proposeOnce({ProposalTopic::Group, group.value}, std::move(command),
                                       now);
}

bool FailoverManager::sendOrder(const TargetId &target, const TargetOrder &message,
                                Progress &groupProgress, Duration interval, TimePoint now)
{
    const RegisteredTarget *known = this->context.targets.find(target);
    if (known == nullptr || known->connection == 0)
        return false;
    TimePoint &nextAt = groupProgress.nextOrderAt[target];
    if (now < nextAt)
        return false;
    nextAt = now + interval;
    this->context.hooks.sendToTarget(known->connection, message);
    if (!std::holds_alternative<FollowPrimary>(message))
        return true;
    ControlEvent event;
    event.kind = ControlEventKind::FollowOrdered;
    event.target = target;
    event.group = std::get<FollowPrimary>(message).group;
    event.term = std::get<FollowPrimary>(message).term;
    event.cause = std::string(nameOf(known->status.role)) + " of term "
                  + std::to_string(known->status.adoptedTerm) + " at "
                  + describe(known->status.received);
    this->context.hooks.event(event);
    return true;
}

Reason FailoverManager::checkPlannedChange(const PlannedChange &request, TimePoint now) const
{
    const GroupRecord *record = this->context.state.findGroup(request.group);
    if (record == nullptr)
        return Reason::UnknownGroup;
    if (record->phase != GroupPhase::Steady)
        return Reason::NoPrimary;
    const TargetId target = this->plannedTarget(request, now);
    const bool isPossible = record->members.count(target) != 0 && target != record->primary
                            && this->context.targets.isAlive(target, now);
    return isPossible ? Reason::None : Reason::RefusedByTarget;
}

TargetId FailoverManager::plannedTarget(const PlannedChange &request, TimePoint now) const
{
    if (!request.target.empty())
        return request.target;
    const GroupRecord *record = this->context.state.findGroup(request.group);
    return record == nullptr ? TargetId() : this->bestReplica(*record, now);
}

bool FailoverManager::isLeaving(const TargetId &target) const
{
    return numberIn(this->context.state.table().rows(), RowScope::Target, target.value,
                    LeavingField)
           != 0;
}

bool FailoverManager::isPrimaryOf(const TargetId &target, std::uint64_t term) const
{
    const RegisteredTarget *known = this->context.targets.find(target);
    return known != nullptr && known->status.adoptedTerm == term
           && known->status.role == TargetRole::Primary;
}

// Returns the live replica with the most advanced log that is not leaving; empty if there is none.
TargetId FailoverManager::bestReplica(const GroupRecord &record, TimePoint now) const
{
    TargetId best;
    LogPosition bestPosition;
    for (const auto &[target, member] : record.members) {
        if (target == record.primary || this->isLeaving(target)
            || !this->context.targets.isAlive(target, now))
            continue;
        const LogPosition position = this->context.targets.find(target)->status.received;
        if (best.empty() || bestPosition < position) {
            best = target;
            bestPosition = position;
        }
    }
    return best;
}

} // namespace rhubarbweir
