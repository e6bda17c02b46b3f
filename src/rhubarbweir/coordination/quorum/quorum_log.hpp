// A replicated log based on Raft: an entry is committed once a majority of the voters has it on
// disk, and all instances apply committed entries in the same order.
//
// QuorumLog uses no clock, socket or file itself. Its host calls the event functions with the
// current time of one monotonic clock, and calls advance() at nextDeadline(). The same events and
// seed always produce the same behavior.
//
// Extensions to basic Raft: pre-vote; leader leases, because voters refuse votes within
// electionTimeoutMin of a message from the leader; a leader steps down when no majority answers;
// appends are batched and pipelined; snapshots are sent in chunks; membership changes one member
// at a time; an instance that lost its data folder returns as a different member
// (quorum_bootstrap.cpp).
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_entries.hpp"
#include "rhubarbweir/coordination/quorum/quorum_persistence.hpp"
#include "rhubarbweir/coordination/quorum/quorum_progress.hpp"
#include "rhubarbweir/coordination/quorum/quorum_settings.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbweir {

enum class QuorumRole {
    // Empty and in no cluster: waits to be added as a learner, or bootstraps a cluster.
    Unjoined,
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    // A write to disk failed or the log contradicts the leader's: the instance neither votes nor
    // answers until it is restarted.
    Stopped,
};

template<>
struct EnumNames<QuorumRole>
{
    static constexpr std::string_view Names[] = {"unjoined",  "follower", "pre_candidate",
                                                 "candidate", "leader",   "stopped"};
};

class QuorumLog
{
public:
    // `random` needs a different seed on each start, as incarnations are generated from it.
    QuorumLog(QuorumSettings settings, QuorumHooks hooks, std::mt19937_64 random);

    // Has to be called first. A damaged data folder has to be emptied before, and an empty
    // RecoveredState passed.
    void start(RecoveredState recovered, TimePoint now);
    void receive(const InstanceId &from, const QuorumMessage &message, TimePoint now);
    void advance(TimePoint now);
    // The batch with this token and all earlier ones are synced to disk.
    void persisted(std::uint64_t token, TimePoint now);
    // The batch could not be written or synced. The instance stops until it is restarted.
    void persistFailed(std::uint64_t token, TimePoint now);

    // Appends a payload at the leader and returns its index. The entry is committed when `apply` is
    // called for the index in the same term; until then a later leader may discard it.
    // Errors: FailedPrecondition if this instance is not the leader, InvalidArgument if the payload
    // exceeds maxPayloadBytes, ResourceExhausted if uncommitted payloads exceed
    // maxUncommittedBytes.
    absl::StatusOr<std::uint64_t> propose(std::string payload, TimePoint now);
    // Allows an instance to join as a learner, including one that was removed before. It becomes a
    // learner when it asks to join, and is promoted when a voter is missing.
    // Errors: FailedPrecondition if this instance is not the leader, Unavailable while another
    // membership change is in progress, AlreadyExists if the instance is a member.
    absl::Status addLearner(const QuorumPeer &peer, TimePoint now);
    // Removes a voter until it is added again; an up-to-date learner takes its place.
    // Errors: FailedPrecondition and Unavailable as for addLearner; Unavailable also if no majority
    // of the remaining voters is reachable; NotFound if the instance is not a voter;
    // FailedPrecondition also for the last voter and for the leader, which has to hand over first.
    absl::Status removeVoter(const InstanceId &instance, TimePoint now);
    // Instances to ask for the leader, besides those that the settings and the log name.
    void setSeeds(std::vector<QuorumPeer> peers) { this->seeds = std::move(peers); }
    // Transfers leadership to the most up-to-date voter. The leader stops extending its lease and
    // accepting proposals; once the lease has ended, the other voter starts an election.
    // Errors: FailedPrecondition if this instance is not the leader, Unavailable if no reachable
    // voter has all committed entries.
    absl::Status handOverLeadership(TimePoint now);

    // Gives up the membership of this instance before a planned stop, so that its vote does not
    // count as lost: a learner takes its vote, and a leader hands over. Progress is visible through
    // hasLeft(). The instance votes and replicates until then; a restart joins again.
    void leave(TimePoint now);
    // Whether the leader has confirmed that this instance may stop.
    bool hasLeft() const { return this->leaveStep == LeaveStep::Left; }

