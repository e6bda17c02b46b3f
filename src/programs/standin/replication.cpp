// See replication.hpp.
#include "programs/standin/replication.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

constexpr std::size_t MaxEntriesPerMessage = 500;
constexpr std::chrono::milliseconds HeartbeatInterval{200};
constexpr std::chrono::milliseconds AnswerTimeout{400};

// The position that the primary should try next if `previous` is not in the log: the end of a
// shorter log, or the last position before the conflicting term.
LogPosition previousToTry(const ReplicatedLog &log, const LogPosition &previous)
{
    std::uint64_t position = std::min(previous.position, log.received().position);
    const std::uint64_t conflicting = log.termAt(position);
    if (position < previous.position && conflicting <= previous.term)
        return LogPosition{conflicting, position};
    while (position > 0 && log.termAt(position) == conflicting)
        --position;
    return LogPosition{log.termAt(position), position};
}

} // namespace

ExtendResult extendLog(ReplicatedLog &log, const LogPosition &previous,
                       const std::vector<LogEntry> &entries)
{
    const bool isHeld = previous.position <= log.received().position
                        && log.termAt(previous.position) == previous.term;
    if (!isHeld)
        return ExtendResult{false, previousToTry(log, previous), log.received().position};
    ExtendResult result{true, previous, log.received().position};
    for (const LogEntry &entry : entries) {
        if (log.termAt(entry.at.position) != entry.at.term) {
            const std::uint64_t before = entry.at.position - 1;
            result.hasTruncated = result.hasTruncated || before < log.received().position;
            log.truncateAfter(before);
            result.unchangedThrough = std::min(result.unchangedThrough, before);
            log.append(entry);
        }
        result.held = entry.at;
    }
    return result;
}

void ReplicaProgress::start(const std::vector<TargetId> &members, std::uint64_t lastPosition,
                            TimePoint now)
{
    this->replicas.clear();
    for (const TargetId &member : members)
        this->addReplica(member, lastPosition, now);
}

void ReplicaProgress::stop()
{
    this->replicas.clear();
}

void ReplicaProgress::addReplica(const TargetId &member, std::uint64_t lastPosition, TimePoint now)
{
    this->replicas[member] = Member{lastPosition + 1, 0, now};
}

void ReplicaProgress::handleReconnect(const TargetId &member, TimePoint now)
{
    const auto found = this->replicas.find(member);
    if (found == this->replicas.end())
        return;
    found->second.awaitedSequence = 0;
    found->second.nextSendAt = now;
}

std::optional<ReplicateEntries>
ReplicaProgress::nextMessage(const TargetId &member, const ReplicatedLog &log, TimePoint now)
{
    Member &state = this->replicas.at(member);
    const std::uint64_t last = log.received().position;
    state.nextPosition = std::min(state.nextPosition, last + 1);
    const bool hasNew = state.awaitedSequence == 0 && state.nextPosition <= last;
    if (!hasNew && now < state.nextSendAt)
        return std::nullopt;
    ReplicateEntries message;
    message.sequence = ++this->lastSequence;
    message.previous = LogPosition{log.termAt(state.nextPosition - 1), state.nextPosition - 1};
    const std::uint64_t end =
        std::min<std::uint64_t>(last, state.nextPosition - 1 + MaxEntriesPerMessage);
    message.entries.assign(log.entries().begin() + (state.nextPosition - 1),
                           log.entries().begin() + end);
    state.awaitedSequence = message.sequence;
    state.nextSendAt = now + AnswerTimeout;
    return message;
}

void ReplicaProgress::handleAnswer(const ReplicateAnswer &answer, TimePoint now)
{
    const auto found = this->replicas.find(answer.target);
    if (found == this->replicas.end() || found->second.awaitedSequence != answer.sequence)
        return;
    Member &state = found->second;
    state.awaitedSequence = 0;
    state.nextPosition = answer.held.position + 1;
    state.nextSendAt = answer.accepted ? now + HeartbeatInterval : now;
}

std::vector<TargetId> ReplicaProgress::members() const
{
    std::vector<TargetId> result;
    for (const auto &[member, state] : this->replicas)
        result.push_back(member);
    return result;
}

TimePoint ReplicaProgress::nextDeadline() const
{
    TimePoint earliest = TimePoint::max();
    for (const auto &[member, state] : this->replicas)
        earliest = std::min(earliest, state.nextSendAt);
    return earliest;
}

} // namespace rhubarbweir
