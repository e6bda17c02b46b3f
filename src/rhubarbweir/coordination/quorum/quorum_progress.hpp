// Replication progress of a member as tracked by the leader, and snapshots being received.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_entry.hpp"
#include "rhubarbweir/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace rhubarbweir {

struct MemberProgress
{
    QuorumMember member;
    // All entries up to this index are durable at the member and identical to the leader's.
    std::uint64_t matchIndex = 0;
    std::uint64_t nextIndex = 1;
    // True while nextIndex is unconfirmed. Appends are pipelined only once it is confirmed.
    bool probing = true;
    // Last index of each unacknowledged append that has entries; at most maxInflightAppends.
    std::deque<std::uint64_t> inflight;
    // Each round ends once the member holds what the leader's log held at its start. Everything up
    // to the start of the last one that ended is at the member; empty before the first.
    std::uint64_t roundEnd = 0;
    TimePoint roundStartedAt;
    std::optional<TimePoint> currentAsOf;
    // When the newest answered message was sent; the basis of the leader's lease.
    std::optional<TimePoint> newestAnsweredSentAt;
    // When the last answer arrived; initially, when tracking of the member began.
    std::optional<TimePoint> lastAnswerAt;
    // Whether the member has answered since tracking of it began.
    bool answered = false;
    // Sequence number of the newest answered message.
    std::uint64_t answeredSequence = 0;
    // When an unanswered append or snapshot chunk is sent again.
    TimePoint resendAt;
    TimePoint heartbeatAt;
    // Index of the snapshot being sent; 0 for none.
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotOffset = 0;
    // The instance has returned under another incarnation, so this one will not come back.
    bool superseded = false;
    // When the instance last asked to leave; empty once it has answered again after a restart.
    std::optional<TimePoint> leaveAskedAt;
};

// The part of a snapshot received so far.
struct IncomingSnapshot
{
    std::uint64_t index = 0;
    std::uint64_t leaderTerm = 0;
    std::string bytes;
};

// A member from the leader's point of view, for status reports.
struct MemberStatus
{
    QuorumMember member;
    bool voter = false;
    bool reachable = false;
    std::uint64_t matchIndex = 0;
};

} // namespace rhubarbweir
