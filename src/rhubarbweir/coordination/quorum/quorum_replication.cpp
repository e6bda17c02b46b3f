// See quorum_log.hpp. This file: append messages, their answers, and commit.
//
// The leader probes a member with empty appends until the member's log is known to match its own
// up to nextIndex - 1. From then on it pipelines appends, and returns to probing if an append stays
// unanswered.
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace rhubarbweir {

std::uint64_t QuorumLog::appendLocally(EntryKind kind, std::string payload,
                                       const QuorumMembership &change)
{
    QuorumEntry entry;
    entry.index = this->lastIndex() + 1;
    entry.term = this->term();
    entry.kind = kind;
    entry.payload.bytes = std::move(payload);
    entry.membership = change;
    this->loggedBytes += entry.payload.bytes.size();
    this->persistence.append(entry);
    this->entries.append(std::move(entry));
    if (kind == EntryKind::Membership)
        this->rebuildProgress();
    return this->lastIndex();
}

void QuorumLog::replicate()
{
    for (auto &[key, progress] : this->progressByMember)
        this->sendEntries(progress);
}

void QuorumLog::advanceLeader()
{
    this->advanceHandover();
    for (auto &[key, progress] : this->progressByMember) {
        if (this->currentTime < progress.heartbeatAt)
            continue;
        if (!progress.inflight.empty() && this->currentTime >= progress.resendAt) {
            progress.inflight.clear();
            progress.nextIndex = progress.matchIndex + 1;
            progress.probing = true;
        }
        this->sendHeartbeat(progress);
        if (progress.snapshotIndex != 0 && this->currentTime >= progress.resendAt)
            this->sendChunk(progress);
    }
}

void QuorumLog::sendHeartbeat(MemberProgress &progress)
{
    progress.heartbeatAt = this->currentTime + this->settings.heartbeat;
    const std::uint64_t previous = progress.probing ? progress.nextIndex - 1 : progress.matchIndex;
    // Index 0 matches at every member and replaces the index of an entry that was compacted away.
    this->sendAppend(progress, this->entries.termAt(previous) ? previous : 0, {});
    const bool covered = !this->entries.termAt(progress.nextIndex - 1);
    if (covered && progress.inflight.empty() && progress.snapshotIndex == 0)
        this->sendChunk(progress);
}

void QuorumLog::sendEntries(MemberProgress &progress)
{
    if (progress.probing || progress.snapshotIndex != 0)
        return;
    while (progress.nextIndex <= this->lastIndex()
           && progress.inflight.size() < this->settings.maxInflightAppends
           && this->entries.termAt(progress.nextIndex - 1)) {
        std::vector<QuorumEntry> batch = this->entries.slice(
            progress.nextIndex, this->settings.maxBatchEntries, this->settings.maxBatchBytes);
        const std::uint64_t previous = progress.nextIndex - 1;
        if (progress.inflight.empty())
            progress.resendAt = this->currentTime + 2 * this->settings.heartbeat;
        progress.nextIndex += batch.size();
        progress.inflight.push_back(progress.nextIndex - 1);
        this->sendAppend(progress, previous, std::move(batch));
    }
}

void QuorumLog::sendAppend(MemberProgress &progress, std::uint64_t previousIndex,
                           std::vector<QuorumEntry> batch)
{
    QuorumAppend append;
    append.header = this->header(progress.member.incarnation);
    append.sequence = this->nextSequence();
    append.previousIndex = previousIndex;
    append.previousTerm = this->entries.termAt(previousIndex).value_or(0);
    append.commitIndex = this->committed;
    append.entries = std::move(batch);
    this->hooks.send(progress.member.peer.instance, append);
}

std::uint64_t QuorumLog::nextSequence()
{
    const TimePoint oldest = this->currentTime - 2 * this->settings.electionTimeoutMax;
    while (!this->sentAt.empty() && this->sentAt.begin()->second < oldest)
        this->sentAt.erase(this->sentAt.begin());
    this->sentAt[++this->sequence] = this->currentTime;
    return this->sequence;
}

MemberProgress *QuorumLog::recordAnswer(const InstanceId &from, const QuorumHeader &received,
                                        std::uint64_t answered)
{
    if (!this->isLeader() || received.term != this->term())
        return nullptr;
    const auto found = this->progressByMember.find({from, received.fromIncarnation});
    const auto sent = this->sentAt.find(answered);
    if (found == this->progressByMember.end() || sent == this->sentAt.end())
        return nullptr;
    MemberProgress &progress = found->second;
    progress.lastAnswerAt = this->currentTime;
    progress.answered = true;
    // A restarted instance has answered, as one that still leaves asks with every heartbeat.
    if (progress.leaveAskedAt
        && this->currentTime >= *progress.leaveAskedAt + 2 * this->settings.electionTimeoutMax)
        progress.leaveAskedAt.reset();
    progress.newestAnsweredSentAt =
        std::max(progress.newestAnsweredSentAt, std::make_optional(sent->second));
    progress.answeredSequence = std::max(progress.answeredSequence, answered);
    // An instance has only one incarnation at a time: the one that answered the newest message.
    for (auto &[key, other] : this->progressByMember) {
        if (key.first != from || &other == &progress)
            continue;
        other.superseded = other.answeredSequence < progress.answeredSequence;
        progress.superseded = !other.superseded;
    }
    return &progress;
}

void QuorumLog::handle(const InstanceId &from, const QuorumAppend &append)
{
    if (append.header.term < this->term()) {
        this->answerAppend(from, append.header, append.sequence, false, this->lastIndex() + 1);
        return;
    }
    this->followLeader(from, append.header);
    if (!this->matchesPrevious(append)) {
        this->answerAppend(from, append.header, append.sequence, false, this->retryIndex(append));
        return;
    }
    if (!this->storeEntries(append))
        return;
    const std::uint64_t matched = append.previousIndex + append.entries.size();
    this->commitUpTo(std::min(append.commitIndex, matched));
    this->answerAppend(from, append.header, append.sequence, true, matched);
}

void QuorumLog::followLeader(const InstanceId &from, const QuorumHeader &received)
{
    this->becomeFollower(received.term, "leader_heard");
    this->lastLeaderContactAt = this->currentTime;
    this->resetElectionTimer();
    if (this->knownLeader && this->knownLeader->instance == from)
        return;
    this->knownLeader = this->findPeer(from);
    this->emitEvent("quorum_leader_followed",
                    {{"leader", from.value}, {"term", absl::StrCat(this->term())}});
}

// Compacted entries are committed and therefore identical to those of every leader.
bool QuorumLog::matchesPrevious(const QuorumAppend &append) const
{
    if (append.previousIndex < this->entries.firstIndex())
        return true;
    return this->entries.termAt(append.previousIndex) == append.previousTerm;
}

// Skips all uncommitted entries of the conflicting term, so that resolving a diverged tail takes
// one message per term.
std::uint64_t QuorumLog::retryIndex(const QuorumAppend &append) const
{
    const auto conflicting = this->entries.termAt(append.previousIndex);
    if (!conflicting)
        return this->lastIndex() + 1;
    std::uint64_t index = append.previousIndex;
    while (index > this->committed + 1 && this->entries.termAt(index - 1) == conflicting)
        --index;
    return index;
}

// Returns false if the leader's entries conflict with a committed entry. The instance then stops,
// because its log can no longer be trusted.
bool QuorumLog::storeEntries(const QuorumAppend &append)
{
    for (const QuorumEntry &entry : append.entries) {
        if (entry.index < this->entries.firstIndex())
            continue;
        const auto present = this->entries.termAt(entry.index);
        if (present == entry.term)
            continue;
        if (present) {
            if (entry.index <= this->committed) {
                this->stop(absl::StrCat(
                    "the leader's log conflicts with the committed entry at index ", entry.index));
                return false;
            }
            this->entries.truncateFrom(entry.index);
            this->persistence.truncateFrom(entry.index);
            this->durable = std::min(this->durable, entry.index - 1);
        }
        this->loggedBytes += entry.payload.bytes.size();
        this->persistence.append(entry);
        this->entries.append(entry);
    }
    if (!append.entries.empty())
        this->adoptCluster(append.header.clusterId);
    return true;
}

void QuorumLog::answerAppend(const InstanceId &to, const QuorumHeader &received,
                             std::uint64_t answered, bool accepted, std::uint64_t index)
{
    QuorumAppendAnswer answer;
    answer.header = this->header(received.fromIncarnation);
    answer.sequence = answered;
    answer.accepted = accepted;
    (accepted ? answer.matchIndex : answer.nextIndex) = index;
    this->sendAfterSync(to, answer);
}

void QuorumLog::handle(const InstanceId &from, const QuorumAppendAnswer &answer)
{
    MemberProgress *progress = this->recordAnswer(from, answer.header, answer.sequence);
    if (progress == nullptr)
        return;
    if (answer.accepted)
        this->handleAccepted(*progress, answer.matchIndex);
    else if (progress->snapshotIndex == 0)
        this->handleRefused(*progress, answer.nextIndex);
    this->advanceCommit();
}

void QuorumLog::handleAccepted(MemberProgress &progress, std::uint64_t matched)
{
    if (matched > progress.matchIndex) {
        progress.matchIndex = matched;
        progress.resendAt = this->currentTime + 2 * this->settings.heartbeat;
    }
    if (progress.matchIndex >= progress.roundEnd) {
        progress.currentAsOf = progress.roundStartedAt;
        progress.roundEnd = this->lastIndex();
        progress.roundStartedAt = this->currentTime;
    }
    while (!progress.inflight.empty() && progress.inflight.front() <= progress.matchIndex)
        progress.inflight.pop_front();
    if (progress.snapshotIndex != 0 && progress.matchIndex >= progress.snapshotIndex) {
        progress.snapshotIndex = 0;
        progress.nextIndex = progress.matchIndex + 1;
    }
    if (matched + 1 >= progress.nextIndex)
        progress.probing = false;
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    this->sendEntries(progress);
}

void QuorumLog::handleRefused(MemberProgress &progress, std::uint64_t retry)
{
    progress.inflight.clear();
    progress.probing = true;
    progress.nextIndex = std::clamp(retry, progress.matchIndex + 1,
                                    std::max(this->lastIndex() + 1, progress.matchIndex + 1));
    this->sendHeartbeat(progress);
}

// The last index that a majority of `voters` holds durably.
std::uint64_t QuorumLog::replicatedBy(const std::vector<QuorumMember> &voters) const
{
    std::vector<std::uint64_t> matches;
    for (const QuorumMember &voter : voters) {
        const auto found = this->progressByMember.find(keyOf(voter));
        if (keyOf(voter) == this->selfKey())
            matches.push_back(this->durable);
        else if (found != this->progressByMember.end() && !found->second.superseded)
            matches.push_back(found->second.matchIndex);
        else
            matches.push_back(0);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    return matches.empty() ? 0 : matches[this->requiredOf(voters) - 1];
}

void QuorumLog::advanceCommit()
{
    if (!this->isLeader())
        return;
    const std::vector<QuorumMember> &voters = this->membership().voters;
    std::uint64_t reached = this->replicatedBy(voters);
    // So that each majority of the former set has a member that knows the new one.
    if (const std::vector<QuorumMember> *former = this->undecidedFormerVoters())
        reached = std::min(reached, this->replicatedBy(*former));
    // Raft commits entries of older terms only along with an entry of the current term.
    if (reached <= this->committed || this->entries.termAt(reached) != this->term())
        return;
    const bool isNewMembership =
        this->entries.membershipIndexAt(this->lastIndex()) > this->committed;
    this->commitUpTo(reached);
    // Former voters are not sent anything any more.
    if (isNewMembership)
        this->rebuildProgress();
    this->maintainMembership();
}

void QuorumLog::commitUpTo(std::uint64_t index)
{
    if (index <= this->committed)
        return;
    this->committed = index;
    this->applyCommitted();
}

void QuorumLog::onDurable(std::uint64_t index, std::uint64_t entryTerm)
{
    if (index < this->entries.firstIndex() || this->entries.termAt(index) == entryTerm)
        this->durable = std::max(this->durable, index);
    this->advanceCommit();
}

} // namespace rhubarbweir
