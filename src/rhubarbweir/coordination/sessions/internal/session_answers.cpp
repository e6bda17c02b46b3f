// See session_pooler.hpp. This file: what comes back from targets, and what does not.
#include "rhubarbweir/coordination/sessions/session_pooler.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

// An answer that nobody waits for any more is awaited for this long before its connection closes.
constexpr std::chrono::seconds OrphanPatience{5};

// The target ran nothing.
bool didNotRun(StatementFault fault)
{
    switch (fault) {
    case StatementFault::Busy:
    case StatementFault::Lagging:
    case StatementFault::ReadOnly:
    case StatementFault::WrongTarget:
    case StatementFault::TooMany:
    case StatementFault::NoSuchName:
        return true;
    default:
        return false;
    }
}

} // namespace

void SessionPooler::targetOpened(ConnectionId id, const std::optional<LogPosition> &position,
                                 TimePoint now)
{
    PooledConnection *connection = this->book.connection(id);
    if (connection == nullptr)
        return;
    const bool wasAlive = this->book.find(connection->target)->state == ObservedState::Alive;
    this->book.heard(connection->target, now);
    if (!wasAlive)
        this->hooks.observationsChanged();
    if (TargetRecord *record = this->book.find(connection->target); record && position)
        record->position = position;
    this->release(*connection, now);
}

void SessionPooler::targetAnswered(ConnectionId id, const StatementAnswer &answer, TimePoint now)
{
    PooledConnection *connection = this->book.connection(id);
    if (connection == nullptr)
        return;
    const bool wasAlive = this->book.find(connection->target)->state == ObservedState::Alive;
    const std::optional<AwaitedAnswer> awaited = this->book.answered(*connection, now);
    if (!awaited) {
        this->hooks.event("answer_unasked", {{"target", connection->target.value}}, false);
        this->dropConnection(id);
        return;
    }
    if (!wasAlive)
        this->hooks.observationsChanged();
    if (answer.fault == StatementFault::Busy)
        this->book.busy(connection->target, now);
    if (answer.fault == StatementFault::Lagging && awaited->minimum)
        this->book.lacks(connection->target, *awaited->minimum, now);
    this->recordPosition(*connection, *awaited, answer, now);
    const auto found = this->sessions.find(awaited->session);
    if (found == this->sessions.end()) {
        // A rollback that failed leaves the connection in an unknown state.
        if (awaited->kind == TargetCommandKind::Rollback && answer.fault)
            this->dropConnection(id);
        else if (connection->awaited.empty() && connection->owner == 0)
            this->release(*connection, now);
        return;
    }
    const bool isCallers =
        awaited->kind == TargetCommandKind::Forward || awaited->kind == TargetCommandKind::Execute;
    if (isCallers)
        this->statementAnswered(found->second, *connection, *awaited, answer, now);
    else
        this->ownAnswered(*connection, *awaited, answer, now);
}

// A position that the primary told under authority covers every commit before it was asked.
void SessionPooler::recordPosition(const PooledConnection &connection, const AwaitedAnswer &awaited,
                                   const StatementAnswer &answer, TimePoint)
{
    TargetRecord *record = this->book.find(connection.target);
    if (record == nullptr || !answer.position)
        return;
    record->position = answer.position;
    if (!answer.fault)
        record->laggingPause = Duration::zero();
    if (!answer.fault && awaited.minimum)
        record->behindSince.reset();
    const bool counts = awaited.generation != 0
                        && awaited.generation == this->view.generation(connection.group)
                        && this->view.knownPrimary(connection.group) == connection.target;
    if (!counts)
        return;
    TimePoint &last = this->lastSample[connection.group];
    if (awaited.sentAt < last)
        return;
    last = awaited.sentAt;
    this->freshness[connection.group].record(awaited.sentAt, *answer.position);
}

void SessionPooler::ownAnswered(PooledConnection &connection, const AwaitedAnswer &awaited,
                                const StatementAnswer &answer, TimePoint now)
{
    Session &session = this->sessions.at(awaited.session);
    const bool isBegin = awaited.kind == TargetCommandKind::Begin
                         || awaited.kind == TargetCommandKind::BeginReadOnly;
    if (!isBegin) {
        if (answer.fault) {
            this->hooks.event("session_state_refused",
                              {{"target", connection.target.value},
                               {"fault", std::string(nameOf(*answer.fault))}},
                              false);
            connection.isDamaged = true;
        }
        return;
    }
    if (!answer.fault) {
        // The authority may have ended while the begin was on its way.
        if (session.generation != 0 && !this->holdsAuthority(connection, session.generation, now)) {
            this->unpin(session, true, now);
            this->requeue(session, now);
            return;
        }
        this->sendStatement(session, connection, now);
        return;
    }
    connection.inTransaction = false;
    this->unpin(session, true, now);
    session.work->lastFault = *answer.fault;
    if (!this->retryElsewhere(session, *answer.fault, connection.target, now))
        this->refuse(session, *answer.fault, "transaction not begun", now);
}

