// Terms, replication and scheduled work of the stand-in database. See database.hpp.
#include "programs/standin/database.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

void Database::restore(const JournalRecord &record)
{
    if (record.adoptedTerm)
        this->term = std::max(this->term, *record.adoptedTerm);
    if (record.truncatedAfter)
        this->replicatedLog.truncateAfter(*record.truncatedAfter);
    if (record.appended)
        this->replicatedLog.append(*record.appended);
    this->replicatedLog.applyThrough(this->replicatedLog.received().position);
}

TargetFenced Database::receive(const FenceTarget &fence, TimePoint now)
{
    if (fence.group == this->settings.group && fence.term > this->term)
        this->adoptTerm(fence.term);
    this->advance(now);
    return TargetFenced{this->status()};
}

TargetPromoted Database::receive(const PromoteTarget &promote, TimePoint now)
{
    const bool isCurrentTerm = promote.group == this->settings.group && promote.term == this->term;
    if (isCurrentTerm && !this->isPrimary()) {
        this->role = TargetRole::Primary;
        this->replicatedLog.applyThrough(this->replicatedLog.received().position);
        this->receivedAt.clear();
        std::vector<TargetId> members;
        for (const PeerAddress &member : promote.members) {
            if (member.target != this->settings.target)
                members.push_back(member.target);
        }
        this->replicaProgress.start(members, this->replicatedLog.received().position, now);
        this->append(LogEntryKind::NoOp, {}, {});
    }
    this->advance(now);
    return TargetPromoted{this->status()};
}

void Database::receive(const FollowPrimary &follow, TimePoint now)
{
    if (follow.group == this->settings.group && follow.term > this->term)
        this->adoptTerm(follow.term);
    this->advance(now);
}

void Database::receive(const ReplicateEntries &message, TimePoint now)
{
    this->arriving.emplace_back(now + this->settings.replicationDelay, message);
    this->advance(now);
}

void Database::receive(const ReplicateAnswer &answer, TimePoint now)
{
    if (!this->isPrimary() || answer.group != this->settings.group)
        return;
    if (answer.sequence == 0)
        this->replicaProgress.addReplica(answer.target, this->replicatedLog.received().position,
                                         now);
    else if (answer.term == this->term)
        this->replicaProgress.handleAnswer(answer, now);
    this->advance(now);
}

void Database::memberConnected(const TargetId &member, TimePoint now)
{
    this->replicaProgress.handleReconnect(member, now);
    this->advance(now);
}

void Database::advance(TimePoint now)
{
    while (!this->openings.empty() && this->openings.begin()->first <= now) {
        const auto found = this->connections.find(this->openings.begin()->second);
        this->openings.erase(this->openings.begin());
        if (found == this->connections.end())
            continue;
        found->second.opened = true;
        this->hooks.send(found->first, ConnectionOpened{found->second.generation, this->status()});
    }
    while (!this->arriving.empty() && this->arriving.front().first <= now) {
        const ReplicateEntries message = std::move(this->arriving.front().second);
        this->arriving.pop_front();
        this->appendFromPrimary(message, now);
    }
    this->applyDue(now);
    this->retryWaitingReads(now);
    while (!this->running.empty() && this->running.begin()->first <= now) {
        const RunningStatement entry = this->running.begin()->second;
        this->running.erase(this->running.begin());
        this->finish(entry);
    }
    this->replicate(now);
}

TimePoint Database::nextDeadline() const
{
    TimePoint earliest = TimePoint::max();
    if (!this->openings.empty())
        earliest = std::min(earliest, this->openings.begin()->first);
    if (!this->running.empty())
        earliest = std::min(earliest, this->running.begin()->first);
    if (!this->arriving.empty())
        earliest = std::min(earliest, this->arriving.front().first);
    for (const WaitingRead &read : this->waitingReads)
        earliest = std::min(earliest, read.giveUpAt);
    if (!this->receivedAt.empty())
        earliest = std::min({earliest, this->nextApplyAt, this->applyLag.changesAt()});
    if (this->isPrimary())
        earliest = std::min(earliest, this->replicaProgress.nextDeadline());
    return earliest;
}

