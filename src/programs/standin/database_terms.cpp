// Terms, replication and due work of the stand-in database. See database.hpp.
#include "programs/standin/database.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

void Database::restore(const JournalRecord &record)
{
    if (record.adoptedTerm)
        this->term = std::max(this->term, *record.adoptedTerm);
    if (record.truncatedAfter)
        this->replicated.truncateAfter(*record.truncatedAfter);
    if (record.appended)
        this->replicated.append(*record.appended);
    this->replicated.applyThrough(this->replicated.received().position);
}

TargetFenced Database::receive(const FenceTarget &fence, TimePoint now)
{
    if (fence.group == this->settings.group && fence.term > this->term)
        this->adopt(fence.term);
    this->advance(now);
    return TargetFenced{this->status()};
}

TargetPromoted Database::receive(const PromoteTarget &promote, TimePoint now)
{
    const bool isMine = promote.group == this->settings.group && promote.term == this->term;
    if (isMine && !this->isPrimary()) {
        this->role = TargetRole::Primary;
        this->replicated.applyThrough(this->replicated.received().position);
        this->receivedAt.clear();
        std::vector<TargetId> members;
        for (const PeerAddress &member : promote.members) {
            if (member.target != this->settings.target)
                members.push_back(member.target);
        }
        this->progress.start(members, this->replicated.received().position, now);
        this->append(LogEntryKind::NoOp, {}, {});
    }
    this->advance(now);
    return TargetPromoted{this->status()};
}

void Database::receive(const FollowPrimary &follow, TimePoint now)
{
    if (follow.group == this->settings.group && follow.term > this->term)
        this->adopt(follow.term);
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
        this->progress.connected(answer.target, this->replicated.received().position, now);
    else if (answer.term == this->term)
        this->progress.answered(answer, now);
    this->advance(now);
}

void Database::memberConnected(const TargetId &member, TimePoint now)
{
    this->progress.reconnected(member, now);
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
        this->accept(message, now);
    }
    this->applyDue(now);
    this->retryWaitingReads(now);
    while (!this->running.empty() && this->running.begin()->first <= now) {
        const Running entry = this->running.begin()->second;
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
    for (const WaitingRead &read : this->waiting)
        earliest = std::min(earliest, read.giveUpAt);
    if (!this->receivedAt.empty())
        earliest = std::min({earliest, this->nextApplyAt, this->applyLag.changesAt()});
    if (this->isPrimary())
        earliest = std::min(earliest, this->progress.nextDeadline());
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
    result.received = this->replicated.received();
    result.applied = this->replicated.applied();
    return result;
}

void Database::adopt(std::uint64_t newTerm)
{
    this->term = newTerm;
    this->role = TargetRole::Replica;
    this->progress.stop();
    for (auto &[number, connection] : this->connections)
        this->endTransaction(connection);
    this->hooks.persist(JournalRecord{newTerm, std::nullopt, std::nullopt});
}

LogPosition Database::append(LogEntryKind kind, std::vector<RequestKey> requests,
                             std::vector<KeyChange> changes)
{
    LogEntry entry;
    entry.at = LogPosition{this->term, this->replicated.received().position + 1};
    entry.kind = kind;
    entry.requests = std::move(requests);
    entry.changes = std::move(changes);
    this->hooks.persist(JournalRecord{std::nullopt, std::nullopt, entry});
    this->replicated.append(std::move(entry));
    this->replicated.applyThrough(this->replicated.received().position);
    return this->replicated.received();
}

void Database::accept(const ReplicateEntries &message, TimePoint now)
{
    if (message.group != this->settings.group || message.term < this->term)
        return;
    if (message.term > this->term)
        this->adopt(message.term);
    if (this->isPrimary())
        return;
    const ExtendResult result = extendLog(this->replicated, message.previous, message.entries);
    this->noteReceived(result, now);
    ReplicateAnswer answer;
    answer.group = this->settings.group;
    answer.target = this->settings.target;
    answer.term = this->term;
    answer.sequence = message.sequence;
    answer.accepted = result.accepted;
    answer.held = result.held;
    this->hooks.sendToMember(message.primary, answer);
}

// Journals what changed in the log and notes when its new entries came.
void Database::noteReceived(const ExtendResult &result, TimePoint now)
{
    const std::uint64_t applied = this->replicated.applied().position;
    const std::uint64_t last = this->replicated.received().position;
    const std::uint64_t unchanged = result.unchangedThrough;
    if (result.hasTruncated)
        this->hooks.persist(JournalRecord{std::nullopt, unchanged, std::nullopt});
    for (std::uint64_t position = unchanged + 1; position <= last; ++position) {
        const LogEntry &entry = *this->replicated.entryAt(position);
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
        this->replicated.applyThrough(this->replicated.applied().position + 1);
    }
    if (!this->receivedAt.empty())
        this->nextApplyAt = this->receivedAt.front() + lag;
}

void Database::retryWaitingReads(TimePoint now)
{
    std::deque<WaitingRead> still;
    std::deque<WaitingRead> reads;
    reads.swap(this->waiting);
    for (const WaitingRead &read : reads) {
        if (covers(this->replicated.applied(), read.read.statement.minimum)) {
            this->start(read.read, now);
        } else if (now >= read.giveUpAt) {
            this->refuse(read.read.connection, read.read.statement, StatementResult::Behind);
            this->release(read.read.connection, read.read);
        } else {
            still.push_back(read);
        }
    }
    this->waiting.swap(still);
}

void Database::replicate(TimePoint now)
{
    if (!this->isPrimary())
        return;
    for (const TargetId &member : this->progress.members()) {
        auto message = this->progress.nextFor(member, this->replicated, now);
        if (!message)
            continue;
        message->group = this->settings.group;
        message->primary = this->settings.target;
        message->term = this->term;
        this->hooks.sendToMember(member, *std::move(message));
    }
}

} // namespace rhubarbweir