void SessionPooler::statementAnswered(Session &session, PooledConnection &connection,
                                      const AwaitedAnswer &awaited, const StatementAnswer &answer,
                                      TimePoint now)
{
    if (answer.fault) {
        this->statementFailed(session, connection, answer, now);
        return;
    }
    this->retries.succeeded();
    const StatementWork &work = *session.work;
    const bool isCommit = work.statement.kind == TextStatementKind::Commit;
    const bool isDecided = isCommit || session.state == TransactionState::None;
    const bool wrote = work.writes || (isCommit && session.transactionWrote);
    StatementAnswer delivered = answer;
    // A commit that came back after the authority ended may be one of a deposed primary.
    if (isDecided && wrote && !this->holdsAuthority(connection, awaited.generation, now)) {
        delivered = {};
        delivered.fault = StatementFault::InDoubt;
        delivered.detail = "primary changed";
    } else if (isDecided && wrote && answer.position) {
        session.commits[connection.group] = {awaited.generation, *answer.position};
    }
    if (session.state == TransactionState::Open)
        session.transactionWrote = session.transactionWrote || work.writes;
    if (isCommit) {
        connection.inTransaction = false;
        session.state = TransactionState::None;
        session.pinned = 0;
        session.generation = 0;
    }
    delivered.state = session.state;
    const ConnectionId id = connection.id;
    if (isDecided) {
        connection.owner = 0;
        if (connection.isDamaged)
            this->dropConnection(id);
    }
    this->finish(session, delivered, now);
    if (PooledConnection *kept = this->book.connection(id);
        isDecided && kept != nullptr && kept->owner == 0 && kept->awaited.empty())
        this->release(*kept, now);
}

void SessionPooler::statementFailed(Session &session, PooledConnection &connection,
                                    const StatementAnswer &answer, TimePoint now)
{
    StatementWork &work = *session.work;
    const StatementFault fault = *answer.fault;
    work.lastFault = fault;
    const TargetId target = connection.target;
    const bool inTransaction = session.pinned != 0;
    const bool mayMove = work.isFirst && work.statement.kind != TextStatementKind::Commit;
    const bool mayRepeat = didNotRun(fault) || (fault == StatementFault::Failed && !work.writes);
    if (inTransaction && fault == StatementFault::Busy && answer.state == TransactionState::Open
        && work.attempts < this->settings.maxAttempts && this->retries.tryTake()) {
        work.stage = WorkStage::Paused;
        work.resumeAt = now + this->settings.busyPause;
        return;
    }
    if (inTransaction) {
        // The target's own state decides what a rollback means there.
        connection.inTransaction = answer.state != TransactionState::None;
        this->unpin(session, !connection.isDamaged, now);
    } else {
        connection.owner = 0;
        if (connection.isDamaged)
            this->dropConnection(connection.id);
        else
            this->release(connection, now);
    }
    if (mayMove && mayRepeat && this->retryElsewhere(session, fault, target, now))
        return;
    if (session.state == TransactionState::Open)
        session.state = work.statement.kind == TextStatementKind::Commit ? TransactionState::None
                                                                         : TransactionState::Failed;
    StatementAnswer delivered = answer;
    delivered.rows.clear();
    delivered.state = session.state;
    this->finish(session, delivered, now);
}

// Lets the statement try another target, or the same one later. False when it may not.
bool SessionPooler::retryElsewhere(Session &session, StatementFault fault, const TargetId &target,
                                   TimePoint now)
{
    StatementWork &work = *session.work;
    // A lagging replica or a busy target spent nothing on the statement.
    const bool isFree = fault == StatementFault::Lagging || fault == StatementFault::Busy;
    if (now >= work.queueDeadline
        || (!isFree && (work.attempts >= this->settings.maxAttempts || !this->retries.tryTake())))
        return false;
    if (isFree)
        --work.attempts;
    // A busy or lagging target is left alone for a while; one that failed is not asked again.
    if (!isFree)
        work.tried.insert(target);
    this->hooks.event("retry",
                      {{"request", work.statement.id},
                       {"target", target.value},
                       {"fault", std::string(nameOf(fault))},
                       {"attempts", absl::StrCat(work.attempts)}},
                      true);
    if (!isFree && this->candidates(session, now).empty()) {
        work.tried.clear();
        work.stage = WorkStage::Paused;
        work.resumeAt = now + this->settings.busyPause;
        return true;
    }
    this->requeue(session, now);
    return true;
}

void SessionPooler::requeue(Session &session, TimePoint now)
{
    session.work->isFirst = true;
    this->assign(session, now);
}

// Lost connections.

