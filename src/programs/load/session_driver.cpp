// What a session does and how it judges answers. See session_driver.hpp; connections are in
// session_connections.cpp.
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

SessionDriver::SessionDriver(LoadRun &loadRun, std::size_t number)
    : run(loadRun)
    , caller(absl::StrCat("caller-", number))
    , proxy(number % loadRun.settings.proxies.size())
{
}

void SessionDriver::open(Done done)
{
    this->onOpened = std::move(done);
    this->connect();
}

void SessionDriver::close()
{
    this->isClosing = true;
    if (this->current && this->current->connection && !this->current->isLost)
        this->current->connection->close(CloseReason::Normal);
}

void SessionDriver::perform(const PlannedOperation &planned, Done done)
{
    auto operation = std::make_shared<Operation>();
    operation->planned = planned;
    operation->startedAt = EventLoop::now();
    operation->deadline = operation->startedAt + this->run.settings.deadline;
    operation->done = std::move(done);
    if (isRead(planned.kind)) {
        const auto keys = this->run.checker.keysOf(this->session, planned.group);
        operation->key = keys[this->run.workload.pick(keys.size())];
    } else if (!this->chooseWrites(*operation)) {
        this->run.measurements.count("skipped_keys_busy");
        operation->done();
        return;
    }
    if (planned.roams) {
        this->run.measurements.count("roamed");
        this->moveToOtherProxy();
    }
    ++this->operations;
    this->startAttempt(operation);
}

void SessionDriver::checkFinally(const Done &done)
{
    this->finalRead(this->run.checker.allKeysOf(this->session), done);
}

// Picks keys that have no write under way; false when there are too few.
bool SessionDriver::chooseWrites(Operation &operation)
{
    std::vector<std::string> free;
    for (const std::string &key :
         this->run.checker.keysOf(this->session, operation.planned.group)) {
        if (!this->run.checker.isBusy(key))
            free.push_back(key);
    }
    if (free.size() < operation.planned.statements)
        return false;
    std::shuffle(free.begin(), free.end(), this->run.workload.randomness());
    for (std::size_t index = 0; index < operation.planned.statements; ++index)
        operation.writes.push_back(this->run.checker.beginWrite(free[index]));
    operation.key = operation.writes.front().key;
    return true;
}

void SessionDriver::startAttempt(const OperationPtr &operation)
{
    ++operation->attempts;
    if (operation->planned.kind == OperationKind::Transaction) {
        operation->transaction = 0;
        operation->sentStatements = 0;
        if (!this->current)
            this->connect();
        operation->link = this->current;
        ++operation->link->transactions;
        CallerRequest request = this->requestFor(*operation, RequestKind::Begin);
        request.key.clear();
        this->send(operation, std::move(request), operation->deadline, operation->link);
        return;
    }
    if (operation->planned.kind == OperationKind::AskOutcome) {
        CallerRequest request = this->requestFor(*operation, RequestKind::AskOutcome);
        request.askedRequestId = operation->asked;
        this->send(operation, std::move(request), EventLoop::now() + this->run.settings.deadline);
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
        const KeyValue &write = operation->writes[operation->sentStatements++];
        request.key = write.key;
        request.value = write.value;
        request.operation = write.operation;
    }
    this->send(operation, std::move(request), operation->deadline, operation->link);
}

void SessionDriver::answered(const Pending &entry, const CallerAnswer &answer)
{
    if (entry.request.kind == RequestKind::Rollback)
        return;
    switch (entry.operation->planned.kind) {
    case OperationKind::Write:
        this->writeAnswered(entry, answer);
        return;
    case OperationKind::Transaction:
        this->transactionAnswered(entry, answer);
        return;
    case OperationKind::AskOutcome:
        this->outcomeAnswered(entry, answer);
        return;
    default:
        this->readAnswered(entry, answer);
    }
}

void SessionDriver::readAnswered(const Pending &entry, const CallerAnswer &answer)
{
    const OperationPtr &operation = entry.operation;
    const bool isRepeated = operation->isFinalRead && answer.outcome != Outcome::Ok;
    if (isRepeated) {
        this->run.measurements.count(absl::StrCat("final_read_",
                                                  std::string(nameOf(answer.outcome)), "_",
                                                  std::string(nameOf(answer.reason))));
    }
    if (answer.outcome == Outcome::NotRun || isRepeated) {
        this->retryOrEnd(operation, answer.outcome, answer.reason, answer.retryAfter);
        return;
    }
    if (answer.outcome == Outcome::Ok && operation->isFinalRead) {
        this->run.checker.checkFinalRead(entry.request.key, answer.value);
    } else if (answer.outcome == Outcome::Ok) {
        this->run.checker.checkRead(entry.request, answer, entry.expectation);
        this->run.measurements.readServed(answer.servedByReplica);
        this->run.measurements.count(absl::StrCat("reads_by ", answer.servedBy.value));
    }
    this->end(operation, answer.outcome, answer.reason);
}

void SessionDriver::writeAnswered(const Pending &entry, const CallerAnswer &answer)
{
    const OperationPtr &operation = entry.operation;
    const std::uint64_t id = entry.request.requestId;
    switch (answer.outcome) {
    case Outcome::Ok:
        this->endWrites(operation, id, Effect::Ran);
        break;
    case Outcome::NotRun:
        this->run.checker.noteNotRun(keyOf(entry.request), entry.request.group);
        this->retryOrEnd(operation, answer.outcome, answer.reason, answer.retryAfter);
        return;
    case Outcome::Failed:
        this->endWrites(operation, id, Effect::None);
        break;
    case Outcome::OutcomeUnknown:
        this->askOutcome(operation, id);
        break;
    }
    this->end(operation, answer.outcome, answer.reason);
}

