// See quorum_log.hpp. This file: single-member changes and the replacement of lost voters.
//
// A voter is replaced by promoting a learner that is up to date and removing the voter once the
// promotion is committed, as in section 4 of Ongaro's dissertation on Raft. Each step changes the
// set of voters by one member, so any two majorities have a voter in common. Removing the voter
// first would leave a set in which each further loss is fatal, for as long as the learner is not
// promoted. A step is committed once majorities of both sets hold it, so a leader must not wait for
// a loss before it prepares: a step that is proposed while too few remain never commits.
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

bool containsInstance(const std::vector<QuorumPeer> &peers, const InstanceId &instance)
{
    return std::any_of(peers.begin(), peers.end(),
                       [&instance](const QuorumPeer &peer) { return peer.instance == instance; });
}

bool containsInstance(const std::vector<QuorumMember> &members, const InstanceId &instance)
{
    return std::any_of(members.begin(), members.end(), [&instance](const QuorumMember &member) {
        return member.peer.instance == instance;
    });
}

void removeInstance(std::vector<QuorumMember> &members, const InstanceId &instance)
{
    const auto same = [&instance](const QuorumMember &member) {
        return member.peer.instance == instance;
    };
    members.erase(std::remove_if(members.begin(), members.end(), same), members.end());
}

void removeMember(std::vector<QuorumMember> &members, const QuorumMember &member)
{
    members.erase(std::remove(members.begin(), members.end(), member), members.end());
}

// Within this many times replaceAfter a voter is not dropped early again.
constexpr int DropRepeatFactor = 10;

// Why a voter is replaced.
std::string lossOf(const MemberProgress &voter)
{
    if (voter.superseded)
        return "data_folder_lost";
    return voter.leaveAskedAt ? "leaving" : "silent";
}

} // namespace

void QuorumLog::rebuildProgress()
{
    std::map<MemberKey, MemberProgress> rebuilt;
    const auto keep = [this, &rebuilt](const QuorumMember &member) {
        const MemberKey key = keyOf(member);
        if (key == this->selfKey())
            return;
        const auto found = this->progressByMember.find(key);
        MemberProgress progress;
        if (found != this->progressByMember.end())
            progress = found->second;
        else {
            progress.nextIndex = this->lastIndex() + 1;
            progress.roundEnd = this->lastIndex();
            progress.roundStartedAt = this->currentTime;
            progress.lastAnswerAt = this->currentTime;
            progress.heartbeatAt = this->currentTime;
        }
        progress.member = member;
        rebuilt[key] = std::move(progress);
    };
    const QuorumMembership &current = this->membership();
    std::for_each(current.voters.begin(), current.voters.end(), keep);
    std::for_each(current.learners.begin(), current.learners.end(), keep);
    const std::vector<QuorumMember> returned = this->returnedVoters();
    std::for_each(returned.begin(), returned.end(), keep);
    const std::vector<QuorumMember> &former = this->formerVoters();
    std::for_each(former.begin(), former.end(), keep);
    this->progressByMember = std::move(rebuilt);
}

absl::Status QuorumLog::checkChangeAllowed() const
{
    if (!this->isLeader() || this->handoverLeaseEnd)
        return absl::FailedPreconditionError("not the leader");
    // Until the leader has committed an entry of its own term, a membership change of an earlier
    // leader may still be committed instead.
    if (this->committed < this->firstIndexOfTerm)
        return absl::UnavailableError("the leader has not committed an entry of its term yet");
    if (this->entries.membershipIndexAt(this->lastIndex()) > this->committed)
        return absl::UnavailableError("another membership change is in progress");
    return absl::OkStatus();
}

void QuorumLog::proposeMembership(const QuorumMembership &next, const std::string &event,
                                  std::vector<QuorumEventField> fields)
{
    const std::uint64_t index = this->appendLocally(EntryKind::Membership, {}, next);
    fields.push_back({"index", absl::StrCat(index)});
    fields.push_back({"voters", absl::StrCat(next.voters.size())});
    this->emitEvent(event, fields);
    this->replicate();
}

