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

#include "rhubarbweir/coordination/quorum_entries.hpp"
#include "rhubarbweir/coordination/quorum_persistence.hpp"
#include "rhubarbweir/coordination/quorum_progress.hpp"
#include "rhubarbweir/coordination/quorum_settings.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
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
    // Takes a member in without a vote; lifts an earlier removal.
    // Errors: FailedPrecondition when not the leader, Unavailable while another change is running,
    // AlreadyExists for a member.
    absl::Status addLearner(const QuorumMember &member, TimePoint now);
    // Removes a voter; a learner that caught up takes its place.
    // Errors: as addLearner; NotFound for no voter, FailedPrecondition for the last voter.
    absl::Status removeVoter(const InstanceId &instance, TimePoint now);
    // Hands the leadership to the voter with the most entries. The lease ends at once.
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
    // quorum_log.cpp
    QuorumHeader header(std::uint64_t toIncarnation) const;
    bool accepts(const InstanceId &from, const QuorumHeader &received, TimePoint now);
    void dispatch(const InstanceId &from, const QuorumMessage &message, TimePoint now);
    void sendAfterSync(const InstanceId &to, QuorumMessage message);
    void pumpPersistence();
    void emit(const std::string &name, std::vector<QuorumEventField> fields) const;
    const QuorumMember *selfMember() const;
    bool isVoter() const;
    const QuorumMember *findMember(const InstanceId &instance, std::uint64_t incarnation) const;
    void applyCommitted();

    // quorum_election.cpp
    Duration leaseDuration() const;
    void resetElectionTimer(TimePoint now);
    void becomeFollower(std::uint64_t newTerm, const std::string &cause, TimePoint now);
    void startPreVote(TimePoint now);
    void startElection(bool handover, TimePoint now);
    void requestVotes(VotePhase phase, std::uint64_t electionTerm, bool handover);
    void countVotes(TimePoint now);
    void becomeLeader(TimePoint now);
    bool heardLeaderRecently(TimePoint now) const;
    bool logIsCurrent(std::uint64_t otherIndex, std::uint64_t otherTerm) const;
    void handle(const InstanceId &from, const QuorumVoteRequest &request, TimePoint now);
    void handle(const InstanceId &from, const QuorumVoteAnswer &answer, TimePoint now);
    void handle(const InstanceId &from, const QuorumTimeoutNow &request, TimePoint now);
    void checkQuorum(TimePoint now);

    // quorum_replication.cpp
    void appendLocally(EntryKind kind, std::string payload, const QuorumMembership &change);
    void replicate(TimePoint now);
    void sendAppends(MemberProgress &progress, bool heartbeat, TimePoint now);
    void sendAppend(MemberProgress &progress, std::vector<QuorumEntry> batch, TimePoint now);
    std::uint64_t nextSequence(TimePoint now);
    MemberProgress *noteAnswer(const InstanceId &from, const QuorumHeader &received,
                               std::uint64_t sequence, TimePoint now);
    void handle(const InstanceId &from, const QuorumAppend &append, TimePoint now);
    void handle(const InstanceId &from, const QuorumAppendAnswer &answer, TimePoint now);
    std::uint64_t storeEntries(const QuorumAppend &append, TimePoint now);
    void answerAppend(const InstanceId &to, const QuorumAppend &append, bool accepted,
                      std::uint64_t index);
    void followLeader(const InstanceId &from, const QuorumHeader &received, TimePoint now);
    void advanceCommit(TimePoint now);
    void onDurable(std::uint64_t index, std::uint64_t entryTerm, TimePoint now);

    // quorum_snapshots.cpp
    void maybeSnapshot();
    void sendChunk(MemberProgress &progress, TimePoint now);
    void handle(const InstanceId &from, const QuorumSnapshotChunk &chunk, TimePoint now);
    void handle(const InstanceId &from, const QuorumSnapshotAnswer &answer, TimePoint now);
    void installSnapshot(const QuorumSnapshot &received);

    // quorum_membership.cpp
    void syncProgress(TimePoint now);
    bool changeRunning() const;
    bool mayChangeMembership() const;
    void proposeMembership(const QuorumMembership &next, const std::string &event,
                           std::vector<QuorumEventField> fields, TimePoint now);
    void handle(const InstanceId &from, const QuorumJoin &join, TimePoint now);
    void maintainMembership(TimePoint now);
    bool majorityAlive(TimePoint now) const;
    bool caughtUp(const MemberProgress &progress, TimePoint now) const;
    const MemberProgress *lostVoter(TimePoint now) const;
    const MemberProgress *bestLearner(TimePoint now) const;
    bool isConfigured(const InstanceId &instance) const;

    // quorum_bootstrap.cpp
    bool isBootstrapper() const;
    void drawIncarnation();
    void advanceUnjoined(TimePoint now);
    void sendJoins(TimePoint now);
    void handle(const InstanceId &from, const QuorumBootstrapQuery &query, TimePoint now);
    void handle(const InstanceId &from, const QuorumBootstrapAnswer &answer, TimePoint now);
    void bootstrapCluster(TimePoint now);
    bool acceptsCluster(const InstanceId &from, const QuorumHeader &received);

    QuorumSettings settings;
    QuorumHooks hooks;
    std::mt19937_64 random;

    QuorumRole currentRole = QuorumRole::Unjoined;
    QuorumHardState hardState;
    QuorumEntries entries;
    QuorumPersistence persistence;
    std::optional<QuorumSnapshot> snapshot;

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
    std::set<std::pair<InstanceId, std::uint64_t>> votes;

    // Leader: every member but itself, by identity.
    std::map<std::pair<InstanceId, std::uint64_t>, MemberProgress> progresses;
    // Leader: when each sequence number was sent; only those that can still extend the lease.
    std::map<std::uint64_t, TimePoint> sentAt;
    std::uint64_t sequence = 0;
    std::uint64_t firstIndexOfTerm = 0;
    std::size_t uncommittedBytes = 0;
    TimePoint leadershipStart;
    TimePoint quorumCheckAt;
    // Set once the leader asked another to take over: it holds no lease in this term any more.
    bool handingOver = false;

    // Bootstrapper: incarnations that promised to follow this one.
    std::map<InstanceId, std::uint64_t> promises;
};

} // namespace rhubarbweir