void SessionDriver::transactionAnswered(const Pending &entry, const CallerAnswer &answer)
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
        this->writeAnswered(entry, answer);
        return;
    }
    this->abandonTransaction(entry);
    if (answer.outcome == Outcome::NotRun) {
        this->retryOrEnd(operation, answer.outcome, answer.reason, answer.retryAfter);
        return;
    }
    this->endWrites(operation, id, Effect::None);
    this->end(operation, answer.outcome, answer.reason);
}

// A transaction whose commit was never sent has no effect.
void SessionDriver::abandonTransaction(const Pending &entry)
{
    const OperationPtr &operation = entry.operation;
    --operation->link->transactions;
    const std::uint64_t begin =
        operation->transaction != 0 ? operation->transaction : entry.request.requestId;
    this->run.checker.noteNotRun(RequestKey{this->session, begin}, entry.request.group);
    if (operation->transaction == 0 || operation->link->isLost)
        return;
    CallerRequest rollback = this->requestFor(*operation, RequestKind::Rollback);
    rollback.key.clear();
    this->send(operation, std::move(rollback), EventLoop::now() + this->run.settings.deadline,
               operation->link);
}

void SessionDriver::outcomeAnswered(const Pending &entry, const CallerAnswer &answer)
{
    const OperationPtr &operation = entry.operation;
    const bool isSealed = answer.outcome == Outcome::NotRun && answer.reason == Reason::Sealed;
    if (answer.outcome == Outcome::Ok || isSealed) {
        operation->resolved(answer.outcome == Outcome::Ok ? Effect::Ran : Effect::None);
        this->end(operation, answer.outcome, answer.reason);
        return;
    }
    this->retryOrEnd(operation, answer.outcome, answer.reason, answer.retryAfter);
}

void SessionDriver::unanswered(const Pending &entry, Reason reason)
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
    // Reads, outcome queries, transactions before their commit and requests that never left.
    this->retryOrEnd(operation, outcome, reason, Duration::zero());
}

void SessionDriver::retryOrEnd(const OperationPtr &operation, Outcome outcome, Reason reason,
                               Duration retryAfter)
{
    const Duration wait = std::max(retryAfter, this->backoff(operation->attempts));
    const TimePoint retryAt = EventLoop::now() + wait;
    const bool isPatient =
        operation->planned.kind == OperationKind::AskOutcome || operation->isFinalRead;
    const TimePoint giveUpAt = isPatient ? this->run.settleBy : operation->deadline;
    if (retryAt < giveUpAt) {
        this->run.measurements.count("retries");
        if (operation->isFinalRead)
            operation->deadline = retryAt + this->run.settings.deadline;
        this->run.loop.schedule(retryAt, [self = this->shared_from_this(), operation] {
            self->startAttempt(operation);
        });
        return;
    }
    if (operation->resolved)
        operation->resolved(Effect::Unresolved);
    else if (!operation->writes.empty())
        this->endWrites(operation, operation->lastRequestId, Effect::None);
    this->end(operation, outcome, reason);
}

void SessionDriver::end(const OperationPtr &operation, Outcome outcome, Reason reason)
{
    const TimePoint now = EventLoop::now();
    if (!operation->isFinalRead) {
        this->run.measurements.operationFinished(
            operation->planned.kind, outcome, reason,
            std::chrono::duration_cast<Duration>(now - operation->startedAt));
    } else if (outcome != Outcome::Ok) {
        this->run.measurements.count("final_reads_failed");
    }
    --this->operations;
    if (operation->done)
        operation->done();
}

void SessionDriver::endWrites(const OperationPtr &operation, std::uint64_t requestId, Effect effect)
{
    const TimePoint now = EventLoop::now();
    const GroupId &group = operation->planned.group;
    this->run.checker.finishWrite(RequestKey{this->session, requestId}, group, operation->writes,
                                  effect, now);
    if (effect == Effect::Ran)
        this->run.measurements.writeConfirmed(group, now);
}

void SessionDriver::askOutcome(const OperationPtr &operation, std::uint64_t requestId)
{
    auto query = std::make_shared<Operation>();
    query->planned.kind = OperationKind::AskOutcome;
    query->planned.group = operation->planned.group;
    query->startedAt = EventLoop::now();
    query->asked = requestId;
    query->resolved = [self = this->shared_from_this(), operation, requestId](Effect effect) {
        self->endWrites(operation, requestId, effect);
    };
    ++this->operations;
    this->moveToOtherProxy();
    this->startAttempt(query);
}

void SessionDriver::finalRead(std::vector<std::pair<GroupId, std::string>> left, const Done &done)
{
    if (left.empty()) {
        done();
        return;
    }
    auto operation = std::make_shared<Operation>();
    operation->planned.kind = OperationKind::LatestRead;
    operation->planned.group = left.back().first;
    operation->key = left.back().second;
    operation->isFinalRead = true;
    operation->startedAt = EventLoop::now();
    operation->deadline = operation->startedAt + this->run.settings.deadline;
    left.pop_back();
    operation->done = [self = this->shared_from_this(), left = std::move(left), done] {
        self->finalRead(left, done);
    };
    ++this->operations;
    this->startAttempt(operation);
}

} // namespace rhubarbweir
