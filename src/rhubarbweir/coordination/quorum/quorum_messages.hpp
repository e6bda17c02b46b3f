// Messages between the instances that replicate the quorum log.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_entry.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace rhubarbweir {

// Part of every quorum message.
struct QuorumHeader
{
    // 0 while the sender belongs to no cluster.
    std::uint64_t clusterId = 0;
    std::uint64_t fromIncarnation = 0;
    // 0 if unknown to the sender; otherwise any other incarnation ignores the message.
    std::uint64_t toIncarnation = 0;
    std::uint64_t term = 0;
};

enum class VotePhase {
    // Asks whether the receiver would grant a vote, without changing its state.
    PreVote,
    Vote,
};

template<>
struct EnumNames<VotePhase>
{
    static constexpr std::string_view Names[] = {"pre_vote", "vote"};
};

// Sent by the bootstrapping instance to all other initial voters. One without a data folder answers
// QuorumJoin instead.
struct QuorumBootstrapQuery
{
    QuorumHeader header;
};

struct QuorumBootstrapAnswer
{
    QuorumHeader header;
    // The instance is empty, is configured to bootstrap, and joins only the cluster of the
    // incarnation that asked.
    bool promised = false;
    // The instance holds entries, or belongs to the cluster named in the header.
    bool hasState = false;
    // The instance never has a data folder, so it cannot vote; it knows no leader. With `promised`
    // it names the receiver as the founder of the cluster.
    bool isObserver = false;
};

// Sent by an instance that has no contact with a leader; asks the leader to add it as a learner.
struct QuorumJoin
{
    QuorumHeader header;
    QuorumPeer peer;
    // The instance is empty and may found a cluster; see QuorumSettings::bootstrap.
    bool mayBootstrap = false;
};

// Answer to QuorumJoin of an instance that is not the leader and knows who is.
struct QuorumJoinRedirect
{
    QuorumHeader header;
    QuorumPeer leader;
};

struct QuorumVoteRequest
{
    QuorumHeader header;
    VotePhase phase = VotePhase::PreVote;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    // The leader requested this election after its lease ended, so voters grant their vote without
    // waiting for that lease.
    bool handover = false;
};

struct QuorumVoteAnswer
{
    QuorumHeader header;
    VotePhase phase = VotePhase::PreVote;
    // Term of the requested election.
    std::uint64_t electionTerm = 0;
    bool granted = false;
};

struct QuorumAppend
{
    QuorumHeader header;
    // Increases with every message of the leader; echoed in the answer.
    std::uint64_t sequence = 0;
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commitIndex = 0;
    std::vector<QuorumEntry> entries;
};

struct QuorumAppendAnswer
{
    QuorumHeader header;
    std::uint64_t sequence = 0;
    bool accepted = false;
    // If accepted: all entries up to this index are durable and identical to the leader's.
    std::uint64_t matchIndex = 0;
    // If refused: the index from which the leader should try next.
    std::uint64_t nextIndex = 0;
};

struct QuorumSnapshotChunk
{
    QuorumHeader header;
    std::uint64_t sequence = 0;
    std::uint64_t index = 0;
    std::uint64_t indexTerm = 0;
    QuorumMembership membership;
    std::uint64_t offset = 0;
    OpaqueBytes bytes;
    bool last = false;
};

struct QuorumSnapshotAnswer
{
    QuorumHeader header;
    std::uint64_t sequence = 0;
    std::uint64_t index = 0;
    // Number of contiguous bytes received so far.
    std::uint64_t nextOffset = 0;
};

// Leadership handover: the receiver starts an election immediately.
struct QuorumTimeoutNow
{
    QuorumHeader header;
};

// Sent to the leader by an instance that is about to stop; repeated until it is answered.
struct QuorumLeave
{
    QuorumHeader header;
};

// Answer to QuorumLeave once the sender may stop.
struct QuorumLeaveAnswer
{
    QuorumHeader header;
    // The sender is no member any more. Otherwise no other instance can take its vote.
    bool removed = false;
};

using QuorumMessage =
    std::variant<QuorumBootstrapQuery, QuorumBootstrapAnswer, QuorumJoin, QuorumVoteRequest,
                 QuorumVoteAnswer, QuorumAppend, QuorumAppendAnswer, QuorumSnapshotChunk,
                 QuorumSnapshotAnswer, QuorumTimeoutNow, QuorumJoinRedirect, QuorumLeave,
                 QuorumLeaveAnswer>;

} // namespace rhubarbweir
