// See quorum_log.hpp. This file: elections, leader leases, quorum checks and leadership handover.
//
// Leader lease: a voter that received a message from the leader refuses votes for
// electionTimeoutMin on its own clock. Once a majority answered messages sent at or after t, no
// other leader can be elected before t + electionTimeoutMin, reduced by the clock drift bound, on
// the leader's clock. A voter refuses votes for the same time after a restart.
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <functional>
#include <tuple>

namespace rhubarbweir {

namespace {

// See quorum_lost_folders.cpp. Two elections choose the same term with a probability of 2^-32.
constexpr std::uint64_t AssistedTermRange = std::uint64_t{1} << 32U;

} // namespace

Duration QuorumLog::leaseDuration() const
{
    const Duration minimum = this->settings.electionTimeoutMin;
    return minimum - minimum / this->settings.clockDriftDivisor;
}

TimePoint QuorumLog::leaseEnd(TimePoint time) const
{
    if (!this->isLeader() || this->applied < this->firstIndexOfTerm)
        return time;
    if (this->handoverLeaseEnd)
        return *this->handoverLeaseEnd;
    auto since =
        this->majorityTime(&MemberProgress::newestAnsweredSentAt, time, this->membership().voters);
    // Nothing is committed without a majority of the former set either.
    if (const std::vector<QuorumMember> *former = this->undecidedFormerVoters())
        since = std::min(since,
                         this->majorityTime(&MemberProgress::newestAnsweredSentAt, time, *former));
    return since ? *since + this->leaseDuration() : time;
}

void QuorumLog::resetElectionTimer()
{
    const Duration minimum = this->settings.electionTimeoutMin;
    const auto spread = (this->settings.electionTimeoutMax - minimum).count();
    const auto extra =
        spread > 0 ? this->random() % static_cast<std::uint64_t>(spread) : std::uint64_t{0};
    const Duration timeout = minimum + Duration(static_cast<std::int64_t>(extra));
    this->electionDeadline = this->currentTime + timeout * this->electionPatience;
}

void QuorumLog::becomeFollower(std::uint64_t newTerm, const std::string &cause)
{
    const bool wasLeader = this->isLeader();
    if (newTerm > this->term()) {
        this->hardState.term = newTerm;
        this->hardState.votedFor = {};
        this->hardState.votedForIncarnation = 0;
        this->saveHardState();
        this->knownLeader.reset();
    }
    this->currentRole = this->lastIndex() == 0 ? QuorumRole::Unjoined : QuorumRole::Follower;
    this->votes.clear();
    if (!wasLeader)
        return;
    this->progressByMember.clear();
    this->sentAt.clear();
    this->handoverLeaseEnd.reset();
    this->handoverSent = false;
    this->knownLeader.reset();
    this->resetElectionTimer();
    this->emitEvent("quorum_leader_stepped_down",
                    {{"term", absl::StrCat(this->term())}, {"cause", cause}});
}

void QuorumLog::advanceElection()
{
    if (this->currentTime >= this->electionDeadline && this->isVoter() && !this->hasLeft())
        this->startPreVote();
}

void QuorumLog::startPreVote()
{
    this->currentRole = QuorumRole::PreCandidate;
    this->knownLeader.reset();
    this->resetElectionTimer();
    this->isAssistedElection = this->toleratesSuperseded(this->membership().voters);
    this->votes = {this->selfKey()};
    this->requestVotes(VotePhase::PreVote, this->term() + 1, false);
    this->countVotes();
}

void QuorumLog::startElection(bool handover)
{
    this->currentRole = QuorumRole::Candidate;
    this->knownLeader.reset();
    this->isAssistedElection = !handover && this->isAssistedMajority();
    this->votes.clear();
    ++this->hardState.term;
    if (this->isAssistedElection)
        this->hardState.term += this->random() % AssistedTermRange;
    this->hardState.votedFor = this->settings.self.instance;
    this->hardState.votedForIncarnation = this->hardState.incarnation;
    this->saveHardState();
    this->resetElectionTimer();
    this->emitEvent("quorum_election_started",
                    {{"term", absl::StrCat(this->term())},
                     {"cause", handover ? "leader_handed_over" : "no_leader_heard"},
                     {"assisted", this->isAssistedElection ? "yes" : "no"}});
    // The instance counts its own vote and requests others only once that vote is durable.
    this->persistence.afterSync([this, electionTerm = this->term(), handover] {
        if (this->currentRole != QuorumRole::Candidate || this->term() != electionTerm)
            return;
        this->votes.insert(this->selfKey());
        this->requestVotes(VotePhase::Vote, electionTerm, handover);
        this->countVotes();
    });
}

void QuorumLog::requestVotes(VotePhase phase, std::uint64_t electionTerm, bool handover)
{
    QuorumVoteRequest request;
    request.header.term = electionTerm;
    request.phase = phase;
    request.lastIndex = this->lastIndex();
    request.lastTerm = this->entries.lastTerm();
    request.handover = handover;
    for (const QuorumMember &voter : this->membership().voters) {
        if (keyOf(voter) != this->selfKey())
            this->requestVote(voter, request);
    }
    if (!this->isAssistedElection)
        return;
    for (const QuorumMember &returned : this->returnedVoters())
        this->requestVote(returned, request);
}

void QuorumLog::requestVote(const QuorumMember &voter, QuorumVoteRequest request)
{
    const std::uint64_t electionTerm = request.header.term;
    request.header = this->header(voter.incarnation);
    request.header.term = electionTerm;
    this->hooks.send(voter.peer.instance, request);
}

// Counts only voters of the latest membership, each under its current incarnation.
std::size_t QuorumLog::countVotersInFavour() const
{
    const std::vector<QuorumMember> &voters = this->membership().voters;
    return static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(), [this](const QuorumMember &voter) {
            return this->votes.count(keyOf(voter)) != 0;
        }));
}

