// The part of GroupHolder that handles what targets answer and what is lost.
#include "rhubarbweir/coordination/proxy/group_holder.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// Statements sent for one read before it is given up.
constexpr std::uint32_t MaxReadAttempts = 12;
// Pause before a primary that refused its role is tried again without a newer view.
constexpr Duration NotPrimaryPause = std::chrono::milliseconds(20);

// Where the effect of a reply stands in the log.
LogPosition positionOf(const StatementReply &message)
{
    return message.position.position != 0 ? message.position : message.status.received;
}

} // namespace

void GroupHolder::reply(Generation generation, const StatementReply &message, TimePoint now)
{
    const auto found = this->running.find(generation);
    const bool isOwn = found != this->running.end()
                       && keyOf(this->works.at(found->second).request) == message.request
                       && message.generation == generation;
    if (!isOwn) {
        // An answer that nobody on this connection waits for: nothing on it can be trusted.
        this->pool.discard(generation);
        this->connectionLost(generation, now);
        return;
    }
    this->receiveStatus(message.status, now);
    HolderWork &work = this->works.at(found->second);
    this->running.erase(found);
    if (work.isInTransaction()) {
        this->transactionReply(work, message, now);
        return;
    }
    this->queueOf(work).served(std::chrono::duration_cast<Duration>(now - work.sentAt));
    if (work.request.kind == RequestKind::Begin && message.result == StatementResult::Ok) {
        this->beginReply(work, message, now);
        return;
    }
    this->pool.release(generation);
    this->plainReply(work, message, now);
}

void GroupHolder::plainReply(HolderWork &work, const StatementReply &message, TimePoint now)
{
    switch (message.result) {
    case StatementResult::Ok:
        if (work.isRead())
            this->readDone(work, message, now);
        else
            this->awaitConfirmation(work, Outcome::Ok, Reason::None, message);
        return;
    case StatementResult::Behind:
        this->requeue(work);
        if (work.attempts >= MaxReadAttempts)
            this->finish(work, Outcome::NotRun, Reason::ReplicasBehind, now);
        return;
    case StatementResult::NotPrimary:
        work.notBefore = now + NotPrimaryPause;
        this->requeue(work);
        return;
    case StatementResult::Sealed:
        this->awaitConfirmation(work, Outcome::NotRun, Reason::Sealed, message);
        return;
    case StatementResult::Refused:
        this->finish(work, work.asksOutcome ? Outcome::OutcomeUnknown : Outcome::Failed,
                     Reason::RefusedByTarget, now);
        return;
    case StatementResult::DeadlinePassed:
        this->finish(work, Outcome::NotRun, Reason::DeadlinePassed, now);
        return;
    case StatementResult::TransactionEnded:
        this->finish(work, Outcome::NotRun, Reason::TransactionEnded, now);
        return;
    }
}

void GroupHolder::readDone(HolderWork &work, const StatementReply &message, TimePoint now)
{
    const auto minimum = this->planner.minimumFor(work, now);
    const bool isFresh =
        work.isFallback ? minimum.has_value() : minimum && covers(message.position, *minimum);
    if (!isFresh) {
        work.mayHaveRun = true;
        this->requeue(work);
        if (work.attempts >= MaxReadAttempts)
            this->finish(work, Outcome::NotRun, Reason::ReplicasBehind, now);
        return;
    }
    // What the primary shows may be lost with it until a majority holds it.
    if (work.isFallback && work.request.consistency == Consistency::Latest) {
        this->planner.fallbackEnded();
        work.isFallback = false;
        this->awaitConfirmation(work, Outcome::Ok, Reason::None, message);
        return;
    }
    CallerAnswer answer = makeAnswer(work.request, Outcome::Ok, Reason::None);
    answer.value = message.value;
    answer.servedBy = message.status.target;
    answer.servedByReplica = !work.isFallback;
    answer.position = message.position;
    answer.token.observe(work.request.group, message.position);
    this->finish(work, std::move(answer), now);
}

void GroupHolder::awaitConfirmation(HolderWork &work, Outcome outcome, Reason reason,
                                    const StatementReply &message)
{
    const LogPosition position = positionOf(message);
    work.answer = makeAnswer(work.request, outcome, reason);
    work.answer.value = message.value;
    work.answer.servedBy = message.status.target;
    work.answer.position = position;
    if (outcome == Outcome::Ok)
        work.answer.token.observe(work.request.group, position);
    work.stage = WorkStage::Confirming;
    this->confirmation.add(work.ticket, work.term, position);
}

void GroupHolder::beginReply(HolderWork &work, const StatementReply &message, TimePoint now)
{
    const RequestKey key = work.transactionKey();
    // A second Begin of the same id starts over.
    this->end(key, now);
    OpenTransaction open;
    open.entry = work.entry;
    open.generation = message.generation;
    open.term = work.term;
    open.deadline = now + this->settings.transactionLimit;
    open.idleUntil = now + this->settings.transactionIdleLimit;
    this->transactions.open(key, std::move(open));
    CallerAnswer answer = makeAnswer(work.request, Outcome::Ok, Reason::None);
    answer.servedBy = message.status.target;
    this->finish(work, std::move(answer), now);
}

