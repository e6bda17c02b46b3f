// See session_pooler.hpp. This file: answers of targets, lost connections and timeouts.
#include "rhubarbweir/coordination/sessions/session_pooler.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarbweir {

namespace {

// A connection is closed once an answer on it has been outstanding for this long, also when no
// session waits for the answer any more.
constexpr std::chrono::seconds OrphanedAnswerTimeout{5};

// Whether the fault guarantees that the target ran nothing.
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
    PooledConnection *connection = this->targetTracker.connection(id);
    if (connection == nullptr)
        return;
    const bool wasAlive =
        this->targetTracker.find(connection->target)->state == ObservedState::Alive;
    this->targetTracker.connectionOpened(*connection, now);
    if (!wasAlive)
        this->hooks.observationsChanged();
    if (TargetRecord *record = this->targetTracker.find(connection->target); record && position)
        record->position = position;
    this->release(*connection, now);
}

void SessionPooler::targetAnswered(ConnectionId id, const StatementAnswer &answer, TimePoint now)
{
    PooledConnection *connection = this->targetTracker.connection(id);
    if (connection == nullptr)
        return;
    const bool wasAlive =
        this->targetTracker.find(connection->target)->state == ObservedState::Alive;
    const std::optional<AwaitedAnswer> awaited =
        this->targetTracker.answerReceived(*connection, now);
    if (!awaited) {
        this->hooks.event("answer_unasked", {{"target", connection->target.value}}, false);
        this->dropConnection(id);
        return;
    }
    if (!wasAlive)
        this->hooks.observationsChanged();
    if (answer.fault == StatementFault::Busy)
        this->targetTracker.markBusy(connection->target, now);
    if (answer.fault == StatementFault::Lagging && awaited->minimum)
        this->targetTracker.markLagging(connection->target, *awaited->minimum, now);
    this->recordPosition(*connection, *awaited, answer, now);
    const auto found = this->sessions.find(awaited->session);
    if (found == this->sessions.end()) {
        // The state of a connection after a failed rollback is unknown.
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
        this->internalCommandAnswered(*connection, *awaited, answer, now);
}

// Records the target's log position. The position of a primary under its authority covers every
// commit that was confirmed before the command was sent, so it also becomes a freshness sample.
void SessionPooler::recordPosition(const PooledConnection &connection, const AwaitedAnswer &awaited,
                                   const StatementAnswer &answer, TimePoint)
{
    TargetRecord *record = this->targetTracker.find(connection.target);
    if (record == nullptr || !answer.position)
        return;
    record->position = answer.position;
    if (!answer.fault)
        record->laggingBackoff = Duration::zero();
    if (!answer.fault && awaited.minimum)
        record->behindSince.reset();
    const bool isAuthoritative = awaited.generation != 0
                                 && awaited.generation == this->view.generation(connection.group)
                                 && this->view.knownPrimary(connection.group) == connection.target;
    if (!isAuthoritative)
        return;
    TimePoint &last = this->lastSample[connection.group];
    if (awaited.sentAt < last)
        return;
    last = awaited.sentAt;
    this->freshness[connection.group].record(awaited.sentAt, *answer.position);
    this->ownPositions[connection.group] = {awaited.generation, *answer.position, awaited.sentAt};
}

void SessionPooler::internalCommandAnswered(PooledConnection &connection,
                                            const AwaitedAnswer &awaited,
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
            connection.hasUnknownState = true;
        }
        return;
    }
    if (!answer.fault) {
        // The authority may have ended while the begin was in flight.
        if (session.generation != 0 && !this->holdsAuthority(connection, session.generation, now)) {
            this->unpin(session, true, now);
            this->requeue(session, now);
            return;
        }
        if (this->refuseWithoutAccess(session, now))
            return;
        this->sendStatement(session, connection, now);
        return;
    }
    connection.inTransaction = false;
    // A statement of another team may replace the connection as soon as it is idle.
    const TargetId target = connection.target;
    this->unpin(session, true, now);
    session.pending->lastFault = *answer.fault;
    if (!this->retryElsewhere(session, *answer.fault, target, now))
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
    const PendingStatement &pending = *session.pending;
    this->queue.answered(connection.group, pending.needsPrimary,
                         std::chrono::duration_cast<Duration>(now - awaited.sentAt));
    const bool isCommit = pending.statement.kind == TextStatementKind::Commit;
    const bool endsTransaction = isCommit || session.state == TransactionState::None;
    const bool wrote = pending.writes || (isCommit && session.transactionWrote);
    StatementAnswer delivered = answer;
    // A commit that is confirmed after the authority ended may come from a deposed primary.
    if (endsTransaction && wrote && !this->holdsAuthority(connection, awaited.generation, now)) {
        delivered = {};
        delivered.fault = StatementFault::InDoubt;
        delivered.detail = "primary changed";
    } else if (endsTransaction && wrote && answer.position) {
        session.commits[connection.group] = {awaited.generation, *answer.position};
    }
    if (session.state == TransactionState::Open)
        session.transactionWrote = session.transactionWrote || pending.writes;
    if (isCommit) {
        connection.inTransaction = false;
        session.state = TransactionState::None;
        session.pinned = 0;
        session.generation = 0;
    }
    delivered.state = session.state;
    const ConnectionId id = connection.id;
    if (endsTransaction) {
        connection.owner = 0;
        if (connection.hasUnknownState)
            this->dropConnection(id);
    }
    this->finish(session, delivered, now);
    if (PooledConnection *kept = this->targetTracker.connection(id);
        endsTransaction && kept != nullptr && kept->owner == 0 && kept->awaited.empty())
        this->release(*kept, now);
}