bool QuorumLog::hasMajorityOfVotes() const
{
    return this->countVotersInFavour() > this->membership().voters.size() / 2
           || this->isAssistedMajority();
}

void QuorumLog::countVotes()
{
    if (!this->hasMajorityOfVotes())
        return;
    if (this->currentRole == QuorumRole::PreCandidate)
        this->startElection(false);
    else if (this->currentRole == QuorumRole::Candidate)
        this->becomeLeader();
}

void QuorumLog::becomeLeader()
{
    this->currentRole = QuorumRole::Leader;
    this->knownLeader = this->settings.self;
    this->leadershipStart = this->currentTime;
    this->progressByMember.clear();
    this->spareDrops.clear();
    this->latestLeaseEnd = this->currentTime;
    this->isCommitBlocked = false;
    this->rebuildProgress();
    this->uncommittedBytes = 0;
    for (std::uint64_t index = this->committed + 1; index <= this->lastIndex(); ++index)
        this->uncommittedBytes += this->entries.at(index).payload.bytes.size();
    this->firstIndexOfTerm = this->appendLocally(EntryKind::Empty, {}, {});
    this->emitEvent("quorum_leader_elected",
                    {{"leader", this->settings.self.instance.value},
                     {"term", absl::StrCat(this->term())},
                     {"votes", absl::StrCat(this->votes.size())},
                     {"voters", absl::StrCat(this->membership().voters.size())}});
    this->advanceLeader();
}

// Whether a leader, possibly this instance, may hold a lease that a vote could violate.
bool QuorumLog::leaderMayHoldLease() const
{
    if (this->isLeader())
        return true;
    return this->currentTime < this->lastLeaderContactAt + this->settings.electionTimeoutMin;
}

bool QuorumLog::isLogUpToDate(std::uint64_t otherIndex, std::uint64_t otherTerm) const
{
    return std::make_tuple(otherTerm, otherIndex)
           >= std::make_tuple(this->entries.lastTerm(), this->lastIndex());
}

bool QuorumLog::grantPreVote(const QuorumVoteRequest &request) const
{
    return !this->leaderMayHoldLease() && request.header.term > this->term()
           && this->isLogUpToDate(request.lastIndex, request.lastTerm);
}

bool QuorumLog::grantVote(const InstanceId &from, const QuorumVoteRequest &request)
{
    // The leader starts a handover only after its own lease has ended.
    const bool handover = request.handover && (!this->isLeader() || this->handoverSent);
    if (!handover && this->leaderMayHoldLease())
        return false;
    if (request.header.term < this->term())
        return false;
    if (request.header.term > this->term())
        this->becomeFollower(request.header.term, "vote_request_of_newer_term");
    const bool sameVote = this->hardState.votedFor == from
                          && this->hardState.votedForIncarnation == request.header.fromIncarnation;
    if (!this->hardState.votedFor.empty() && !sameVote)
        return false;
    if (!this->isLogUpToDate(request.lastIndex, request.lastTerm))
        return false;
    this->hardState.votedFor = from;
    this->hardState.votedForIncarnation = request.header.fromIncarnation;
    this->saveHardState();
    this->resetElectionTimer();
    return true;
}

void QuorumLog::handle(const InstanceId &from, const QuorumVoteRequest &request)
{
    QuorumVoteAnswer answer;
    answer.granted = request.phase == VotePhase::PreVote ? this->grantPreVote(request)
                                                         : this->grantVote(from, request);
    answer.header = this->header(request.header.fromIncarnation);
    answer.phase = request.phase;
    answer.electionTerm = request.header.term;
    this->sendAfterSync(from, answer);
}

void QuorumLog::handle(const InstanceId &from, const QuorumVoteAnswer &answer)
{
    if (!answer.granted)
        return;
    const bool preVote = answer.phase == VotePhase::PreVote
                         && this->currentRole == QuorumRole::PreCandidate
                         && answer.electionTerm == this->term() + 1;
    const bool vote = answer.phase == VotePhase::Vote && this->currentRole == QuorumRole::Candidate
                      && answer.electionTerm == this->term();
    if (!preVote && !vote)
        return;
    this->votes.insert({from, answer.header.fromIncarnation});
    this->countVotes();
}

