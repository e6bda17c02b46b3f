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
    // 0 when the sender does not know it; otherwise another incarnation ignores the message.
    std::uint64_t toIncarnation = 0;
    std::uint64_t term = 0;
};

enum class VotePhase {
    // Asks whether a vote would be given; changes nothing at the receiver.
    PreVote,
    Vote,
};

template<>
struct EnumNames<VotePhase>
{
    static constexpr std::string_view Names[] = {"pre_vote", "vote"};
};

// From the instance that bootstraps a cluster to all other initial voters.
struct QuorumBootstrapQuery
{
    QuorumHeader header;
};

struct QuorumBootstrapAnswer
{
    QuorumHeader header;
    // The instance is empty, was told to bootstrap, and now follows only the asking incarnation.
    bool promised = false;
    // The instance holds entries, or belongs to the cluster named in the header.
    bool hasState = false;
};

// Sent while an instance hears no leader: asks the leader to take it in.
struct QuorumJoin
{
    QuorumHeader header;
    QuorumPeer peer;
};

struct QuorumVoteRequest
{
    QuorumHeader header;
    VotePhase phase = VotePhase::PreVote;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    // The leader itself asked for this election, so voters need not wait for its lease.
    bool handover = false;
};

struct QuorumVoteAnswer
{
    QuorumHeader header;
    VotePhase phase = VotePhase::PreVote;
    // Term of the election that was asked for.
    std::uint64_t electionTerm = 0;
    bool granted = false;
};

struct QuorumAppend
{
    QuorumHeader header;
    // Raised with every message of the leader; the answer echoes it.
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
    // Accepted: all entries up to it are durable and equal the leader's.
    std::uint64_t matchIndex = 0;
    // Refused: where the leader should try next.
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
    // Bytes received without a gap.
    std::uint64_t nextOffset = 0;
};

// Planned change of the leader: the receiver starts an election at once.
struct QuorumTimeoutNow
{
    QuorumHeader header;
};

using QuorumMessage =
    std::variant<QuorumBootstrapQuery, QuorumBootstrapAnswer, QuorumJoin, QuorumVoteRequest,
                 QuorumVoteAnswer, QuorumAppend, QuorumAppendAnswer, QuorumSnapshotChunk,
                 QuorumSnapshotAnswer, QuorumTimeoutNow>;

} // namespace rhubarbweir