    QuorumRole role() const { return this->currentRole; }
    bool isLeader() const { return this->currentRole == QuorumRole::Leader; }
    std::uint64_t term() const { return this->hardState.term; }
    std::uint64_t incarnation() const { return this->hardState.incarnation; }
    // The leader known to this instance, if any.
    std::optional<QuorumPeer> leader() const;
    // Multiplies the time after which this instance gives up a silent leader, or as the leader a
    // silent majority. The leader's lease and the votes stay as they are, so members may differ.
    void setElectionPatience(unsigned factor) { this->electionPatience = std::max(1U, factor); }
    // Whether a leader was heard within an election timeout before the last event.
    bool hasRecentLeader() const;
    std::uint64_t commitIndex() const { return this->committed; }
    std::uint64_t appliedIndex() const { return this->applied; }
    std::uint64_t lastIndex() const { return this->entries.lastIndex(); }
    const QuorumMembership &membership() const;
    // At the leader, one entry per member, including itself; empty elsewhere.
    std::vector<MemberStatus> memberStatuses(TimePoint now) const;

    // Whether this instance is the leader, no other leader can exist at `now`, and every entry
    // committed by earlier leaders has been applied here.
    bool leaseValid(TimePoint now) const { return now < this->leaseEnd(now); }
    // End of this instance's leader lease; `now` or earlier if it holds none.
    TimePoint leaseEnd(TimePoint now) const;
    // When this instance last became leader.
    TimePoint lastLeadershipStart() const { return this->leadershipStart; }
    // When advance() has to be called at the latest.
    TimePoint nextDeadline() const;

private:
    using MemberKey = std::pair<InstanceId, std::uint64_t>;

    enum class LeaveStep {
        Member,
        // Asks the leader to be removed.
        Leaving,
        Left,
    };

    // quorum_log.cpp
    void beginEvent(TimePoint time);
    void finishEvent();
    QuorumHeader header(std::uint64_t toIncarnation) const;
    bool accepts(const InstanceId &from, const QuorumMessage &message,
                 const QuorumHeader &received) const;
    void adoptTerm(const QuorumMessage &message, const QuorumHeader &received);
    void sendAfterSync(const InstanceId &to, QuorumMessage message);
    void emitEvent(const std::string &name, const std::vector<QuorumEventField> &fields) const;
    void stop(const std::string &cause);
    bool isVoter() const;
    std::vector<QuorumPeer> knownPeers() const;
    QuorumPeer findPeer(const InstanceId &instance) const;
    void saveHardState();
    void applyCommitted();
    static MemberKey keyOf(const QuorumMember &member);
    MemberKey selfKey() const;

    // quorum_election.cpp
    Duration leaseDuration() const;
    void resetElectionTimer();
    void becomeFollower(std::uint64_t newTerm, const std::string &cause);
    void advanceElection();
    void startPreVote();
    void startElection(bool handover);
    void requestVotes(VotePhase phase, std::uint64_t electionTerm, bool handover);
    void requestVote(const QuorumMember &voter, QuorumVoteRequest request);
    std::size_t countVotersInFavour() const;
    bool hasMajorityOfVotes() const;
    void countVotes();
    void becomeLeader();
    bool leaderMayHoldLease() const;
    bool isLogUpToDate(std::uint64_t otherIndex, std::uint64_t otherTerm) const;
    bool grantPreVote(const QuorumVoteRequest &request) const;
    bool grantVote(const InstanceId &from, const QuorumVoteRequest &request);
    void handle(const InstanceId &from, const QuorumVoteRequest &request);
    void handle(const InstanceId &from, const QuorumVoteAnswer &answer);
    void handle(const InstanceId &from, const QuorumTimeoutNow &request);
    std::optional<TimePoint> majorityTime(std::optional<TimePoint> MemberProgress::*time,
                                          TimePoint own,
                                          const std::vector<QuorumMember> &voters) const;
    void checkQuorum();
    void reportCommitBlocked(const std::vector<QuorumMember> &former);
    const MemberProgress *handoverTarget() const;
    void advanceHandover();

