// Determines by rounds of status probes a log position that covers every confirmed write.
#pragma once

#include "rhubarbweir/coordination/proxy/target_messages.hpp"
#include "rhubarbweir/state/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace rhubarbweir {

// Result of a round: `index` covers every write confirmed before `startedAt`.
struct ReadIndexRound
{
    std::uint64_t probeId = 0;
    TimePoint startedAt;
    LogPosition index;
};

class ReadIndex
{
public:
    // Only answers of databases in `members` count; a majority is more than half of `groupSize`.
    void setGroup(std::uint32_t groupSize, std::uint64_t currentTerm,
                  std::vector<TargetId> members);

    // Requests a round that starts after this call.
    void requestRound() { this->isRoundRequested = true; }
    // Whether a round should start; at most one is open.
    bool isDue(TimePoint now) const;
    // Starts round `probeId`. The caller has to send the probe to every member.
    void startRound(std::uint64_t probeId, TimePoint now);
    void receive(const TargetStatus &status, TimePoint now);
    // Removes and returns the open round once it is complete.
    std::optional<ReadIndexRound> takeCompleted(TimePoint now);
    TimePoint nextDeadline() const;

private:
    bool hasMajority() const;
    // Lowest position that the answers prove to cover every confirmed write.
    LogPosition lowestIndex() const;

    std::uint32_t size = 3;
    std::uint64_t term = 0;
    std::vector<TargetId> targets;
    bool isRoundRequested = false;
    bool isRoundOpen = false;
    ReadIndexRound openRound;
    // Answers to the open round in the current term.
    std::map<TargetId, LogPosition> answers;
    // When the open round completes with a majority instead of waiting for all members.
    TimePoint graceEnd = TimePoint::max();
    TimePoint nextRoundAt;
};

} // namespace rhubarbweir
