// Replication between stand-in databases: log matching on replicas, progress on the primary.
#pragma once

#include "programs/standin/replicated_log.hpp"
#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rhubarbweir {

// Result of extendLog().
struct ExtendResult
{
    bool accepted = false;
    // See ReplicateAnswer::held.
    LogPosition held;
    // Entries after this position were added by the call.
    std::uint64_t unchangedThrough = 0;
    // Whether existing entries were removed.
    bool hasTruncated = false;
};

// Appends `entries` after `previous` and truncates a diverged tail. Rejects the entries if the log
// does not contain `previous`.
ExtendResult extendLog(ReplicatedLog &log, const LogPosition &previous,
                       const std::vector<LogEntry> &entries);

// The primary's replication progress for each replica. At most one message per replica is in
// flight.
class ReplicaProgress
{
public:
    // Resets the progress; replicas are assumed to have the log up to `lastPosition`.
    void start(const std::vector<TargetId> &members, std::uint64_t lastPosition, TimePoint now);
    void stop();
    // Adds or resets a replica that introduced itself; start() may not have included it.
    void addReplica(const TargetId &member, std::uint64_t lastPosition, TimePoint now);

    // Handles a new connection to a replica: the message in flight was lost.
    void handleReconnect(const TargetId &member, TimePoint now);

    // The next message for `member`, if one is due.
    std::optional<ReplicateEntries> nextMessage(const TargetId &member, const ReplicatedLog &log,
                                                TimePoint now);
    void handleAnswer(const ReplicateAnswer &answer, TimePoint now);

    std::vector<TargetId> members() const;
    // When the next retransmission or heartbeat is due; TimePoint::max() without members.
    TimePoint nextDeadline() const;

private:
    struct Member
    {
        // Position of the next entry to send; at least 1.
        std::uint64_t nextPosition = 1;
        // Sequence of the message in flight; 0 if there is none.
        std::uint64_t awaitedSequence = 0;
        // When to send a heartbeat, or to retransmit if the answer is missing.
        TimePoint nextSendAt{};
    };

    std::map<TargetId, Member> replicas;
    std::uint64_t lastSequence = 0;
};

} // namespace rhubarbweir