    // quorum_replication.cpp
    std::uint64_t appendLocally(EntryKind kind, std::string payload,
                                const QuorumMembership &change);
    void replicate();
    void advanceLeader();
    std::uint64_t replicatedBy(const std::vector<QuorumMember> &voters) const;
    void sendHeartbeat(MemberProgress &progress);
    void sendEntries(MemberProgress &progress);
    void sendAppend(MemberProgress &progress, std::uint64_t previousIndex,
                    std::vector<QuorumEntry> batch);
    std::uint64_t nextSequence();
    MemberProgress *recordAnswer(const InstanceId &from, const QuorumHeader &received,
                                 std::uint64_t answered);
    void handle(const InstanceId &from, const QuorumAppend &append);
    void handle(const InstanceId &from, const QuorumAppendAnswer &answer);
    void handleAccepted(MemberProgress &progress, std::uint64_t matched);
    void handleRefused(MemberProgress &progress, std::uint64_t retry);
    bool matchesPrevious(const QuorumAppend &append) const;
    std::uint64_t retryIndex(const QuorumAppend &append) const;
    bool storeEntries(const QuorumAppend &append);
    void answerAppend(const InstanceId &to, const QuorumHeader &received, std::uint64_t answered,
                      bool accepted, std::uint64_t index);
    void followLeader(const InstanceId &from, const QuorumHeader &received);
    void advanceCommit();
    void commitUpTo(std::uint64_t index);
    void onDurable(std::uint64_t index, std::uint64_t entryTerm);

    // quorum_snapshots.cpp
    void snapshotIfDue();
    void sendChunk(MemberProgress &progress);
    void handle(const InstanceId &from, const QuorumSnapshotChunk &chunk);
    void handle(const InstanceId &from, const QuorumSnapshotAnswer &answer);
    void answerChunk(const InstanceId &to, const QuorumSnapshotChunk &chunk,
                     std::uint64_t nextOffset);
    void installSnapshot(QuorumSnapshot received);

    // quorum_membership.cpp
    void rebuildProgress();
    absl::Status checkChangeAllowed() const;
    absl::Status checkJoin(const InstanceId &from, const QuorumJoin &join) const;
    void proposeMembership(const QuorumMembership &next, const std::string &event,
                           std::vector<QuorumEventField> fields);
    void handle(const InstanceId &from, const QuorumJoin &join);
    bool redirectJoin(const InstanceId &joining, const QuorumHeader &received);
    void maintainMembership();
    bool answeredRecently(const MemberProgress &progress) const;
    bool isUpToDate(const MemberProgress &progress) const;
    bool isReachable(const QuorumMember &member) const;
    bool isMajorityReachable(const std::vector<QuorumMember> &voters) const;
    bool majorityWithout(const QuorumMember &lost) const;
    bool majorityWith(const QuorumMember &learner) const;
    std::size_t maxVoters() const;
    Duration silenceLimit(const MemberProgress &voter) const;
    void recordSpareDrop(const QuorumMember &voter);
    const MemberProgress *leastAdvancedVoter() const;
    const MemberProgress *findLostVoter() const;
    const MemberProgress *bestReplacement(const InstanceId &vacating) const;
    void dropVoter(const QuorumMember &lost, const std::string &cause);
    void promoteLearner(const QuorumMember &learner, const std::string &cause);
    void admitLearner(const QuorumMember &member, const std::string &cause);

    // quorum_lost_folders.cpp
    const std::vector<QuorumMember> &formerVoters() const;
    const std::vector<QuorumMember> *undecidedFormerVoters() const;
    void confirmVoters();
    void recordReturn(const QuorumJoin &join);
    std::vector<QuorumMember> returnedVoters() const;
    bool toleratesSuperseded(const std::vector<QuorumMember> &voters) const;
    std::size_t requiredOf(const std::vector<QuorumMember> &voters) const;
    bool isAssistedMajority() const;

    // quorum_leaving.cpp
    void advanceLeaving();
    bool hasLearnerFor(const InstanceId &leaving) const;
    void handle(const InstanceId &from, const QuorumLeave &leave);
    void handle(const InstanceId &from, const QuorumLeaveAnswer &answer);
    void answerLeave(const InstanceId &to, const QuorumHeader &received, bool removed);

