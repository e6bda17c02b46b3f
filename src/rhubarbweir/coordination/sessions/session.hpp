// State of one caller's text session: session values, prepared statements, transaction and pending
// statement.
#pragma once

#include "rhubarbweir/coordination/sessions/pooler_settings.hpp"
#include "rhubarbweir/coordination/sessions/route_table.hpp"
#include "rhubarbweir/coordination/sessions/statement.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace rhubarbweir {

struct PreparedStatement
{
    bool readOnly = true;
    std::string shape;
};

// The session's last commit in a group. Its position can be compared only with positions of the
// same authority generation.
struct SessionCommit
{
    std::uint64_t generation = 0;
    LogPosition position;
};

enum class StatementStage {
    // Waits for a token of its team until PendingStatement::resumeAt.
    AwaitingToken,
    // Waits for a connection.
    Queued,
    // Waits for PendingStatement::resumeAt before the next attempt.
    Paused,
    // The pooler has sent the transaction's begin; the statement is sent after its answer.
    Beginning,
    // Sent; the answer is awaited.
    Sent,
};

// The statement of a session that is queued or running.
struct PendingStatement
{
    TextStatement statement;
    Route route;
    StatementStage stage = StatementStage::Queued;
    TimePoint arrivedAt;
    // The caller is answered by then, even without an answer of the target.
    TimePoint deadline;
    // The statement is refused if it has not been sent by then.
    TimePoint queueDeadline;
    TimePoint resumeAt;
    // Token that pays for the operation, and its team; empty if the team has no limit, and after
    // the operation has begun.
    std::optional<TimePoint> token;
    TeamId tokenTeam;
    bool needsPrimary = false;
    bool writes = false;
    // Whether it is the first of its transaction or outside a transaction, so that it may be
    // retried at another target.
    bool isFirst = true;
    unsigned attempts = 0;
    std::set<TargetId> tried;
    StatementFault lastFault = StatementFault::Busy;
};

// Memory of a session value or prepared statement besides its text, approximately.
inline constexpr std::size_t StateEntryBytes = 128;

struct Session
{
    SessionNumber number = 0;
    std::string database;
    KeyDigest key;
    // Team of the key when the last operation began; empty on a public route.
    TeamId team;
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedStatement> prepared;
    // Approximate size of `values` and `prepared`.
    std::size_t stateBytes = 0;
    TransactionState state = TransactionState::None;
    bool readOnlyTransaction = false;
    bool transactionWrote = false;
    // The transaction was aborted and the caller has not been told yet.
    bool abortPending = false;
    TimePoint transactionActivity;
    // Route of the running transaction.
    Route transactionRoute;
    // Connection that the running transaction is pinned to; 0 before its first statement.
    ConnectionId pinned = 0;
    // Authority generation under which the pinned transaction began at the primary; 0 for a
    // read-only transaction.
    std::uint64_t generation = 0;
    std::map<GroupId, SessionCommit> commits;
    std::optional<PendingStatement> pending;
    // Target of the session's connection that was lost most recently.
    TargetId lostTarget;
    // Statements received while `pending` was not answered yet, in order.
    std::deque<TextStatement> backlog;
    bool isServingBacklog = false;
};

} // namespace rhubarbweir
