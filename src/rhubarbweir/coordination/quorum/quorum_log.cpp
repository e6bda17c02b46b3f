// See quorum_log.hpp. This file: events, message checks, proposals and queries.
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbweir {

QuorumLog::QuorumLog(QuorumSettings givenSettings, QuorumHooks givenHooks,
                     std::mt19937_64 givenRandom)
    : settings(std::move(givenSettings))
    , hooks(std::move(givenHooks))
    , random(givenRandom)
{
    this->entries.reset(0, 0, {});
}

void QuorumLog::start(RecoveredState recovered, TimePoint time)
{
    this->currentTime = time;
    if (recovered.hardState) {
        this->hardState = *recovered.hardState;
        if (recovered.snapshot) {
            this->snapshot = std::move(recovered.snapshot);
            this->entries.reset(this->snapshot->index, this->snapshot->term,
                                this->snapshot->membership);
            this->committed = this->snapshot->index;
            this->applied = this->snapshot->index;
            this->hooks.restoreSnapshot(this->snapshot->state.bytes, this->snapshot->index);
        }
        for (QuorumEntry &entry : recovered.entries) {
            this->loggedBytes += entry.payload.bytes.size();
            this->entries.append(std::move(entry));
        }
        this->forgetUnwrittenCluster();
    } else {
        this->generateIncarnation();
    }
    this->durable = this->entries.lastIndex();
    this->currentRole = this->durable == 0 ? QuorumRole::Unjoined : QuorumRole::Follower;
    // Votes refused before the restart have to stay refused, as the leader's lease depends on it.
    this->lastLeaderContactAt = time;
    this->joinDeadline = time;
    this->resetElectionTimer();
    this->emitEvent("quorum_started",
                    {{"incarnation", absl::StrCat(this->hardState.incarnation)},
                     {"term", absl::StrCat(this->term())},
                     {"last_index", absl::StrCat(this->lastIndex())},
                     {"cause", recovered.hardState ? "recovered" : "empty_folder"}});
    this->finishEvent();
}

void QuorumLog::receive(const InstanceId &from, const QuorumMessage &message, TimePoint time)
{
    if (this->currentRole == QuorumRole::Stopped)
        return;
    this->beginEvent(time);
    const QuorumHeader &received =
        std::visit([](const auto &body) -> const QuorumHeader & { return body.header; }, message);
    if (this->accepts(from, message, received)) {
        this->adoptTerm(message, received);
        std::visit([this, &from](const auto &body) { this->handle(from, body); }, message);
    } else if (received.clusterId != 0 && this->currentRole == QuorumRole::Unjoined) {
        // A member still knows this instance under the incarnation that it had before it lost its
        // data folder.
        this->askToJoin(from);
    }
    this->finishEvent();
}

void QuorumLog::advance(TimePoint time)
{
    if (this->currentRole == QuorumRole::Stopped)
        return;
    this->beginEvent(time);
    if (this->isLeader()) {
        this->advanceLeader();
        this->maintainMembership();
    } else {
        this->advanceElection();
        this->advanceJoining();
    }
    this->advanceLeaving();
    this->finishEvent();
}

void QuorumLog::persisted(std::uint64_t token, TimePoint time)
{
    if (this->currentRole == QuorumRole::Stopped || !this->persistence.isOutstanding(token))
        return;
    this->beginEvent(time);
    const QuorumPersistence::Completion done = this->persistence.complete();
    this->onDurable(done.lastIndex, done.lastTerm);
    for (const auto &action : done.actions)
        action();
    this->finishEvent();
}

void QuorumLog::persistFailed(std::uint64_t token, TimePoint time)
{
    this->currentTime = std::max(this->currentTime, time);
    this->stop(absl::StrCat("batch ", token, " could not be written or synced"));
}

absl::StatusOr<std::uint64_t> QuorumLog::propose(std::string payload, TimePoint time)
{
    this->beginEvent(time);
    if (!this->isLeader() || this->handoverLeaseEnd)
        return absl::FailedPreconditionError("not the leader");
    if (payload.size() > this->settings.maxPayloadBytes)
        return absl::InvalidArgumentError(
            absl::StrCat("payload of ", payload.size(), " bytes exceeds the limit"));
    const std::size_t unsaved = this->uncommittedBytes + this->persistence.pendingBytes();
    if (unsaved + payload.size() > this->settings.maxUncommittedBytes)
        return absl::ResourceExhaustedError("uncommitted or unsaved payloads exceed the limit");
    this->uncommittedBytes += payload.size();
    const std::uint64_t index = this->appendLocally(EntryKind::Payload, std::move(payload), {});
    this->replicate();
    this->finishEvent();
    return index;
}

std::optional<QuorumPeer> QuorumLog::leader() const
{
    return this->knownLeader;
}

const QuorumMembership &QuorumLog::membership() const
{
    return this->entries.membershipAt(this->lastIndex());
}

std::vector<MemberStatus> QuorumLog::memberStatuses(TimePoint time) const
{
    std::vector<MemberStatus> result;
    const auto add = [this, time, &result](const QuorumMember &member, bool voter) {
        MemberStatus status{member, voter, true, this->durable};
        const auto found = this->progressByMember.find(keyOf(member));
        if (found != this->progressByMember.end()) {
            const MemberProgress &progress = found->second;
            status.reachable = progress.answered
                               && time < *progress.lastAnswerAt + this->settings.electionTimeoutMax;
            status.matchIndex = progress.matchIndex;
        }
        result.push_back(status);
    };
    if (!this->isLeader())
        return result;
    for (const QuorumMember &member : this->membership().voters)
        add(member, true);
    for (const QuorumMember &member : this->membership().learners)
        add(member, false);
    return result;
}

TimePoint QuorumLog::nextDeadline() const
{
    if (this->currentRole == QuorumRole::Stopped)
        return TimePoint::max();
    if (!this->isLeader()) {
        TimePoint deadline = this->joinDeadline;
        if (this->isVoter() && !this->hasLeft())
            deadline = std::min(deadline, this->electionDeadline);
        if (this->leaveStep == LeaveStep::Leaving && !this->leaveContact.empty())
            deadline = std::min(deadline, this->leaveRequestAt);
        return deadline;
    }
    TimePoint deadline = this->currentTime + this->settings.heartbeat;
    for (const auto &[key, progress] : this->progressByMember)
        deadline = std::min(deadline, progress.heartbeatAt);
    if (this->handoverLeaseEnd && !this->handoverSent)
        deadline = std::min(deadline, *this->handoverLeaseEnd);
    return deadline;
}

void QuorumLog::beginEvent(TimePoint time)
{
    this->currentTime = std::max(this->currentTime, time);
    if (this->isLeader())
        this->checkQuorum();
}

void QuorumLog::finishEvent()
{
    // A change of the voters may bring the end of the lease forward again.
    if (this->isLeader() && !this->handoverLeaseEnd)
        this->latestLeaseEnd = std::max(this->latestLeaseEnd, this->leaseEnd(this->currentTime));
    if (this->submittingBatches)
        return;
    this->submittingBatches = true;
    while (this->currentRole != QuorumRole::Stopped) {
        const std::optional<PersistBatch> batch = this->persistence.nextBatch();
        if (!batch)
            break;
        this->hooks.persist(*batch);
    }
    this->submittingBatches = false;
}

QuorumHeader QuorumLog::header(std::uint64_t toIncarnation) const
{
    return {this->hardState.clusterId, this->hardState.incarnation, toIncarnation, this->term()};
}

bool QuorumLog::accepts(const InstanceId &from, const QuorumMessage &message,
                        const QuorumHeader &received) const
{
    if (from == this->settings.self.instance)
        return false;
    if (received.toIncarnation != 0 && received.toIncarnation != this->hardState.incarnation)
        return false;
    return std::holds_alternative<QuorumBootstrapAnswer>(message) || this->acceptsCluster(received);
}

// Vote requests raise the term in grantVote(), and only if no leader may hold a lease. Messages
// from instances outside the cluster never raise it.
void QuorumLog::adoptTerm(const QuorumMessage &message, const QuorumHeader &received)
{
    const bool neverRaisesTerm = std::holds_alternative<QuorumBootstrapQuery>(message)
                                 || std::holds_alternative<QuorumBootstrapAnswer>(message)
                                 || std::holds_alternative<QuorumJoin>(message)
                                 || std::holds_alternative<QuorumJoinRedirect>(message)
                                 || std::holds_alternative<QuorumVoteRequest>(message)
                                 || std::holds_alternative<QuorumLeave>(message);
    if (!neverRaisesTerm && received.term > this->term())
        this->becomeFollower(received.term, "newer_term");
}

void QuorumLog::sendAfterSync(const InstanceId &to, QuorumMessage message)
{
    this->persistence.afterSync(
        [this, to, kept = std::move(message)] { this->hooks.send(to, kept); });
}

void QuorumLog::emitEvent(const std::string &name,
                          const std::vector<QuorumEventField> &fields) const
{
    if (this->hooks.event)
        this->hooks.event(name, fields);
}

void QuorumLog::stop(const std::string &cause)
{
    if (this->currentRole == QuorumRole::Stopped)
        return;
    this->currentRole = QuorumRole::Stopped;
    this->progressByMember.clear();
    this->knownLeader.reset();
    this->emitEvent("quorum_stopped", {{"cause", cause}, {"term", absl::StrCat(this->term())}});
}

bool QuorumLog::isVoter() const
{
    const std::vector<QuorumMember> &voters = this->membership().voters;
    return std::any_of(voters.begin(), voters.end(), [this](const QuorumMember &voter) {
        return keyOf(voter) == this->selfKey();
    });
}

bool QuorumLog::hasRecentLeader() const
{
    return this->knownLeader
           && this->currentTime < this->lastLeaderContactAt + this->settings.electionTimeoutMax;
}

std::vector<QuorumPeer> QuorumLog::knownPeers() const
{
    std::map<InstanceId, QuorumPeer> found;
    for (const QuorumPeer &peer : this->settings.spares)
        found[peer.instance] = peer;
    for (const QuorumPeer &peer : this->seeds)
        found[peer.instance] = peer;
    for (const QuorumPeer &peer : this->settings.initialVoters)
        found[peer.instance] = peer;
    for (const QuorumMember &member : this->membership().learners)
        found[member.peer.instance] = member.peer;
    for (const QuorumMember &member : this->membership().voters)
        found[member.peer.instance] = member.peer;
    found.erase(this->settings.self.instance);
    std::vector<QuorumPeer> result;
    result.reserve(found.size());
    for (const auto &[instance, peer] : found)
        result.push_back(peer);
    return result;
}

QuorumPeer QuorumLog::findPeer(const InstanceId &instance) const
{
    for (const QuorumPeer &peer : this->knownPeers()) {
        if (peer.instance == instance)
            return peer;
    }
    return {instance, {}, {}};
}

void QuorumLog::saveHardState()
{
    this->persistence.setHardState(this->hardState);
}

void QuorumLog::applyCommitted()
{
    if (this->applying)
        return;
    this->applying = true;
    while (this->applied < this->committed) {
        const QuorumEntry &entry = this->entries.at(++this->applied);
        if (entry.kind != EntryKind::Payload)
            continue;
        this->uncommittedBytes -= std::min(this->uncommittedBytes, entry.payload.bytes.size());
        this->hooks.apply(entry.index, entry.payload.bytes);
    }
    this->applying = false;
    this->snapshotIfDue();
}

QuorumLog::MemberKey QuorumLog::keyOf(const QuorumMember &member)
{
    return {member.peer.instance, member.incarnation};
}

QuorumLog::MemberKey QuorumLog::selfKey() const
{
    return {this->settings.self.instance, this->hardState.incarnation};
}

} // namespace rhubarbweir
