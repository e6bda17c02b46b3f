// What a leader knows of one member, and what a follower gathered of a snapshot.
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
    // Durable at the member and equal to the leader's.
    std::uint64_t matchIndex = 0;
    std::uint64_t nextIndex = 1;
    // Whether nextIndex is confirmed: only then are appends pipelined.
    bool probing = true;
    // Last index of each append with entries on the way; at most maxInflightAppends.
    std::deque<std::uint64_t> inflight;
    // When the newest answered message was sent; the leader's lease rests on it.
    std::optional<TimePoint> answeredSince;
    // When the member last answered anything; at first when it became known.
    std::optional<TimePoint> heardAt;
    // Whether it answered since this leader knows it.
    bool answered = false;
    // Sequence number of the newest answered message.
    std::uint64_t answeredSequence = 0;
    // When an unanswered append or chunk is sent again.
    TimePoint resendAt;
    TimePoint heartbeatAt;
    // Index of the snapshot being sent; 0 for none.
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotOffset = 0;
    // The instance returned under another incarnation: this one is gone for good.
    bool superseded = false;
};

// Chunks of one snapshot received so far.
struct SnapshotAssembly
{
    std::uint64_t index = 0;
    std::uint64_t leaderTerm = 0;
    std::string bytes;
};

// A member as its leader sees it, for status displays.
struct MemberStatus
{
    QuorumMember member;
    bool voter = false;
    bool reachable = false;
    std::uint64_t matchIndex = 0;
};

} // namespace rhubarbweir