TargetStatus Database::status(std::uint64_t probeId) const
{
    TargetStatus result;
    result.probeId = probeId;
    result.target = this->settings.target;
    result.group = this->settings.group;
    result.role = this->role;
    result.adoptedTerm = this->term;
    result.received = this->replicatedLog.received();
    result.applied = this->replicatedLog.applied();
    return result;
}

void Database::adoptTerm(std::uint64_t newTerm)
{
    this->term = newTerm;
    this->role = TargetRole::Replica;
    this->replicaProgress.stop();
    for (auto &[number, connection] : this->connections)
        this->endTransaction(connection);
    this->hooks.persist(JournalRecord{newTerm, std::nullopt, std::nullopt});
}

LogPosition Database::append(LogEntryKind kind, std::vector<RequestKey> requests,
                             std::vector<KeyChange> changes)
{
    LogEntry entry;
    entry.at = LogPosition{this->term, this->replicatedLog.received().position + 1};
    entry.kind = kind;
    entry.requests = std::move(requests);
    entry.changes = std::move(changes);
    this->hooks.persist(JournalRecord{std::nullopt, std::nullopt, entry});
    this->replicatedLog.append(std::move(entry));
    this->replicatedLog.applyThrough(this->replicatedLog.received().position);
    return this->replicatedLog.received();
}

void Database::appendFromPrimary(const ReplicateEntries &message, TimePoint now)
{
    if (message.group != this->settings.group || message.term < this->term)
        return;
    if (message.term > this->term)
        this->adoptTerm(message.term);
    if (this->isPrimary())
        return;
    const ExtendResult result = extendLog(this->replicatedLog, message.previous, message.entries);
    this->recordReceived(result, now);
    ReplicateAnswer answer;
    answer.group = this->settings.group;
    answer.target = this->settings.target;
    answer.term = this->term;
    answer.sequence = message.sequence;
    answer.accepted = result.accepted;
    answer.held = result.held;
    this->hooks.sendToMember(message.primary, answer);
}

// Persists the changes of the log and records the receive time of its new entries.
void Database::recordReceived(const ExtendResult &result, TimePoint now)
{
    const std::uint64_t applied = this->replicatedLog.applied().position;
    const std::uint64_t last = this->replicatedLog.received().position;
    const std::uint64_t unchanged = result.unchangedThrough;
    if (result.hasTruncated)
        this->hooks.persist(JournalRecord{std::nullopt, unchanged, std::nullopt});
    for (std::uint64_t position = unchanged + 1; position <= last; ++position) {
        const LogEntry &entry = *this->replicatedLog.entryAt(position);
        this->hooks.persist(JournalRecord{std::nullopt, std::nullopt, entry});
    }
    this->receivedAt.resize(unchanged > applied ? unchanged - applied : 0);
    this->receivedAt.resize(last - applied, now);
}

void Database::applyDue(TimePoint now)
{
    if (this->receivedAt.empty())
        return;
    const Duration lag = this->applyLag.at(now);
    while (!this->receivedAt.empty() && this->receivedAt.front() + lag <= now) {
        this->receivedAt.pop_front();
        this->replicatedLog.applyThrough(this->replicatedLog.applied().position + 1);
    }
    if (!this->receivedAt.empty())
        this->nextApplyAt = this->receivedAt.front() + lag;
}

void Database::retryWaitingReads(TimePoint now)
{
    std::deque<WaitingRead> stillWaiting;
    std::deque<WaitingRead> reads;
    reads.swap(this->waitingReads);
    for (const WaitingRead &read : reads) {
        if (covers(this->replicatedLog.applied(), read.read.statement.minimum)) {
            this->start(read.read, now);
        } else if (now >= read.giveUpAt) {
            this->refuse(read.read.connection, read.read.statement, StatementResult::Behind);
            this->release(read.read.connection, read.read);
        } else {
            stillWaiting.push_back(read);
        }
    }
    this->waitingReads.swap(stillWaiting);
}

void Database::replicate(TimePoint now)
{
    if (!this->isPrimary())
        return;
    for (const TargetId &member : this->replicaProgress.members()) {
        auto message = this->replicaProgress.nextMessage(member, this->replicatedLog, now);
        if (!message)
            continue;
        message->group = this->settings.group;
        message->primary = this->settings.target;
        message->term = this->term;
        this->hooks.sendToMember(member, *std::move(message));
    }
}

} // namespace rhubarbweir