// Errors: those of checkChangeAllowed(); PermissionDenied if the instance may not join,
// AlreadyExists if it is a member under this incarnation.
absl::Status QuorumLog::checkJoin(const InstanceId &from, const QuorumJoin &join) const
{
    const QuorumMembership &current = this->membership();
    const QuorumMember member{join.peer, join.header.fromIncarnation};
    if (std::find(current.voters.begin(), current.voters.end(), member) != current.voters.end()
        || std::find(current.learners.begin(), current.learners.end(), member)
               != current.learners.end())
        return absl::AlreadyExistsError("a member already");
    if (absl::Status allowed = this->checkChangeAllowed(); !allowed.ok())
        return allowed;
    const bool known =
        this->settings.admitUnknown || containsInstance(this->settings.initialVoters, from)
        || containsInstance(this->settings.spares, from) || containsInstance(current.admitted, from)
        || containsInstance(current.voters, from) || containsInstance(current.learners, from);
    const bool barred =
        std::find(current.barred.begin(), current.barred.end(), from) != current.barred.end();
    if (!known || barred || join.peer.instance != from)
        return absl::PermissionDeniedError(barred ? "removed by an operator" : "unknown instance");
    return absl::OkStatus();
}

void QuorumLog::handle(const InstanceId &from, const QuorumJoin &join)
{
    this->recordReturn(join);
    this->answerNonMember(from, join.header);
    const absl::Status allowed = this->checkJoin(from, join);
    if (absl::IsAlreadyExists(allowed))
        return;
    if (!allowed.ok()) {
        const bool redirected = this->redirectJoin(from, join.header);
        this->emitEvent(redirected ? "quorum_join_redirected" : "quorum_join_refused",
                        {{"instance", from.value},
                         {"incarnation", absl::StrCat(join.header.fromIncarnation)},
                         {"cause", allowed.ToString()},
                         {"leader", this->knownLeader ? this->knownLeader->instance.value : ""}});
        return;
    }
    this->admitLearner({join.peer, join.header.fromIncarnation}, "asked_to_join");
}

void QuorumLog::admitLearner(const QuorumMember &member, const std::string &cause)
{
    QuorumMembership next = this->membership();
    removeInstance(next.learners, member.peer.instance);
    next.learners.push_back(member);
    this->proposeMembership(next, "quorum_learner_added",
                            {{"instance", member.peer.instance.value},
                             {"incarnation", absl::StrCat(member.incarnation)},
                             {"cause", cause}});
}

// Returns false if this instance leads or knows no other leader.
bool QuorumLog::redirectJoin(const InstanceId &joining, const QuorumHeader &received)
{
    if (this->isLeader() || !this->hasRecentLeader() || this->knownLeader->instance == joining)
        return false;
    this->sendAfterSync(
        joining, QuorumJoinRedirect{this->header(received.fromIncarnation), *this->knownLeader});
    return true;
}

absl::Status QuorumLog::addLearner(const QuorumPeer &peer, TimePoint time)
{
    this->beginEvent(time);
    if (absl::Status allowed = this->checkChangeAllowed(); !allowed.ok())
        return allowed;
    QuorumMembership next = this->membership();
    if (containsInstance(next.voters, peer.instance)
        || containsInstance(next.learners, peer.instance))
        return absl::AlreadyExistsError("the instance is already a member");
    next.barred.erase(std::remove(next.barred.begin(), next.barred.end(), peer.instance),
                      next.barred.end());
    if (!containsInstance(next.admitted, peer.instance))
        next.admitted.push_back(peer);
    this->proposeMembership(next, "quorum_learner_admitted",
                            {{"instance", peer.instance.value}, {"cause", "requested"}});
    this->finishEvent();
    return absl::OkStatus();
}

absl::Status QuorumLog::removeVoter(const InstanceId &instance, TimePoint time)
{
    this->beginEvent(time);
    if (absl::Status allowed = this->checkChangeAllowed(); !allowed.ok())
        return allowed;
    QuorumMembership next = this->membership();
    if (!containsInstance(next.voters, instance))
        return absl::NotFoundError("the instance is not a voter");
    if (next.voters.size() == 1 || instance == this->settings.self.instance)
        return absl::FailedPreconditionError("the leader and the last voter cannot be removed");
    const auto removed = std::find_if(
        next.voters.begin(), next.voters.end(),
        [&instance](const QuorumMember &voter) { return voter.peer.instance == instance; });
    if (!this->majorityWithout(*removed))
        return absl::UnavailableError("no majority of the remaining voters is reachable");
    removeInstance(next.voters, instance);
    next.barred.push_back(instance);
    this->proposeMembership(next, "quorum_voter_removed",
                            {{"instance", instance.value}, {"cause", "requested"}});
    this->finishEvent();
    return absl::OkStatus();
}

