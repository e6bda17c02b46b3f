// Rounds of status probes that prove which log position covers every confirmed write.
#pragma once

#include "rhubarbweir/coordination/proxy/target_messages.hpp"
#include "rhubarbweir/state/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace rhubarbweir {

// Every write confirmed before `startedAt` is covered by `index`.
struct ReadIndexRound
{
    std::uint64_t probeId = 0;
    TimePoint startedAt;
    LogPosition index;
};

class ReadIndex
{
public:
    // Answers count for databases in `members` only; a majority is counted against `groupSize`.
    void setGroup(std::uint32_t groupSize, std::uint64_t currentTerm,
                  std::vector<TargetId> members);

    // A round that starts from now on is needed.
    void want() { this->wanted = true; }
    // Whether a round should start; at most one is open.
    bool isDue(TimePoint now) const;
    // Opens round `probeId`: the caller sends the probe to every member.
    void start(std::uint64_t probeId, TimePoint now);
    void receive(const TargetStatus &status, TimePoint now);
    // The round that completed since the last call.
    std::optional<ReadIndexRound> takeCompleted(TimePoint now);
    TimePoint nextDeadline() const;

private:
    bool hasMajority() const;
    // Least index that the answers prove.
    LogPosition leastIndex() const;

    std::uint32_t size = 3;
    std::uint64_t term = 0;
    std::vector<TargetId> targets;
    bool wanted = false;
    bool isOpen = false;
    ReadIndexRound open;
    // Answers to the open round in the current term.
    std::map<TargetId, LogPosition> answers;
    // When the open round completes with a majority instead of waiting for all.
    TimePoint graceEnd = TimePoint::max();
    TimePoint nextRoundAt;
};

} // namespace rhubarbweir
