// The part of GroupHolder that handles target replies, confirmations and lost connections.
#include "rhubarbweir/coordination/proxy/group_holder.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// Maximum number of statements sent for one read.
constexpr std::uint32_t MaxReadAttempts = 12;
// Delay before a request is dispatched again after NotPrimary; a newer view may not exist yet.
constexpr Duration NotPrimaryPause = std::chrono::milliseconds(20);

// Log position that covers the effect of the statement.
LogPosition positionOf(const StatementReply &message)
{
    return message.position.position != 0 ? message.position : message.status.received;
}

} // namespace

void GroupHolder::handleReply(Generation generation, const StatementReply &message, TimePoint now)
{
    const auto found = this->running.find(generation);
    const bool isOwn = found != this->running.end()
                       && keyOf(this->pendingRequests.at(found->second).request) == message.request
                       && message.generation == generation;
    if (!isOwn) {
        // A reply to no statement in flight: later replies on the connection cannot be matched
        // reliably either.
        this->pool.discard(generation);
        this->handleConnectionLost(generation, now);
        return;
    }
    this->receiveStatus(message.status, now);
    PendingRequest &pending = this->pendingRequests.at(found->second);
    this->running.erase(found);
    if (pending.isInTransaction()) {
        this->handleTransactionReply(pending, message, now);
        return;
    }
    this->queueOf(pending).recordServiceTime(
        std::chrono::duration_cast<Duration>(now - pending.sentAt));
    if (pending.request.kind == RequestKind::Begin && message.result == StatementResult::Ok) {
        this->handleBeginReply(pending, message, now);
        return;
    }
    this->pool.release(generation);
    this->handlePlainReply(pending, message, now);
}

void GroupHolder::handlePlainReply(PendingRequest &pending, const StatementReply &message,
                                   TimePoint now)
{
    switch (message.result) {
    case StatementResult::Ok:
        if (pending.isRead())
            this->handleReadReply(pending, message, now);
        else
            this->awaitConfirmation(pending, Outcome::Ok, Reason::None, message);
        return;
    case StatementResult::Behind:
        this->requeue(pending);
        if (pending.attempts >= MaxReadAttempts)
            this->finish(pending, Outcome::NotRun, Reason::ReplicasBehind, now);
        return;
    case StatementResult::NotPrimary:
        pending.notBefore = now + NotPrimaryPause;
        this->requeue(pending);
        return;
    case StatementResult::Sealed:
        this->awaitConfirmation(pending, Outcome::NotRun, Reason::Sealed, message);
        return;
    case StatementResult::Refused:
        this->finish(pending, pending.asksOutcome ? Outcome::OutcomeUnknown : Outcome::Failed,
                     Reason::RefusedByTarget, now);
        return;
    case StatementResult::DeadlinePassed:
        this->finish(pending, Outcome::NotRun, Reason::DeadlinePassed, now);
        return;
    case StatementResult::TransactionEnded:
        this->finish(pending, Outcome::NotRun, Reason::TransactionEnded, now);
        return;
    }
}

void GroupHolder::handleReadReply(PendingRequest &pending, const StatementReply &message,
                                  TimePoint now)
{
    const auto minimum = this->planner.minimumFor(pending, now);
    const bool isFresh =
        pending.isFallback ? minimum.has_value() : minimum && covers(message.position, *minimum);
    if (!isFresh) {
        pending.mayHaveRun = true;
        this->requeue(pending);
        if (pending.attempts >= MaxReadAttempts)
            this->finish(pending, Outcome::NotRun, Reason::ReplicasBehind, now);
        return;
    }
    // The primary may have read an entry that no majority holds yet and that a failover would
    // lose, so a latest read waits for confirmation like a write.
    if (pending.isFallback && pending.request.consistency == Consistency::Latest) {
        this->planner.fallbackEnded();
        pending.isFallback = false;
        this->awaitConfirmation(pending, Outcome::Ok, Reason::None, message);
        return;
    }
    CallerAnswer answer = makeAnswer(pending.request, Outcome::Ok, Reason::None);
    answer.value = message.value;
    answer.servedBy = message.status.target;
    answer.servedByReplica = !pending.isFallback;
    answer.position = message.position;
    answer.token.observe(pending.request.group, message.position);
    this->finish(pending, std::move(answer), now);
}