    // quorum_bootstrap.cpp
    bool mayBootstrap() const;
    bool isBootstrapper() const;
    void generateIncarnation();
    void forgetUnwrittenCluster();
    void advanceJoining();
    void reportJoining(const std::vector<QuorumPeer> &asked);
    void reportBootstrap() const;
    void observerAnswered(const InstanceId &from, const QuorumBootstrapAnswer &answer);
    void handle(const InstanceId &from, const QuorumJoinRedirect &redirect);
    QuorumJoin joinRequest() const;
    void askToJoin(const InstanceId &member);
    void handle(const InstanceId &from, const QuorumBootstrapQuery &query);
    void handle(const InstanceId &from, const QuorumBootstrapAnswer &answer);
    void bootstrapIfPromised();
    void answerNonMember(const InstanceId &to, const QuorumHeader &received);
    bool acceptsCluster(const QuorumHeader &received) const;
    void adoptCluster(std::uint64_t clusterId);

    QuorumSettings settings;
    // See setElectionPatience(); at least 1.
    unsigned electionPatience = 1;
    QuorumHooks hooks;
    std::mt19937_64 random;

    std::vector<QuorumPeer> seeds;

    QuorumRole currentRole = QuorumRole::Unjoined;
    QuorumHardState hardState;
    QuorumEntries entries;
    QuorumPersistence persistence;
    // The latest snapshot created or installed here.
    std::optional<QuorumSnapshot> snapshot;
    // Time of the event being processed.
    TimePoint currentTime;

    // applied <= committed <= lastIndex(); durable <= lastIndex().
    std::uint64_t committed = 0;
    std::uint64_t applied = 0;
    std::uint64_t durable = 0;

    std::optional<QuorumPeer> knownLeader;
    // When the last message from a leader arrived. Votes are refused until electionTimeoutMin
    // later.
    TimePoint lastLeaderContactAt;
    TimePoint electionDeadline;
    TimePoint joinDeadline;
    // A member that is not among the known peers but was named by one, or sent a message.
    InstanceId joinContact;
    // Asked at once when first named; later ones wait for the next round, so that members that name
    // each other cause no loop.
    bool joinContactAsked = false;
    // When an instance that is still not a member reports it next.
    TimePoint joinReportAt;
    std::optional<IncomingSnapshot> incomingSnapshot;

    // Candidate: members that granted their vote in the current phase.
    std::set<MemberKey> votes;
    // Candidate: whether a returned voter may complete the majority in the current phase.
    bool isAssistedElection = false;
    // Latest incarnation under which the instance of a voter asked to join.
    std::map<InstanceId, std::uint64_t> joiningIncarnations;

    // Leader: replication progress of all other members.
    std::map<MemberKey, MemberProgress> progressByMember;
    // Leader: spare voters that it dropped, and until when they are not dropped early again.
    std::map<MemberKey, TimePoint> spareDrops;
    // Leader: send time by sequence number, limited to those that can still extend the lease.
    std::map<std::uint64_t, TimePoint> sentAt;
    std::uint64_t sequence = 0;
    std::uint64_t firstIndexOfTerm = 0;
    // Leader: whether the last report said that no majority of the former voters answers.
    bool isCommitBlocked = false;
    std::size_t uncommittedBytes = 0;
    // Payload bytes written to the log since the last snapshot, also of entries removed meanwhile.
    std::size_t loggedBytes = 0;
    TimePoint leadershipStart;
    // Leader: the latest end that its lease had in this term.
    TimePoint latestLeaseEnd;
    // Set during a leadership handover: the lease ends at this time and is not extended again in
    // this term.
    std::optional<TimePoint> handoverLeaseEnd;
    bool handoverSent = false;
    LeaveStep leaveStep = LeaveStep::Member;
    // When a leaving instance asks again, and whom: the leader heard last, or the one it was
    // referred to.
    TimePoint leaveRequestAt;
    InstanceId leaveContact;

    // Bootstrapping instance: incarnations that promised to join its cluster.
    std::map<InstanceId, std::uint64_t> promises;
    // Bootstrapping instance: initial voters that never have a data folder.
    std::set<InstanceId> observers;
    // Promises replaced by a newer one since the process started. Delayed queries for them get no
    // promise.
    std::set<std::uint64_t> withdrawnPromises;

    // Guard against reentrant calls from the hooks.
    bool submittingBatches = false;
    bool applying = false;
};

} // namespace rhubarbweir
