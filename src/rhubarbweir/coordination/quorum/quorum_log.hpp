// A replicated log of the Raft family: entries are committed once a majority of the voters has
// them on disk, in the same order on every instance.
//
// The object knows no clock, socket or file. Its host calls the event functions with the current
// time of one monotonic clock, and calls advance() at nextDeadline(). Given the same events and
// seed it does the same things.
//
// Besides the usual election and replication: pre-vote; voters that heard a leader within the
// least election timeout refuse votes, which gives the leader a lease; a leader without an
// answering majority steps down; appends are batched and pipelined; snapshots travel in chunks;
// members change one at a time; an instance that lost its folder returns as another member
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
    // Empty and in no cluster; waits to be taken in, or bootstraps.
    Unjoined,
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    // The disk failed: the instance neither votes nor answers until it is started again.
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
    // `random` must be seeded differently on each start: incarnations are drawn from it.
    QuorumLog(QuorumSettings settings, QuorumHooks hooks, std::mt19937_64 random);

    // First call. For a damaged folder, empty it first and hand in an empty RecoveredState.
    void start(const RecoveredState &recovered, TimePoint now);
    void receive(const InstanceId &from, const QuorumMessage &message, TimePoint now);
    void advance(TimePoint now);
    // The batch with this token, and all before it, is synced.
    void persisted(std::uint64_t token, TimePoint now);
    // The batch could not be written or synced. The instance stops for good.
    void persistFailed(std::uint64_t token, TimePoint now);

    // Appends a payload at the leader and returns its index. The entry is committed when `apply` is
    // called for the index in the same term; a later leader may drop it until then.
    // Errors: FailedPrecondition when not the leader, InvalidArgument for a payload that is too
    // large, ResourceExhausted when too much waits for a commit.
    absl::StatusOr<std::uint64_t> propose(std::string payload, TimePoint now);
    // Lets an instance join without a vote, also one that was removed. It becomes a learner when it
    // asks to join, and takes the place of a voter when one is missing.
    // Errors: FailedPrecondition when not the leader, Unavailable while another change is running,
    // AlreadyExists for a member.
    absl::Status addLearner(const QuorumPeer &peer, TimePoint now);
    // Removes a voter for good; a learner that caught up takes its place.
    // Errors: as addLearner; Unavailable too when the others have no living majority; NotFound for
    // no voter, FailedPrecondition for the last voter or the leader itself, which has to hand over
    // first.
    absl::Status removeVoter(const InstanceId &instance, TimePoint now);
    // Hands the leadership to the voter with the most entries: the lease is no longer extended, no
    // proposal is taken, and once the lease has ended the other voter starts an election.
    // Errors: FailedPrecondition when not the leader, Unavailable when no voter has caught up.
    absl::Status handOverLeadership(TimePoint now);

    QuorumRole role() const { return this->currentRole; }
    bool isLeader() const { return this->currentRole == QuorumRole::Leader; }
    std::uint64_t term() const { return this->hardState.term; }
    std::uint64_t incarnation() const { return this->hardState.incarnation; }
    // The leader as far as this instance knows.
    std::optional<QuorumPeer> leader() const;
    std::uint64_t commitIndex() const { return this->committed; }
    std::uint64_t appliedIndex() const { return this->applied; }
    std::uint64_t lastIndex() const { return this->entries.lastIndex(); }
    const QuorumMembership &membership() const;
    // For a leader: one row a member, itself included.
    std::vector<MemberStatus> memberStatuses(TimePoint now) const;

    // Whether no other leader can exist now, and all that earlier leaders committed is applied
    // here.
    bool leaseValid(TimePoint now) const { return now < this->leaseEnd(now); }
    // End of the leader's lease; `now` or earlier when it holds none.
    TimePoint leaseEnd(TimePoint now) const;
    // When this instance last became leader.
    TimePoint lastLeadershipStart() const { return this->leadershipStart; }
    // When advance() is due.
    TimePoint nextDeadline() const;

