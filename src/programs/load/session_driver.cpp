// Operations of a session and the handling of their answers. See session_driver.hpp; connections
// are in session_connections.cpp.
#include "programs/load/session_driver.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

bool isRead(OperationKind kind)
{
    return kind == OperationKind::BoundedRead || kind == OperationKind::SessionRead
           || kind == OperationKind::LatestRead;
}

Consistency consistencyOf(OperationKind kind)
{
    if (kind == OperationKind::BoundedRead)
        return Consistency::Bounded;
    return kind == OperationKind::LatestRead ? Consistency::Latest : Consistency::Session;
}

} // namespace

SessionDriver::SessionDriver(LoadContext &loadContext, std::size_t number)
    : context(loadContext)
    , caller(absl::StrCat("caller-", number))
    , proxy(number % loadContext.settings.proxies.size())
{
}

void SessionDriver::open(DoneCallback done)
{
    this->onOpened = std::move(done);
    this->connect();
}

void SessionDriver::close()
{
    this->isClosing = true;
    if (this->currentLink && this->currentLink->connection && !this->currentLink->isLost)
        this->currentLink->connection->close(CloseReason::Normal);
}

void SessionDriver::perform(const PlannedOperation &planned, DoneCallback done)
{
    auto operation = std::make_shared<Operation>();
    operation->planned = planned;
    operation->startedAt = EventLoop::now();
    operation->deadline = operation->startedAt + this->context.settings.deadline;
    operation->done = std::move(done);
    if (isRead(planned.kind)) {
        const auto keys = this->context.checker.keysOf(this->session, planned.group);
        operation->key = keys[this->context.workload.pickIndex(keys.size())];
    } else if (!this->chooseWrites(*operation)) {
        this->context.measurements.count("skipped_keys_busy");
        operation->done();
        return;
    }
    if (planned.changesProxy) {
        this->context.measurements.count("roamed");
        this->moveToOtherProxy();
    }
    ++this->operations;
    this->startAttempt(operation);
}

void SessionDriver::checkFinalValues(const DoneCallback &done)
{
    this->finalRead(this->context.checker.allKeysOf(this->session), done);
}

// Chooses keys without a write in progress; false if there are too few.
bool SessionDriver::chooseWrites(Operation &operation)
{
    std::vector<std::string> free;
    for (const std::string &key :
         this->context.checker.keysOf(this->session, operation.planned.group)) {
        if (!this->context.checker.isBusy(key))
            free.push_back(key);
    }
    if (free.size() < operation.planned.statements)
        return false;
    std::shuffle(free.begin(), free.end(), this->context.workload.generator());
    for (std::size_t index = 0; index < operation.planned.statements; ++index)
        operation.writes.push_back(this->context.checker.beginWrite(free[index]));
    operation.key = operation.writes.front().key;
    return true;
}

void SessionDriver::startAttempt(const OperationPtr &operation)
{
    ++operation->attempts;
    if (operation->planned.kind == OperationKind::Transaction) {
        operation->transaction = 0;
        operation->sentStatements = 0;
        if (!this->currentLink)
            this->connect();
        operation->link = this->currentLink;
        ++operation->link->transactions;
        CallerRequest request = this->requestFor(*operation, RequestKind::Begin);
        request.key.clear();
        this->send(operation, std::move(request), operation->deadline, operation->link);
        return;
    }
    if (operation->planned.kind == OperationKind::AskOutcome) {
        CallerRequest request = this->requestFor(*operation, RequestKind::AskOutcome);
        request.askedRequestId = operation->queriedRequestId;
        this->send(operation, std::move(request),
                   EventLoop::now() + this->context.settings.deadline);
        return;
    }
    const bool reads = isRead(operation->planned.kind);
    CallerRequest request =
        this->requestFor(*operation, reads ? RequestKind::Read : RequestKind::Write);
    if (reads) {
        request.consistency = consistencyOf(operation->planned.kind);
        request.repeatable = true;
    } else {
        request.value = operation->writes.front().value;
        request.operation = operation->writes.front().operation;
        request.repeatable = request.operation == WriteOperation::Set;
    }
    this->send(operation, std::move(request), operation->deadline);
}

void SessionDriver::continueTransaction(const OperationPtr &operation)
{
    const bool isComplete = operation->sentStatements == operation->writes.size();
    CallerRequest request =
        this->requestFor(*operation, isComplete ? RequestKind::Commit : RequestKind::Write);
    request.key.clear();
    if (!isComplete) {
        const PlannedWrite &write = operation->writes[operation->sentStatements++];
        request.key = write.key;
        request.value = write.value;
        request.operation = write.operation;
    }
    this->send(operation, std::move(request), operation->deadline, operation->link);
}