void SessionPooler::statementFailed(Session &session, PooledConnection &connection,
                                    const StatementAnswer &answer, TimePoint now)
{
    PendingStatement &pending = *session.pending;
    const StatementFault fault = *answer.fault;
    pending.lastFault = fault;
    const TargetId target = connection.target;
    const bool inTransaction = session.pinned != 0;
    const bool mayMove = pending.isFirst && pending.statement.kind != TextStatementKind::Commit;
    const bool mayRepeat = didNotRun(fault) || (fault == StatementFault::Failed && !pending.writes);
    if (inTransaction && fault == StatementFault::Busy && answer.state == TransactionState::Open
        && pending.attempts < this->settings.maxAttempts && this->retries.tryTake()) {
        pending.stage = StatementStage::Paused;
        pending.resumeAt = now + this->settings.busyBackoff;
        return;
    }
    if (inTransaction) {
        // The target's answer tells whether a transaction is still open there.
        connection.inTransaction = answer.state != TransactionState::None;
        this->unpin(session, !connection.hasUnknownState, now);
    } else {
        connection.owner = 0;
        if (connection.hasUnknownState)
            this->dropConnection(connection.id);
        else
            this->release(connection, now);
    }
    if (mayMove && mayRepeat && this->retryElsewhere(session, fault, target, now))
        return;
    if (session.state == TransactionState::Open)
        session.state = pending.statement.kind == TextStatementKind::Commit
                            ? TransactionState::None
                            : TransactionState::Failed;
    StatementAnswer delivered = answer;
    delivered.rows.clear();
    delivered.state = session.state;
    this->finish(session, delivered, now);
}

// Retries the statement at another target, or at the same one later. False when its deadline or the
// retry limits do not allow it.
bool SessionPooler::retryElsewhere(Session &session, StatementFault fault, const TargetId &target,
                                   TimePoint now)
{
    PendingStatement &pending = *session.pending;
    // A lagging or busy target did no work for the statement, so the retry is not counted.
    const bool isFreeRetry = fault == StatementFault::Lagging || fault == StatementFault::Busy;
    if (now >= pending.queueDeadline
        || (!isFreeRetry
            && (pending.attempts >= this->settings.maxAttempts || !this->retries.tryTake())))
        return false;
    if (isFreeRetry)
        --pending.attempts;
    // A busy or lagging target has a backoff of its own; any other is excluded from this statement.
    if (!isFreeRetry)
        pending.tried.insert(target);
    this->hooks.event("retry",
                      {{"request", pending.statement.id},
                       {"target", target.value},
                       {"fault", std::string(nameOf(fault))},
                       {"attempts", absl::StrCat(pending.attempts)}},
                      true);
    if (!isFreeRetry && this->candidates(session, now).empty()) {
        pending.tried.clear();
        pending.stage = StatementStage::Paused;
        pending.resumeAt = now + this->settings.busyBackoff;
        return true;
    }
    this->requeue(session, now);
    return true;
}

void SessionPooler::requeue(Session &session, TimePoint now)
{
    session.pending->isFirst = true;
    this->dispatch(session, now);
}

// Lost connections.

void SessionPooler::targetClosed(ConnectionId id, TargetFailure failure, TimePoint now)
{
    PooledConnection *connection = this->targetTracker.connection(id);
    if (connection == nullptr)
        return;
    const PooledConnection lost = *connection;
    this->targetTracker.removeConnection(id);
    const TargetRecord *record = this->targetTracker.find(lost.target);
    const ObservedState before = record != nullptr ? record->state : ObservedState::Alive;
    this->targetTracker.markFailed(lost.target, failure, now);
    if (record != nullptr && record->state != before)
        this->hooks.observationsChanged();
    this->hooks.event("target_connection_lost",
                      {{"target", lost.target.value},
                       {"failure", std::string(nameOf(failure))},
                       {"owed", absl::StrCat(lost.awaited.size())}},
                      false);
    const RouteTable &routes = this->view.routes();
    const bool isKnown = lost.team.empty() ? !routes.hasTeams : routes.teams.count(lost.team) != 0;
    // A new attempt shows whether the target is down or only the connection was lost.
    if (isKnown && record != nullptr && record->connections.empty()
        && failure == TargetFailure::Reset && record->target.phase == TargetPhase::Ready)
        this->openIfAllowed(lost.target, lost.team, now);
    const auto owner = this->sessions.find(lost.owner);
    if (owner != this->sessions.end()) {
        Session &session = owner->second;
        session.lostTarget = lost.target;
        this->connectionLost(session, now);
    }
    this->dispatchQueue(now);
}