void QuorumLog::handle(const InstanceId &from, const QuorumTimeoutNow &request)
{
    const bool fromLeader = this->knownLeader && this->knownLeader->instance == from;
    if (request.header.term == this->term() && fromLeader && this->isVoter())
        this->startElection(true);
}

// The latest time that a majority of the voters has reached; absent if fewer voters have one.
std::optional<TimePoint> QuorumLog::majorityTime(std::optional<TimePoint> MemberProgress::*time,
                                                 TimePoint own,
                                                 const std::vector<QuorumMember> &voters) const
{
    std::vector<std::optional<TimePoint>> times;
    for (const QuorumMember &voter : voters) {
        const auto found = this->progressByMember.find(keyOf(voter));
        if (keyOf(voter) == this->selfKey())
            times.emplace_back(own);
        else if (found != this->progressByMember.end() && !found->second.superseded)
            times.push_back(found->second.*time);
        else
            times.emplace_back();
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times.empty() ? std::nullopt : times[this->requiredOf(voters) - 1];
}

void QuorumLog::checkQuorum()
{
    const auto heard = this->majorityTime(&MemberProgress::lastAnswerAt, this->currentTime,
                                          this->membership().voters);
    const Duration timeout = this->settings.electionTimeoutMax * this->electionPatience;
    if (!heard || *heard + timeout < this->currentTime) {
        this->becomeFollower(this->term(), "no_majority_answered");
        return;
    }
    const std::vector<QuorumMember> *former = this->undecidedFormerVoters();
    if (former == nullptr) {
        this->reportCommitBlocked({});
        return;
    }
    const auto formerHeard =
        this->majorityTime(&MemberProgress::lastAnswerAt, this->currentTime, *former);
    if (!formerHeard || *formerHeard + timeout < this->currentTime)
        this->reportCommitBlocked(*former);
}

// A change of the voters that too few of the former ones hold is committed once they return; until
// then nothing is. `former` is empty once commits go on.
void QuorumLog::reportCommitBlocked(const std::vector<QuorumMember> &former)
{
    if (this->isCommitBlocked == !former.empty())
        return;
    this->isCommitBlocked = !former.empty();
    std::vector<std::string> missing;
    for (const QuorumMember &voter : former) {
        if (!this->isReachable(voter))
            missing.push_back(voter.peer.instance.value);
    }
    this->emitEvent(this->isCommitBlocked ? "quorum_commit_blocked" : "quorum_commit_resumed",
                    {{"missing", absl::StrJoin(missing, ",")},
                     {"commit", absl::StrCat(this->committed)},
                     {"voters", absl::StrCat(this->membership().voters.size())}});
}

const MemberProgress *QuorumLog::handoverTarget() const
{
    const MemberProgress *best = nullptr;
    for (const QuorumMember &voter : this->membership().voters) {
        const auto found = this->progressByMember.find(keyOf(voter));
        if (found == this->progressByMember.end() || !this->answeredRecently(found->second))
            continue;
        const MemberProgress &progress = found->second;
        // An instance that leaves would hand over again.
        if (progress.matchIndex >= this->committed
            && (best == nullptr
                || std::make_tuple(!progress.leaveAskedAt, progress.matchIndex)
                       > std::make_tuple(!best->leaveAskedAt, best->matchIndex)))
            best = &progress;
    }
    return best;
}

absl::Status QuorumLog::handOverLeadership(TimePoint time)
{
    this->beginEvent(time);
    if (!this->isLeader())
        return absl::FailedPreconditionError("not the leader");
    if (this->handoverTarget() == nullptr)
        return absl::UnavailableError("no reachable voter has replicated all committed entries");
    if (!this->handoverLeaseEnd) {
        this->handoverLeaseEnd =
            std::max({this->currentTime, this->latestLeaseEnd, this->leaseEnd(this->currentTime)});
        this->emitEvent("quorum_handover_started",
                        {{"term", absl::StrCat(this->term())}, {"cause", "requested"}});
    }
    this->finishEvent();
    return absl::OkStatus();
}

void QuorumLog::advanceHandover()
{
    if (!this->handoverLeaseEnd || this->currentTime < *this->handoverLeaseEnd)
        return;
    if (this->currentTime >= *this->handoverLeaseEnd + this->settings.electionTimeoutMax) {
        this->becomeFollower(this->term(), "handover_ended");
        return;
    }
    const MemberProgress *target = this->handoverTarget();
    if (this->handoverSent || target == nullptr)
        return;
    this->handoverSent = true;
    QuorumTimeoutNow request;
    request.header = this->header(target->member.incarnation);
    this->hooks.send(target->member.peer.instance, request);
    this->emitEvent("quorum_handover_sent", {{"to", target->member.peer.instance.value}});
}

} // namespace rhubarbweir