void QuorumLog::maintainMembership()
{
    if (!this->checkChangeAllowed().ok())
        return;
    const QuorumMembership &current = this->membership();
    for (const QuorumMember &returned : this->returnedVoters()) {
        // It hears the leader, so it does not ask again.
        const bool isLearner = std::find(current.learners.begin(), current.learners.end(), returned)
                               != current.learners.end();
        if (!isLearner && this->isReachable(returned)) {
            this->admitLearner(returned, "folder_lost");
            return;
        }
    }
    const MemberProgress *lost = this->findLostVoter();
    const bool isLeaving = this->leaveStep != LeaveStep::Member;
    const std::size_t size = current.voters.size();
    const bool isLostSpare = size > current.voterTarget && lost != nullptr;
    if (isLostSpare || size > this->maxVoters()) {
        // A leader that leaves is removed by its successor, after it has asked it.
        const bool mayLeaverAsk =
            isLeaving
            || this->currentTime < this->leadershipStart + 2 * this->settings.electionTimeoutMax;
        if (lost == nullptr && mayLeaverAsk)
            return;
        const MemberProgress *surplus = lost != nullptr ? lost : this->leastAdvancedVoter();
        if (surplus != nullptr && this->majorityWithout(surplus->member)) {
            this->recordSpareDrop(surplus->member);
            this->dropVoter(surplus->member, lost != nullptr ? lossOf(*lost) : "surplus");
        }
        return;
    }
    const MemberProgress *learner =
        size == this->maxVoters()
            ? nullptr
            : this->bestReplacement(lost != nullptr ? lost->member.peer.instance : InstanceId());
    if (learner == nullptr || !this->majorityWith(learner->member)) {
        this->confirmVoters();
        return;
    }
    std::string cause = "spare";
    if (size < current.voterTarget)
        cause = "voter_missing";
    else if (lost != nullptr)
        cause = lossOf(*lost);
    else if (isLeaving)
        cause = "leaving";
    this->promoteLearner(learner->member, cause);
}

// Learners that are up to date vote at once, up to two more than the target, so that two voters may
// be gone before the first of them is noticed. A second one requires no more answers for a commit
// than the first. See quorum_lost_folders.cpp for what an even set tolerates.
std::size_t QuorumLog::maxVoters() const
{
    constexpr std::size_t spareVoters = 2;
    const std::size_t target = this->membership().voterTarget;
    const bool isOdd = target % 2 != 0;
    // Two voters tolerate less than one.
    return isOdd && target > 1 ? target + spareVoters : target;
}

// How long a voter may be silent before it counts as lost. A spare voter is dropped soon, so that
// the next loss finds a smaller set; if it was only frozen, it joins again. One that was dropped
// and came back is given more time, or a link that keeps failing would change the set without end.
Duration QuorumLog::silenceLimit(const MemberProgress &voter) const
{
    const bool isSpare = this->membership().voters.size() > this->membership().voterTarget;
    const auto repeated = this->spareDrops.find(keyOf(voter.member));
    const bool isRepeated =
        repeated != this->spareDrops.end() && this->currentTime < repeated->second;
    if (!isSpare || isRepeated)
        return this->settings.replaceAfter;
    // A new leader did not hear a voter that was gone before.
    const int timeouts = voter.answered ? 2 : 1;
    const Duration silence = timeouts * this->settings.electionTimeoutMax * this->electionPatience;
    return std::min(silence, this->settings.replaceAfter);
}

void QuorumLog::recordSpareDrop(const QuorumMember &voter)
{
    for (auto entry = this->spareDrops.begin(); entry != this->spareDrops.end();) {
        const bool isOver = entry->second <= this->currentTime;
        entry = isOver ? this->spareDrops.erase(entry) : std::next(entry);
    }
    this->spareDrops[keyOf(voter)] =
        this->currentTime + DropRepeatFactor * this->settings.replaceAfter;
}

bool QuorumLog::answeredRecently(const MemberProgress &progress) const
{
    return progress.answered && !progress.superseded
           && this->currentTime < *progress.lastAnswerAt + this->settings.electionTimeoutMax;
}

// Whether the member lags by less than an election takes. Under a steady load it never holds all
// that is committed, as its answers are on their way.
bool QuorumLog::isUpToDate(const MemberProgress &progress) const
{
    return !progress.probing && progress.currentAsOf
           && this->currentTime < *progress.currentAsOf + this->settings.electionTimeoutMax;
}