void SessionPooler::targetClosed(ConnectionId id, TargetFailure failure, TimePoint now)
{
    PooledConnection *connection = this->book.connection(id);
    if (connection == nullptr)
        return;
    const PooledConnection lost = *connection;
    this->book.removeConnection(id);
    const TargetRecord *record = this->book.find(lost.target);
    const ObservedState before = record != nullptr ? record->state : ObservedState::Alive;
    this->book.failed(lost.target, failure, now);
    if (record != nullptr && record->state != before)
        this->hooks.observationsChanged();
    this->hooks.event("target_connection_lost",
                      {{"target", lost.target.value},
                       {"failure", std::string(nameOf(failure))},
                       {"owed", absl::StrCat(lost.awaited.size())}},
                      false);
    // A new attempt tells whether the target is gone or only the connection.
    if (record != nullptr && record->connections.empty() && failure == TargetFailure::Reset
        && record->target.phase == TargetPhase::Ready)
        this->openIfAllowed(lost.target, now);
    const auto owner = this->sessions.find(lost.owner);
    if (owner != this->sessions.end()) {
        Session &session = owner->second;
        session.lostTarget = lost.target;
        this->connectionLost(session, now);
    }
    this->serveQueue(now);
}

void SessionPooler::connectionLost(Session &session, TimePoint now)
{
    const bool inTransaction = session.pinned != 0;
    const bool wrote = session.transactionWrote;
    session.pinned = 0;
    session.generation = 0;
    if (!session.work || session.work->stage == WorkStage::Queued) {
        session.abortPending = inTransaction;
        return;
    }
    StatementWork &work = *session.work;
    const bool isCommit = work.statement.kind == TextStatementKind::Commit;
    const bool isOpenTransaction = session.state == TransactionState::Open;
    // Nothing of an uncommitted transaction is kept; a lone write may be.
    const bool mayMove = work.stage != WorkStage::Sent
                         || (work.isFirst && !isCommit && (isOpenTransaction || !work.writes));
    if (mayMove && work.isFirst
        && this->retryElsewhere(session, StatementFault::Aborted, session.lostTarget, now))
        return;
    const bool inDoubt = work.stage == WorkStage::Sent
                         && ((isCommit && wrote) || (!isOpenTransaction && work.writes));
    this->refuse(session, inDoubt ? StatementFault::InDoubt : StatementFault::Aborted,
                 "connection lost", now);
}

// Time.

void SessionPooler::expireWork(Session &session, TimePoint now)
{
    StatementWork &work = *session.work;
    switch (work.stage) {
    case WorkStage::Paused:
        if (now < work.resumeAt)
            return;
        if (session.pinned != 0)
            this->sendOnPinned(session, now);
        else
            this->assign(session, now);
        return;
    case WorkStage::Queued:
        if (now < work.queueDeadline)
            return;
        this->dequeue(session.number);
        this->refuse(session, promise(work.lastFault), "no connection in time", now);
        return;
    case WorkStage::Beginning:
    case WorkStage::Sent:
        if (now >= work.deadline)
            this->expireSent(session, now);
        return;
    }
}

// The target did not answer in time: whether the statement ran is unknown.
void SessionPooler::expireSent(Session &session, TimePoint now)
{
    if (session.pinned != 0) {
        this->refuse(session, StatementFault::Timeout, "no answer in time", now);
        return;
    }
    for (auto &[id, connection] : this->book.connections()) {
        if (connection.owner != session.number)
            continue;
        connection.owner = 0;
        for (AwaitedAnswer &awaited : connection.awaited)
            awaited.session = 0;
    }
    this->refuse(session, StatementFault::Timeout, "no answer in time", now);
}

StatementFault SessionPooler::promise(StatementFault fault)
{
    return didNotRun(fault) && fault != StatementFault::NoSuchName ? fault : StatementFault::Busy;
}

void SessionPooler::expireConnections(TimePoint now)
{
    std::vector<std::pair<ConnectionId, TargetFailure>> ended;
    std::vector<ConnectionId> surplus;
    for (const auto &[id, connection] : this->book.connections()) {
        if (connection.phase == ConnectionPhase::Connecting) {
            if (now >= connection.connectDeadline)
                ended.emplace_back(id, TargetFailure::Silent);
        } else if (!connection.awaited.empty()) {
            if (now >= connection.awaited.front().sentAt + OrphanPatience)
                ended.emplace_back(id, TargetFailure::Silent);
        } else if (connection.phase == ConnectionPhase::Idle) {
            const TargetRecord *record = this->book.find(connection.target);
            const bool leaves = record == nullptr || record->target.phase != TargetPhase::Ready;
            const bool isSurplus = record != nullptr
                                   && now >= connection.idleSince + this->settings.surplusIdle
                                   && record->connections.size() > this->restingShare(*record);
            if (leaves || isSurplus)
                surplus.push_back(id);
        }
    }
    for (const auto &[id, failure] : ended) {
        this->hooks.closeTarget(id);
        this->targetClosed(id, failure, now);
    }
    for (const ConnectionId id : surplus)
        this->dropConnection(id);
}

} // namespace rhubarbweir