void GroupHolder::awaitConfirmation(PendingRequest &pending, Outcome outcome, Reason reason,
                                    const StatementReply &message)
{
    const LogPosition position = positionOf(message);
    pending.answer = makeAnswer(pending.request, outcome, reason);
    pending.answer.value = message.value;
    pending.answer.servedBy = message.status.target;
    pending.answer.position = position;
    if (outcome == Outcome::Ok)
        pending.answer.token.observe(pending.request.group, position);
    pending.stage = RequestStage::Confirming;
    this->confirmation.add(pending.ticket, pending.term, position);
}

void GroupHolder::handleBeginReply(PendingRequest &pending, const StatementReply &message,
                                   TimePoint now)
{
    const RequestKey key = pending.transactionKey();
    // A repeated Begin with the same id replaces the former transaction.
    this->abortTransaction(key, now);
    OpenTransaction open;
    open.entryProxy = pending.entryProxy;
    open.generation = message.generation;
    open.term = pending.term;
    open.deadline = now + this->settings.transactionLimit;
    open.idleUntil = now + this->settings.transactionIdleLimit;
    this->transactions.open(key, std::move(open));
    CallerAnswer answer = makeAnswer(pending.request, Outcome::Ok, Reason::None);
    answer.servedBy = message.status.target;
    this->finish(pending, std::move(answer), now);
}

void GroupHolder::handleTransactionReply(PendingRequest &pending, const StatementReply &message,
                                         TimePoint now)
{
    const RequestKey key = pending.transactionKey();
    OpenTransaction *open = this->transactions.find(key);
    open->running = 0;
    open->idleUntil = now + this->settings.transactionIdleLimit;
    const RequestKind kind = pending.request.kind;
    const bool isOk = message.result == StatementResult::Ok;
    if (isOk && (kind == RequestKind::Commit || kind == RequestKind::Rollback)) {
        const auto waiting = open->waiting;
        this->transactions.erase(key);
        this->pool.release(message.generation);
        for (const Ticket ticket : waiting)
            this->finish(this->pendingRequests.at(ticket), Outcome::NotRun,
                         Reason::TransactionEnded, now);
        if (kind == RequestKind::Commit)
            this->awaitConfirmation(pending, Outcome::Ok, Reason::None, message);
        else
            this->finish(pending, Outcome::Ok, Reason::None, now);
        return;
    }
    if (isOk) {
        CallerAnswer answer = makeAnswer(pending.request, Outcome::Ok, Reason::None);
        answer.value = message.value;
        answer.servedBy = message.status.target;
        this->finish(pending, std::move(answer), now);
        this->runNextStatement(key, now);
        return;
    }
    if (message.result == StatementResult::Refused && kind != RequestKind::Commit) {
        this->finish(pending, Outcome::Failed, Reason::RefusedByTarget, now);
        this->runNextStatement(key, now);
        return;
    }
    this->abortTransaction(key, now);
    if (message.result == StatementResult::Sealed)
        this->awaitConfirmation(pending, Outcome::NotRun, Reason::Sealed, message);
    else if (message.result == StatementResult::Refused)
        this->finish(pending, Outcome::Failed, Reason::RefusedByTarget, now);
    else
        this->finish(pending, Outcome::NotRun, Reason::TransactionEnded, now);
}

void GroupHolder::receiveStatus(const TargetStatus &status, TimePoint now)
{
    this->pool.updateStatus(status, now);
    this->readIndex.receive(status, now);
    this->confirmation.receive(status, now);
}