bool QuorumLog::isReachable(const QuorumMember &member) const
{
    const auto found = this->progressByMember.find(keyOf(member));
    return keyOf(member) == this->selfKey()
           || (found != this->progressByMember.end() && this->answeredRecently(found->second));
}

bool QuorumLog::isMajorityReachable(const std::vector<QuorumMember> &voters) const
{
    const auto reachable =
        std::count_if(voters.begin(), voters.end(),
                      [this](const QuorumMember &voter) { return this->isReachable(voter); });
    return static_cast<std::size_t>(reachable) > voters.size() / 2;
}

// Whether enough voters other than `lost` are reachable to commit its removal, which takes a
// majority of the present set.
bool QuorumLog::majorityWithout(const QuorumMember &lost) const
{
    const std::vector<QuorumMember> &voters = this->membership().voters;
    const auto reachable =
        std::count_if(voters.begin(), voters.end(), [this, &lost](const QuorumMember &voter) {
            return !(voter == lost) && this->isReachable(voter);
        });
    return static_cast<std::size_t>(reachable) >= this->requiredOf(voters);
}

// Whether enough voters are reachable to commit the promotion of `learner`.
bool QuorumLog::majorityWith(const QuorumMember &learner) const
{
    std::vector<QuorumMember> voters = this->membership().voters;
    voters.push_back(learner);
    return this->isMajorityReachable(voters);
}

const MemberProgress *QuorumLog::findLostVoter() const
{
    const MemberProgress *leaving = nullptr;
    const MemberProgress *silent = nullptr;
    for (const QuorumMember &voter : this->membership().voters) {
        const auto found = this->progressByMember.find(keyOf(voter));
        if (found == this->progressByMember.end())
            continue;
        if (found->second.superseded)
            return &found->second;
        if (*found->second.lastAnswerAt + this->silenceLimit(found->second) <= this->currentTime)
            silent = &found->second;
        else if (found->second.leaveAskedAt)
            leaving = &found->second;
    }
    return silent != nullptr ? silent : leaving;
}

// The voter to remove when all of a too large set answer; null if this instance is the only voter.
const MemberProgress *QuorumLog::leastAdvancedVoter() const
{
    const MemberProgress *least = nullptr;
    for (const QuorumMember &voter : this->membership().voters) {
        const auto found = this->progressByMember.find(keyOf(voter));
        if (found != this->progressByMember.end()
            && (least == nullptr || found->second.matchIndex < least->matchIndex))
            least = &found->second;
    }
    return least;
}

// Returns an up-to-date learner, preferably in a failure domain without a voter; null if there is
// none. `vacating` is an instance that is about to lose its vote: its new incarnation may replace
// the old one, which counts as lost and is removed next.
const MemberProgress *QuorumLog::bestReplacement(const InstanceId &vacating) const
{
    const QuorumMembership &current = this->membership();
    const auto domainTaken = [&current, &vacating](const FailureDomainId &domain) {
        return std::any_of(current.voters.begin(), current.voters.end(),
                           [&domain, &vacating](const QuorumMember &voter) {
                               return voter.peer.instance != vacating
                                      && voter.peer.failureDomain == domain;
                           });
    };
    const MemberProgress *best = nullptr;
    for (const QuorumMember &learner : current.learners) {
        const InstanceId &instance = learner.peer.instance;
        if (instance != vacating && containsInstance(current.voters, instance))
            continue;
        const auto found = this->progressByMember.find(keyOf(learner));
        if (found == this->progressByMember.end() || !this->answeredRecently(found->second)
            || !this->isUpToDate(found->second) || found->second.leaveAskedAt)
            continue;
        if (!domainTaken(learner.peer.failureDomain))
            return &found->second;
        if (best == nullptr)
            best = &found->second;
    }
    return best;
}

void QuorumLog::dropVoter(const QuorumMember &lost, const std::string &cause)
{
    QuorumMembership next = this->membership();
    removeMember(next.voters, lost);
    this->proposeMembership(next, "quorum_voter_removed",
                            {{"instance", lost.peer.instance.value}, {"cause", cause}});
}

void QuorumLog::promoteLearner(const QuorumMember &learner, const std::string &cause)
{
    QuorumMembership next = this->membership();
    removeMember(next.learners, learner);
    next.voters.push_back(learner);
    this->proposeMembership(next, "quorum_voter_added",
                            {{"instance", learner.peer.instance.value}, {"cause", cause}});
}

} // namespace rhubarbweir