void GroupHolder::transactionReply(HolderWork &work, const StatementReply &message, TimePoint now)
{
    const RequestKey key = work.transactionKey();
    OpenTransaction *open = this->transactions.find(key);
    open->running = 0;
    open->idleUntil = now + this->settings.transactionIdleLimit;
    const RequestKind kind = work.request.kind;
    const bool isOk = message.result == StatementResult::Ok;
    if (isOk && (kind == RequestKind::Commit || kind == RequestKind::Rollback)) {
        const auto waiting = open->waiting;
        this->transactions.erase(key);
        this->pool.release(message.generation);
        for (const Ticket ticket : waiting)
            this->finish(this->works.at(ticket), Outcome::NotRun, Reason::TransactionEnded, now);
        if (kind == RequestKind::Commit)
            this->awaitConfirmation(work, Outcome::Ok, Reason::None, message);
        else
            this->finish(work, Outcome::Ok, Reason::None, now);
        return;
    }
    if (isOk) {
        CallerAnswer answer = makeAnswer(work.request, Outcome::Ok, Reason::None);
        answer.value = message.value;
        answer.servedBy = message.status.target;
        this->finish(work, std::move(answer), now);
        this->runNext(key, now);
        return;
    }
    if (message.result == StatementResult::Refused && kind != RequestKind::Commit) {
        this->finish(work, Outcome::Failed, Reason::RefusedByTarget, now);
        this->runNext(key, now);
        return;
    }
    this->end(key, now);
    if (message.result == StatementResult::Sealed)
        this->awaitConfirmation(work, Outcome::NotRun, Reason::Sealed, message);
    else if (message.result == StatementResult::Refused)
        this->finish(work, Outcome::Failed, Reason::RefusedByTarget, now);
    else
        this->finish(work, Outcome::NotRun, Reason::TransactionEnded, now);
}

void GroupHolder::receiveStatus(const TargetStatus &status, TimePoint now)
{
    this->pool.heard(status, now);
    this->readIndex.receive(status, now);
    this->confirmation.receive(status, now);
}

void GroupHolder::completeRound(TimePoint now)
{
    const auto round = this->readIndex.takeCompleted(now);
    if (!round)
        return;
    this->planner.roundCompleted(*round);
    for (auto &[ticket, work] : this->works) {
        const bool waits = work.isRead() && work.request.consistency == Consistency::Latest;
        if (waits && !work.index && work.arrivedAt <= round->startedAt)
            work.index = round->index;
    }
}

void GroupHolder::confirm(TimePoint now)
{
    for (const Ticket ticket : this->confirmation.takeConfirmed()) {
        HolderWork &work = this->works.at(ticket);
        this->finish(work, std::move(work.answer), now);
    }
    for (const Ticket ticket : this->confirmation.takeOvertaken())
        this->replyLost(this->works.at(ticket), now);
}

void GroupHolder::connectionLost(Generation generation, TimePoint now)
{
    for (const RequestKey &key : this->transactions.on(generation))
        this->end(key, now);
    const auto found = this->running.find(generation);
    if (found == this->running.end())
        return;
    HolderWork &work = this->works.at(found->second);
    this->running.erase(found);
    this->replyLost(work, now);
}

void GroupHolder::replyLost(HolderWork &work, TimePoint now)
{
    const RequestKind kind = work.request.kind;
    // A transaction that was just begun ended with its connection.
    if (kind != RequestKind::Begin)
        work.mayHaveRun = true;
    const bool isSameStatement = work.isRead() || kind == RequestKind::Begin
                                 || kind == RequestKind::AskOutcome
                                 || (work.request.repeatable && !work.isInTransaction());
    if (!isSameStatement) {
        work.asksOutcome = true;
        this->report(ProxyEventKind::OutcomeAsked, keyOf(work.request), Reason::ConnectionLost);
    }
    this->requeue(work);
    if (work.isRead() && work.attempts >= MaxReadAttempts)
        this->finish(work, Outcome::OutcomeUnknown, Reason::ConnectionLost, now);
}

void GroupHolder::requeue(HolderWork &work)
{
    if (work.isFallback)
        this->planner.fallbackEnded();
    work.isFallback = false;
    work.stage = WorkStage::Queued;
    this->queueOf(work).pushFront({work.ticket, work.request.caller, work.deadline});
}

void GroupHolder::end(const RequestKey &key, TimePoint now)
{
    const OpenTransaction *found = this->transactions.find(key);
    if (found == nullptr)
        return;
    const OpenTransaction open = *found;
    this->transactions.erase(key);
    this->pool.discard(open.generation);
    this->running.erase(open.generation);
    for (const Ticket ticket : open.waiting)
        this->finish(this->works.at(ticket), Outcome::NotRun, Reason::TransactionEnded, now);
    this->report(ProxyEventKind::TransactionEnded, key);
    if (open.running == 0)
        return;
    HolderWork &work = this->works.at(open.running);
    if (work.request.kind == RequestKind::Commit)
        this->replyLost(work, now);
    else
        this->finish(work, Outcome::NotRun, Reason::TransactionEnded, now);
}

void GroupHolder::leaveTerm(TimePoint now)
{
    for (const RequestKey &key : this->transactions.beforeTerm(this->view.term))
        this->end(key, now);
    std::vector<Generation> overtaken;
    for (const auto &[generation, ticket] : this->running) {
        const HolderWork &work = this->works.at(ticket);
        const bool usesPrimary = !work.isRead() || work.isFallback;
        if (usesPrimary && work.term < this->view.term)
            overtaken.push_back(generation);
    }
    for (const Generation generation : overtaken) {
        this->pool.discard(generation);
        this->connectionLost(generation, now);
    }
}

} // namespace rhubarbweir