private:
    using MemberKey = std::pair<InstanceId, std::uint64_t>;

    // quorum_log.cpp
    void enter(TimePoint time);
    void leave();
    QuorumHeader header(std::uint64_t toIncarnation) const;
    bool accepts(const InstanceId &from, const QuorumMessage &message,
                 const QuorumHeader &received) const;
    void adoptTerm(const QuorumMessage &message, const QuorumHeader &received);
    void sendAfterSync(const InstanceId &to, QuorumMessage message);
    void emit(const std::string &name, const std::vector<QuorumEventField> &fields) const;
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
    bool wonVotes() const;
    void countVotes();
    void becomeLeader();
    bool leaderMayHoldLease() const;
    bool logIsCurrent(std::uint64_t otherIndex, std::uint64_t otherTerm) const;
    bool grantPreVote(const QuorumVoteRequest &request) const;
    bool grantVote(const InstanceId &from, const QuorumVoteRequest &request);
    void handle(const InstanceId &from, const QuorumVoteRequest &request);
    void handle(const InstanceId &from, const QuorumVoteAnswer &answer);
    void handle(const InstanceId &from, const QuorumTimeoutNow &request);
    std::optional<TimePoint> majorityTime(std::optional<TimePoint> MemberProgress::*time,
                                          TimePoint own) const;
    void checkQuorum();
    const MemberProgress *handoverTarget() const;
    void advanceHandover();

    // quorum_replication.cpp
    std::uint64_t appendLocally(EntryKind kind, std::string payload,
                                const QuorumMembership &change);
    void replicate();
    void advanceLeader();
    void sendHeartbeat(MemberProgress &progress);
    void sendEntries(MemberProgress &progress);
    void sendAppend(MemberProgress &progress, std::uint64_t previousIndex,
                    std::vector<QuorumEntry> batch);
    std::uint64_t nextSequence();
    MemberProgress *noteAnswer(const InstanceId &from, const QuorumHeader &received,
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
    absl::Status checkChange() const;
    void proposeMembership(const QuorumMembership &next, const std::string &event,
                           std::vector<QuorumEventField> fields);
    void handle(const InstanceId &from, const QuorumJoin &join);
    void maintainMembership();
    bool heardRecently(const MemberProgress &progress) const;
    bool majorityWithout(const QuorumMember &lost) const;
    const MemberProgress *lostVoter() const;
    const MemberProgress *bestLearner(const InstanceId &freed) const;
    void replaceVoter(const QuorumMember &lost, const std::string &cause);
    void promoteLearner(const QuorumMember &learner);

    // quorum_bootstrap.cpp
    bool isBootstrapper() const;
    void drawIncarnation();
    void advanceJoining();
    void handle(const InstanceId &from, const QuorumBootstrapQuery &query);
    void handle(const InstanceId &from, const QuorumBootstrapAnswer &answer);
    void bootstrapIfPromised();
    void answerOutsider(const InstanceId &to, const QuorumHeader &received);
    bool acceptsCluster(const QuorumHeader &received) const;
    void bindCluster(std::uint64_t clusterId);

    QuorumSettings settings;
    QuorumHooks hooks;
    std::mt19937_64 random;

    QuorumRole currentRole = QuorumRole::Unjoined;
    QuorumHardState hardState;
    QuorumEntries entries;
    QuorumPersistence persistence;
    // The newest one made or installed here.
    std::optional<QuorumSnapshot> snapshot;
    // Time of the running event.
    TimePoint currentTime;

    // applied <= committed <= lastIndex(); durable <= lastIndex().
    std::uint64_t committed = 0;
    std::uint64_t applied = 0;
    std::uint64_t durable = 0;

    std::optional<QuorumPeer> knownLeader;
    // When a leader's message last arrived; votes are refused within electionTimeoutMin of it.
    TimePoint heardLeaderAt;
    TimePoint electionDeadline;
    TimePoint joinDeadline;
    std::optional<SnapshotAssembly> assembly;

    // Candidate: instances (as members) that granted the running phase.
    std::set<MemberKey> votes;

    // Leader: every member but itself, by identity.
    std::map<MemberKey, MemberProgress> progresses;
    // Leader: when each sequence number was sent; only those that can still extend the lease.
    std::map<std::uint64_t, TimePoint> sentAt;
    std::uint64_t sequence = 0;
    std::uint64_t firstIndexOfTerm = 0;
    std::size_t uncommittedBytes = 0;
    TimePoint leadershipStart;
    // Set while the leader hands over: its lease ends here and is never extended in this term.
    std::optional<TimePoint> handoverLeaseEnd;
    bool handoverSent = false;

    // Bootstrapper: incarnations that promised to follow this one.
    std::map<InstanceId, std::uint64_t> promises;
    // Promises given up for a newer one in this process's life: late queries of those are ignored.
    std::set<std::uint64_t> formerPromises;

    // Guards against hooks that call back into the log.
    bool handingOutBatches = false;
    bool applying = false;
};

} // namespace rhubarbweir
