// One caller's text session: its values, prepared statements, transaction and current statement.
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

// A commit of the session, valid under the authority generation that it was made in.
struct SessionCommit
{
    std::uint64_t generation = 0;
    LogPosition position;
};

enum class WorkStage {
    // Waits for a connection.
    Queued,
    // Waits for a pause before the same connection is tried again.
    Paused,
    // The pooler's own begin is on its way; the statement follows its answer.
    Beginning,
    // The statement is on its way.
    Sent,
};

// The statement that the caller waits for.
struct StatementWork
{
    TextStatement statement;
    Route route;
    WorkStage stage = WorkStage::Queued;
    TimePoint arrivedAt;
    // After this the caller is answered, whatever happened.
    TimePoint deadline;
    // A statement that was not sent by then is refused.
    TimePoint queueDeadline;
    TimePoint resumeAt;
    bool needsPrimary = false;
    bool writes = false;
    // Whether it starts a transaction at the target or stands alone: it may move to another one.
    bool isFirst = true;
    unsigned attempts = 0;
    std::set<TargetId> tried;
    StatementFault lastFault = StatementFault::Busy;
};

struct Session
{
    SessionNumber number = 0;
    std::string database;
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedStatement> prepared;
    TransactionState state = TransactionState::None;
    bool readOnlyTransaction = false;
    bool transactionWrote = false;
    // The transaction failed without the caller knowing it yet.
    bool abortPending = false;
    TimePoint transactionActivity;
    // Route of the running transaction.
    Route transactionRoute;
    // Connection that the running transaction is bound to; 0 before its first statement.
    ConnectionId pinned = 0;
    // Generation of the authority that a pinned transaction on the primary began under.
    std::uint64_t generation = 0;
    std::map<GroupId, SessionCommit> commits;
    std::optional<StatementWork> work;
    // Target of the connection that was lost last.
    TargetId lostTarget;
    // Statements that came before the current one was answered.
    std::deque<TextStatement> backlog;
};

} // namespace rhubarbweir