void SessionPooler::connectionLost(Session &session, TimePoint now)
{
    const bool inTransaction = session.pinned != 0;
    const bool wrote = session.transactionWrote;
    session.pinned = 0;
    session.generation = 0;
    if (!session.pending || session.pending->stage == StatementStage::Queued) {
        session.abortPending = inTransaction;
        return;
    }
    PendingStatement &pending = *session.pending;
    const bool isCommit = pending.statement.kind == TextStatementKind::Commit;
    const bool isOpenTransaction = session.state == TransactionState::Open;
    // An uncommitted transaction has no effect, but a write outside a transaction may have one.
    const bool mayMove =
        pending.stage != StatementStage::Sent
        || (pending.isFirst && !isCommit && (isOpenTransaction || !pending.writes));
    if (mayMove && pending.isFirst
        && this->retryElsewhere(session, StatementFault::Aborted, session.lostTarget, now))
        return;
    const bool inDoubt = pending.stage == StatementStage::Sent
                         && ((isCommit && wrote) || (!isOpenTransaction && pending.writes));
    this->refuse(session, inDoubt ? StatementFault::InDoubt : StatementFault::Aborted,
                 "connection lost", now);
}

// Time.

void SessionPooler::expirePending(Session &session, TimePoint now)
{
    PendingStatement &pending = *session.pending;
    switch (pending.stage) {
    case StatementStage::Paused:
        if (now < pending.resumeAt)
            return;
        if (session.pinned != 0)
            this->sendOnPinned(session, now);
        else
            this->dispatch(session, now);
        return;
    case StatementStage::AwaitingToken:
        if (now < pending.resumeAt)
            return;
        this->stopAwaiting(session);
        this->refuseWithoutToken(session, TokenShortage::Awaited, now);
        return;
    case StatementStage::Queued:
        if (now < pending.queueDeadline)
            return;
        this->refuse(session, notRunFault(pending.lastFault), "no connection in time", now);
        return;
    case StatementStage::Beginning:
    case StatementStage::Sent:
        if (now >= pending.deadline)
            this->expireSent(session, now);
        return;
    }
}

// The target did not answer in time, so whether the statement ran is unknown.
void SessionPooler::expireSent(Session &session, TimePoint now)
{
    if (session.pinned != 0) {
        this->refuse(session, StatementFault::Timeout, "no answer in time", now);
        return;
    }
    for (auto &[id, connection] : this->targetTracker.connections()) {
        if (connection.owner != session.number)
            continue;
        connection.owner = 0;
        for (AwaitedAnswer &awaited : connection.awaited)
            awaited.session = 0;
    }
    this->refuse(session, StatementFault::Timeout, "no answer in time", now);
}

// The fault for a statement that was never run: the last one seen, or Busy if that one does not
// guarantee it or is NoSuchName.
StatementFault SessionPooler::notRunFault(StatementFault fault)
{
    return didNotRun(fault) && fault != StatementFault::NoSuchName ? fault : StatementFault::Busy;
}

void SessionPooler::expireGroupsInUse(TimePoint now)
{
    for (auto entry = this->groupsInUse.begin(); entry != this->groupsInUse.end();) {
        if (now < entry->second + this->settings.groupUseTimeout) {
            ++entry;
            continue;
        }
        const GroupId group = entry->first;
        entry = this->groupsInUse.erase(entry);
        const auto &members = this->targetTracker.group(group).members;
        const auto connected =
            std::count_if(members.begin(), members.end(), [this](const TargetRecord *record) {
                return !record->connections.empty() && !this->isWanted(*record);
            });
        if (connected > 0)
            this->hooks.event("group_unused",
                              {{"group", group.value}, {"targets", absl::StrCat(connected)}}, true);
    }
}

void SessionPooler::expireConnections(TimePoint now)
{
    std::vector<std::pair<ConnectionId, TargetFailure>> ended;
    std::vector<ConnectionId> surplus;
    for (const auto &[id, connection] : this->targetTracker.connections()) {
        if (connection.phase == ConnectionPhase::Connecting) {
            if (now >= connection.connectDeadline)
                ended.emplace_back(id, TargetFailure::Silent);
        } else if (!connection.awaited.empty()) {
            if (now >= connection.awaited.front().sentAt + OrphanedAnswerTimeout)
                ended.emplace_back(id, TargetFailure::Silent);
        } else if (connection.phase == ConnectionPhase::Idle) {
            const TargetRecord *record = this->targetTracker.find(connection.target);
            const bool leaves = record == nullptr || record->target.phase != TargetPhase::Ready;
            if (leaves || this->isSurplus(connection, *record, now))
                surplus.push_back(id);
        }
    }
    for (const auto &[id, failure] : ended) {
        this->hooks.closeTarget(id);
        this->targetClosed(id, failure, now);
    }
    // The end of another connection may have let a queued statement start on one of these.
    for (const ConnectionId id : surplus) {
        const PooledConnection *connection = this->targetTracker.connection(id);
        if (connection != nullptr && connection->phase == ConnectionPhase::Idle)
            this->dropConnection(id);
    }
}

} // namespace rhubarbweir