void SessionDriver::handleAnswer(const PendingRequest &entry, const CallerAnswer &answer)
{
    if (entry.request.kind == RequestKind::Rollback)
        return;
    switch (entry.operation->planned.kind) {
    case OperationKind::Write:
        this->handleWriteAnswer(entry, answer);
        return;
    case OperationKind::Transaction:
        this->handleTransactionAnswer(entry, answer);
        return;
    case OperationKind::AskOutcome:
        this->handleOutcomeAnswer(entry, answer);
        return;
    default:
        this->handleReadAnswer(entry, answer);
    }
}

void SessionDriver::handleReadAnswer(const PendingRequest &entry, const CallerAnswer &answer)
{
    const OperationPtr &operation = entry.operation;
    const bool isRepeated = operation->isFinalRead && answer.outcome != Outcome::Ok;
    if (isRepeated) {
        this->context.measurements.count(absl::StrCat("final_read_",
                                                      std::string(nameOf(answer.outcome)), "_",
                                                      std::string(nameOf(answer.reason))));
    }
    if (answer.outcome == Outcome::NotRun || isRepeated) {
        this->retryOrEnd(operation, answer.outcome, answer.reason, answer.retryAfter);
        return;
    }
    if (answer.outcome == Outcome::Ok && operation->isFinalRead) {
        this->context.checker.checkFinalRead(entry.request.key, answer.value);
    } else if (answer.outcome == Outcome::Ok) {
        this->context.checker.checkRead(entry.request, answer, entry.expectation);
        this->context.measurements.readServed(answer.servedByReplica);
        this->context.measurements.count(absl::StrCat("reads_by ", answer.servedBy.value));
    }
    this->end(operation, answer.outcome, answer.reason);
}

void SessionDriver::handleWriteAnswer(const PendingRequest &entry, const CallerAnswer &answer)
{
    const OperationPtr &operation = entry.operation;
    const std::uint64_t id = entry.request.requestId;
    switch (answer.outcome) {
    case Outcome::Ok:
        this->finishWrites(operation, id, WriteEffect::Ran);
        break;
    case Outcome::NotRun:
        this->context.checker.recordNotRun(keyOf(entry.request), entry.request.group);
        this->retryOrEnd(operation, answer.outcome, answer.reason, answer.retryAfter);
        return;
    case Outcome::Failed:
        this->finishWrites(operation, id, WriteEffect::None);
        break;
    case Outcome::OutcomeUnknown:
        this->askOutcome(operation, id);
        break;
    }
    this->end(operation, answer.outcome, answer.reason);
}

void SessionDriver::handleTransactionAnswer(const PendingRequest &entry, const CallerAnswer &answer)
{
    const OperationPtr &operation = entry.operation;
    const std::uint64_t id = entry.request.requestId;
    const bool isCommit = entry.request.kind == RequestKind::Commit;
    if (answer.outcome == Outcome::Ok && !isCommit) {
        if (entry.request.kind == RequestKind::Begin)
            operation->transaction = id;
        this->continueTransaction(operation);
        return;
    }
    if (isCommit) {
        --operation->link->transactions;
        this->handleWriteAnswer(entry, answer);
        return;
    }
    this->abandonTransaction(entry);
    if (answer.outcome == Outcome::NotRun) {
        this->retryOrEnd(operation, answer.outcome, answer.reason, answer.retryAfter);
        return;
    }
    this->finishWrites(operation, id, WriteEffect::None);
    this->end(operation, answer.outcome, answer.reason);
}

// Records that the transaction has no effect, as its Commit was never sent, and rolls it back.
void SessionDriver::abandonTransaction(const PendingRequest &entry)
{
    const OperationPtr &operation = entry.operation;
    --operation->link->transactions;
    const std::uint64_t begin =
        operation->transaction != 0 ? operation->transaction : entry.request.requestId;
    this->context.checker.recordNotRun(RequestKey{this->session, begin}, entry.request.group);
    if (operation->transaction == 0 || operation->link->isLost)
        return;
    CallerRequest rollback = this->requestFor(*operation, RequestKind::Rollback);
    rollback.key.clear();
    this->send(operation, std::move(rollback), EventLoop::now() + this->context.settings.deadline,
               operation->link);
}

void SessionDriver::handleOutcomeAnswer(const PendingRequest &entry, const CallerAnswer &answer)
{
    const OperationPtr &operation = entry.operation;
    const bool isSealed = answer.outcome == Outcome::NotRun && answer.reason == Reason::Sealed;
    if (answer.outcome == Outcome::Ok || isSealed) {
        operation->onResolved(answer.outcome == Outcome::Ok ? WriteEffect::Ran : WriteEffect::None);
        this->end(operation, answer.outcome, answer.reason);
        return;
    }
    this->retryOrEnd(operation, answer.outcome, answer.reason, answer.retryAfter);
}

