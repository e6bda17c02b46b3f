// Replication between stand-in databases: what the primary sends, what a replica accepts.
#pragma once

#include "programs/standin/replicated_log.hpp"
#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rhubarbweir {

// Result of offering entries to a replica's log.
struct ExtendResult
{
    bool accepted = false;
    // As ReplicateAnswer::held.
    LogPosition held;
    // Entries after this position are new since the call.
    std::uint64_t unchangedThrough = 0;
    // Whether held entries were dropped.
    bool hasTruncated = false;
};

// Puts `entries` after `previous`, dropping a diverged tail; refuses when `previous` is not held.
ExtendResult extendLog(ReplicatedLog &log, const LogPosition &previous,
                       const std::vector<LogEntry> &entries);

// The primary's view of its replicas. One message at a time is under way to each.
class ReplicaProgress
{
public:
    // Forgets everything; replicas are expected to hold the log up to `lastPosition`.
    void start(const std::vector<TargetId> &members, std::uint64_t lastPosition, TimePoint now);
    void stop();
    // A replica that introduced itself; it may not have been named at the start.
    void connected(const TargetId &member, std::uint64_t lastPosition, TimePoint now);

    // A replica's connection is new: what was under way to it is lost.
    void reconnected(const TargetId &member, TimePoint now);

    // The next message for `member`, when one is due.
    std::optional<ReplicateEntries> nextFor(const TargetId &member, const ReplicatedLog &log,
                                            TimePoint now);
    void answered(const ReplicateAnswer &answer, TimePoint now);

    std::vector<TargetId> members() const;
    // When the next resend or heartbeat is due; TimePoint::max() without members.
    TimePoint nextDeadline() const;

private:
    struct Member
    {
        // Position of the next entry to send; at least 1.
        std::uint64_t next = 1;
        // Sequence of the message under way; 0 when there is none.
        std::uint64_t awaited = 0;
        // When to send although nothing is new or an answer is missing.
        TimePoint sendAt{};
    };

    std::map<TargetId, Member> replicas;
    std::uint64_t lastSequence = 0;
};

} // namespace rhubarbweir