void GroupHolder::completeRound(TimePoint now)
{
    const auto round = this->readIndex.takeCompleted(now);
    if (!round)
        return;
    this->planner.roundCompleted(*round);
    for (auto &[ticket, pending] : this->pendingRequests) {
        const bool waits = pending.isRead() && pending.request.consistency == Consistency::Latest;
        if (waits && !pending.index && pending.arrivedAt <= round->startedAt)
            pending.index = round->index;
    }
}

void GroupHolder::finishConfirmed(TimePoint now)
{
    for (const Ticket ticket : this->confirmation.takeConfirmed()) {
        PendingRequest &pending = this->pendingRequests.at(ticket);
        this->finish(pending, std::move(pending.answer), now);
    }
    for (const Ticket ticket : this->confirmation.takeSuperseded())
        this->handleReplyLost(this->pendingRequests.at(ticket), now);
}

void GroupHolder::handleConnectionLost(Generation generation, TimePoint now)
{
    for (const RequestKey &key : this->transactions.onConnection(generation))
        this->abortTransaction(key, now);
    const auto found = this->running.find(generation);
    if (found == this->running.end())
        return;
    PendingRequest &pending = this->pendingRequests.at(found->second);
    this->running.erase(found);
    this->handleReplyLost(pending, now);
}

void GroupHolder::handleReplyLost(PendingRequest &pending, TimePoint now)
{
    const RequestKind kind = pending.request.kind;
    // A Begin has no effect once its connection is lost, so it can simply run again.
    if (kind != RequestKind::Begin)
        pending.mayHaveRun = true;
    const bool isSameStatement = pending.isRead() || kind == RequestKind::Begin
                                 || kind == RequestKind::AskOutcome
                                 || (pending.request.repeatable && !pending.isInTransaction());
    if (!isSameStatement) {
        pending.asksOutcome = true;
        this->report(ProxyEventKind::OutcomeAsked, keyOf(pending.request), Reason::ConnectionLost);
    }
    this->requeue(pending);
    if (pending.isRead() && pending.attempts >= MaxReadAttempts)
        this->finish(pending, Outcome::OutcomeUnknown, Reason::ConnectionLost, now);
}

void GroupHolder::requeue(PendingRequest &pending)
{
    if (pending.isFallback)
        this->planner.fallbackEnded();
    pending.isFallback = false;
    pending.stage = RequestStage::Queued;
    this->queueOf(pending).pushFront({pending.ticket, pending.request.caller, pending.deadline});
}

void GroupHolder::abortTransaction(const RequestKey &key, TimePoint now)
{
    const OpenTransaction *found = this->transactions.find(key);
    if (found == nullptr)
        return;
    const OpenTransaction open = *found;
    this->transactions.erase(key);
    this->pool.discard(open.generation);
    this->running.erase(open.generation);
    for (const Ticket ticket : open.waiting)
        this->finish(this->pendingRequests.at(ticket), Outcome::NotRun, Reason::TransactionEnded,
                     now);
    this->report(ProxyEventKind::TransactionEnded, key);
    if (open.running == 0)
        return;
    PendingRequest &pending = this->pendingRequests.at(open.running);
    if (pending.request.kind == RequestKind::Commit)
        this->handleReplyLost(pending, now);
    else
        this->finish(pending, Outcome::NotRun, Reason::TransactionEnded, now);
}

void GroupHolder::abandonOlderTerms(TimePoint now)
{
    for (const RequestKey &key : this->transactions.beforeTerm(this->view.term))
        this->abortTransaction(key, now);
    std::vector<Generation> superseded;
    for (const auto &[generation, ticket] : this->running) {
        const PendingRequest &pending = this->pendingRequests.at(ticket);
        const bool usesPrimary = !pending.isRead() || pending.isFallback;
        if (usesPrimary && pending.term < this->view.term)
            superseded.push_back(generation);
    }
    for (const Generation generation : superseded) {
        this->pool.discard(generation);
        this->handleConnectionLost(generation, now);
    }
}

} // namespace rhubarbweir