void SessionDriver::handleNoAnswer(const PendingRequest &entry, Reason reason)
{
    const OperationPtr &operation = entry.operation;
    if (entry.request.kind == RequestKind::Rollback)
        return;
    const Outcome outcome = entry.sent ? Outcome::OutcomeUnknown : Outcome::NotRun;
    const bool changesData = operation->planned.kind == OperationKind::Write
                             || entry.request.kind == RequestKind::Commit;
    if (entry.request.kind == RequestKind::Commit)
        --operation->link->transactions;
    if (changesData && entry.sent) {
        this->askOutcome(operation, entry.request.requestId);
        this->end(operation, outcome, reason);
        return;
    }
    const bool isOpenTransaction =
        operation->planned.kind == OperationKind::Transaction && !changesData;
    if (isOpenTransaction)
        this->abandonTransaction(entry);
    // Safe to retry: reads, outcome queries, transactions before Commit and requests never sent.
    this->retryOrEnd(operation, outcome, reason, Duration::zero());
}

void SessionDriver::retryOrEnd(const OperationPtr &operation, Outcome outcome, Reason reason,
                               Duration retryAfter)
{
    const Duration wait = std::max(retryAfter, this->backoff(operation->attempts));
    const TimePoint retryAt = EventLoop::now() + wait;
    const bool isRetriedUntilSettled =
        operation->planned.kind == OperationKind::AskOutcome || operation->isFinalRead;
    const TimePoint giveUpAt =
        isRetriedUntilSettled ? this->context.settleDeadline : operation->deadline;
    if (retryAt < giveUpAt) {
        this->context.measurements.count("retries");
        if (operation->isFinalRead)
            operation->deadline = retryAt + this->context.settings.deadline;
        this->context.loop.schedule(retryAt, [self = this->shared_from_this(), operation] {
            self->startAttempt(operation);
        });
        return;
    }
    if (operation->onResolved)
        operation->onResolved(WriteEffect::Unresolved);
    else if (!operation->writes.empty())
        this->finishWrites(operation, operation->lastRequestId, WriteEffect::None);
    this->end(operation, outcome, reason);
}

void SessionDriver::end(const OperationPtr &operation, Outcome outcome, Reason reason)
{
    const TimePoint now = EventLoop::now();
    if (!operation->isFinalRead) {
        this->context.measurements.operationFinished(
            operation->planned.kind, outcome, reason,
            std::chrono::duration_cast<Duration>(now - operation->startedAt));
    } else if (outcome != Outcome::Ok) {
        this->context.measurements.count("final_reads_failed");
    }
    --this->operations;
    if (operation->done)
        operation->done();
}

void SessionDriver::finishWrites(const OperationPtr &operation, std::uint64_t requestId,
                                 WriteEffect effect)
{
    const TimePoint now = EventLoop::now();
    const GroupId &group = operation->planned.group;
    this->context.checker.finishWrite(RequestKey{this->session, requestId}, group,
                                      operation->writes, effect, now);
    if (effect == WriteEffect::Ran)
        this->context.measurements.writeConfirmed(group, now);
}

void SessionDriver::askOutcome(const OperationPtr &operation, std::uint64_t requestId)
{
    auto query = std::make_shared<Operation>();
    query->planned.kind = OperationKind::AskOutcome;
    query->planned.group = operation->planned.group;
    query->startedAt = EventLoop::now();
    query->queriedRequestId = requestId;
    query->onResolved = [self = this->shared_from_this(), operation,
                         requestId](WriteEffect effect) {
        self->finishWrites(operation, requestId, effect);
    };
    ++this->operations;
    this->moveToOtherProxy();
    this->startAttempt(query);
}

void SessionDriver::finalRead(std::vector<std::pair<GroupId, std::string>> remaining,
                              const DoneCallback &done)
{
    if (remaining.empty()) {
        done();
        return;
    }
    auto operation = std::make_shared<Operation>();
    operation->planned.kind = OperationKind::LatestRead;
    operation->planned.group = remaining.back().first;
    operation->key = remaining.back().second;
    operation->isFinalRead = true;
    operation->startedAt = EventLoop::now();
    operation->deadline = operation->startedAt + this->context.settings.deadline;
    remaining.pop_back();
    operation->done = [self = this->shared_from_this(), remaining = std::move(remaining), done] {
        self->finalRead(remaining, done);
    };
    ++this->operations;
    this->startAttempt(operation);
}

} // namespace rhubarbweir
