// See pending_request.hpp.
#include "rhubarbweir/coordination/proxy/pending_request.hpp"

namespace rhubarbweir {

namespace {

StatementKind statementKind(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Read:
        return StatementKind::Read;
    case RequestKind::Write:
        return StatementKind::Write;
    case RequestKind::Begin:
        return StatementKind::Begin;
    case RequestKind::Commit:
        return StatementKind::Commit;
    case RequestKind::Rollback:
        return StatementKind::Rollback;
    case RequestKind::AskOutcome:
        return StatementKind::AskOutcome;
    }
    return StatementKind::Read;
}

} // namespace

Statement makeStatement(const PendingRequest &pending, Generation generation, std::uint64_t term,
                        const LogPosition &minimum, TimePoint now)
{
    const CallerRequest &request = pending.request;
    Statement statement;
    statement.generation = generation;
    statement.request = keyOf(request);
    statement.kind = pending.asksOutcome ? StatementKind::AskOutcome : statementKind(request.kind);
    statement.term = term;
    statement.minimum = minimum;
    statement.timeLeft = std::chrono::duration_cast<Duration>(pending.deadline - now);
    if (statement.kind == StatementKind::AskOutcome) {
        statement.asked = request.kind == RequestKind::AskOutcome
                              ? RequestKey{request.session, request.askedRequestId}
                              : keyOf(request);
        return statement;
    }
    statement.key = request.key;
    statement.value = request.value;
    statement.operation = request.operation;
    statement.transaction =
        request.kind == RequestKind::Begin ? request.requestId : request.transaction;
    return statement;
}

CallerAnswer makeAnswer(const CallerRequest &request, Outcome outcome, Reason reason)
{
    CallerAnswer answer;
    answer.session = request.session;
    answer.requestId = request.requestId;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.group = request.group;
    answer.key = request.key;
    answer.token = request.token;
    return answer;
}

void replaceUnprovenNotRun(CallerAnswer &answer, bool mayHaveRun)
{
    if (mayHaveRun && answer.outcome == Outcome::NotRun && answer.reason != Reason::Sealed)
        answer.outcome = Outcome::OutcomeUnknown;
}

} // namespace rhubarbweir
