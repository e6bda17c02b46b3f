// See replication.hpp.
#include "programs/standin/replication.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

constexpr std::size_t MaxEntriesPerMessage = 500;
constexpr std::chrono::milliseconds HeartbeatInterval{200};
constexpr std::chrono::milliseconds AnswerTimeout{400};

// Where the primary should try next when `previous` is not held: before the conflicting term.
LogPosition retryAfter(const ReplicatedLog &log, const LogPosition &previous)
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
        return ExtendResult{false, retryAfter(log, previous), log.received().position};
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
        this->connected(member, lastPosition, now);
}

void ReplicaProgress::stop()
{
    this->replicas.clear();
}

void ReplicaProgress::connected(const TargetId &member, std::uint64_t lastPosition, TimePoint now)
{
    this->replicas[member] = Member{lastPosition + 1, 0, now};
}

void ReplicaProgress::reconnected(const TargetId &member, TimePoint now)
{
    const auto found = this->replicas.find(member);
    if (found == this->replicas.end())
        return;
    found->second.awaited = 0;
    found->second.sendAt = now;
}

std::optional<ReplicateEntries> ReplicaProgress::nextFor(const TargetId &member,
                                                         const ReplicatedLog &log, TimePoint now)
{
    Member &state = this->replicas.at(member);
    const std::uint64_t last = log.received().position;
    state.next = std::min(state.next, last + 1);
    const bool hasNew = state.awaited == 0 && state.next <= last;
    if (!hasNew && now < state.sendAt)
        return std::nullopt;
    ReplicateEntries message;
    message.sequence = ++this->lastSequence;
    message.previous = LogPosition{log.termAt(state.next - 1), state.next - 1};
    const std::uint64_t end = std::min<std::uint64_t>(last, state.next - 1 + MaxEntriesPerMessage);
    message.entries.assign(log.entries().begin() + (state.next - 1), log.entries().begin() + end);
    state.awaited = message.sequence;
    state.sendAt = now + AnswerTimeout;
    return message;
}

void ReplicaProgress::answered(const ReplicateAnswer &answer, TimePoint now)
{
    const auto found = this->replicas.find(answer.target);
    if (found == this->replicas.end() || found->second.awaited != answer.sequence)
        return;
    Member &state = found->second;
    state.awaited = 0;
    state.next = answer.held.position + 1;
    state.sendAt = answer.accepted ? now + HeartbeatInterval : now;
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
        earliest = std::min(earliest, state.sendAt);
    return earliest;
}

} // namespace rhubarbweir
