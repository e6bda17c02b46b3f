// Connections, statements and transactions of the stand-in database. See database.hpp; terms and
// replication are in database_terms.cpp.
#include "programs/standin/database.hpp"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <set>
#include <utility>

namespace rhubarbweir {

namespace {

// Whether only the primary of the statement's term may run it.
bool needsPrimary(const Statement &statement)
{
    if (statement.kind == StatementKind::Read)
        return statement.term != 0;
    return statement.kind != StatementKind::Rollback;
}

bool belongsTo(const Statement &statement, const RequestKey &begin)
{
    return statement.transaction == begin.request && statement.request.session == begin.session
           && statement.kind != StatementKind::Begin;
}

} // namespace

Database::Database(DatabaseSettings databaseSettings, DatabaseHooks databaseHooks)
    : settings(std::move(databaseSettings))
    , hooks(std::move(databaseHooks))
    , random(this->settings.seed)
    , applyLag(this->settings.applyLag, this->settings.seed + 1)
    , resourceUsage(this->settings.limits)
{
}

void Database::receive(std::uint64_t connection, const OpenConnection &open, TimePoint now)
{
    if (this->connections.count(connection))
        return;
    if (this->resourceUsage.connections() >= this->settings.hardConnectionLimit) {
        this->hooks.send(connection, ConnectionRefused{open.generation, "connection limit"});
        return;
    }
    Connection &state = this->connections[connection];
    state.holder = open.holder;
    state.generation = open.generation;
    this->resourceUsage.connectionOpened(open.holder);
    this->openings.emplace(now + this->settings.connectionSetup, connection);
    this->advance(now);
}

void Database::receive(std::uint64_t connection, const Statement &statement, TimePoint now)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end())
        return;
    Connection &state = found->second;
    const StatementResult checked = this->validate(state, statement);
    if (checked != StatementResult::Ok) {
        const bool isMixed = state.transaction && !belongsTo(statement, state.transaction->begin);
        this->mixedTransactionCount += isMixed ? 1 : 0;
        this->refuse(connection, statement, checked);
        return;
    }
    RunningStatement entry{connection, statement, !state.transaction};
    ++state.running;
    if (entry.ownsSlot)
        this->resourceUsage.slotTaken(state.holder);
    if (statement.kind == StatementKind::Read
        && !covers(this->replicatedLog.applied(), statement.minimum)) {
        const Duration wait = std::min(this->settings.behindWait, statement.timeLeft);
        this->waitingReads.push_back(WaitingRead{std::move(entry), now + wait});
    } else {
        this->start(entry, now);
    }
    this->advance(now);
}

void Database::connectionClosed(std::uint64_t connection)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end())
        return;
    found->second.closed = true;
    const bool isCommitting =
        std::any_of(this->running.begin(), this->running.end(), [connection](const auto &item) {
            return item.second.connection == connection
                   && item.second.statement.kind == StatementKind::Commit;
        });
    if (!isCommitting)
        this->endTransaction(found->second);
    this->eraseIfClosed(connection);
}

std::vector<std::uint64_t> Database::statusConnections() const
{
    std::vector<std::uint64_t> result;
    std::set<InstanceId> notifiedHolders;
    for (const auto &[number, connection] : this->connections) {
        if (connection.opened && !connection.closed
            && notifiedHolders.insert(connection.holder).second)
            result.push_back(number);
    }
    return result;
}

// Called when a statement arrives and again before it takes effect, so that a failed validation
// always means that it did not run.
StatementResult Database::validate(const Connection &connection, const Statement &statement) const
{
    if (!connection.opened || statement.generation != connection.generation)
        return StatementResult::Refused;
    if (connection.transaction && !belongsTo(statement, connection.transaction->begin))
        return StatementResult::Refused;
    const bool isPrimaryOfTerm = this->isPrimary() && statement.term == this->term;
    if (needsPrimary(statement) && !isPrimaryOfTerm)
        return StatementResult::NotPrimary;
    const bool endsTransaction =
        statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    const bool wantsTransaction =
        endsTransaction
        || (statement.transaction != 0 && statement.kind != StatementKind::Begin
            && statement.kind != StatementKind::AskOutcome);
    if (wantsTransaction && !connection.transaction)
        return StatementResult::TransactionEnded;
    if (statement.timeLeft <= Duration::zero())
        return StatementResult::DeadlinePassed;
    return StatementResult::Ok;
}

void Database::start(const RunningStatement &entry, TimePoint now)
{
    this->running.emplace(now + this->drawServiceTime(), entry);
}

void Database::finish(const RunningStatement &entry)
{
    Connection &connection = this->connections.at(entry.connection);
    StatementReply reply;
    reply.key = entry.statement.key;
    reply.result = this->validate(connection, entry.statement);
    if (reply.result == StatementResult::Ok)
        this->run(connection, entry.statement, reply);
    this->sendReply(entry.connection, entry.statement, std::move(reply));
    this->release(entry.connection, entry);
}

void Database::run(Connection &connection, const Statement &statement, StatementReply &reply)
{
    switch (statement.kind) {
    case StatementKind::Read:
        this->read(connection, statement, reply);
        return;
    case StatementKind::Write:
        this->write(connection, statement, reply);
        return;
    case StatementKind::Begin:
        connection.transaction = Transaction{statement.request, {}};
        reply.position = this->replicatedLog.received();
        return;
    case StatementKind::Commit:
        this->commit(connection, statement, reply);
        return;
    case StatementKind::Rollback:
        this->endTransaction(connection);
        return;
    case StatementKind::AskOutcome:
        this->askOutcome(statement, reply);
        return;
    }
}

void Database::read(const Connection &connection, const Statement &statement,
                    StatementReply &reply) const
{
    // A diverged tail that satisfied the minimum position may have been truncated meanwhile.
    if (!covers(this->replicatedLog.applied(), statement.minimum)) {
        reply.result = StatementResult::Behind;
        return;
    }
    Evaluation evaluation;
    if (connection.transaction)
        evaluation = this->evaluate(connection.transaction->statements);
    reply.position = this->replicatedLog.applied();
    reply.value = this->valueIn(evaluation, statement.key);
}

void Database::write(Connection &connection, const Statement &statement, StatementReply &reply)
{
    if (this->answerFromLog(statement.request, reply))
        return;
    std::vector<Statement> statements;
    if (connection.transaction)
        statements = connection.transaction->statements;
    statements.push_back(statement);
    Evaluation evaluation = this->evaluate(statements);
    if (!evaluation.valid) {
        reply.result = StatementResult::Refused;
        return;
    }
    reply.value = this->valueIn(evaluation, statement.key);
    if (connection.transaction) {
        connection.transaction->statements = std::move(statements);
        return;
    }
    reply.position =
        this->append(LogEntryKind::Write, {statement.request}, std::move(evaluation.changes));
}

void Database::commit(Connection &connection, const Statement &statement, StatementReply &reply)
{
    const Transaction transaction = *connection.transaction;
    this->endTransaction(connection);
    std::vector<RequestKey> requests{statement.request, transaction.begin};
    for (const Statement &part : transaction.statements)
        requests.push_back(part.request);
    for (const RequestKey &request : requests) {
        if (!this->answerFromLog(request, reply))
            continue;
        // A statement of the transaction that already ran on its own must not run again.
        if (reply.result == StatementResult::Ok && request != statement.request)
            reply.result = StatementResult::Refused;
        return;
    }
    Evaluation evaluation = this->evaluate(transaction.statements);
    if (!evaluation.valid) {
        reply.result = StatementResult::Refused;
        return;
    }
    reply.position =
        this->append(LogEntryKind::Transaction, std::move(requests), std::move(evaluation.changes));
}

void Database::askOutcome(const Statement &statement, StatementReply &reply)
{
    if (this->answerFromLog(statement.asked, reply))
        return;
    reply.position = this->append(LogEntryKind::Sealed, {statement.asked}, {});
    reply.result = StatementResult::Sealed;
}

bool Database::answerFromLog(const RequestKey &request, StatementReply &reply) const
{
    const LogEntry *entry = this->replicatedLog.entryOf(request);
    if (!entry)
        return false;
    const bool isSealed = entry->kind == LogEntryKind::Sealed;
    reply.result = isSealed ? StatementResult::Sealed : StatementResult::Ok;
    reply.position = entry->at;
    reply.value = entry->changes.empty() ? std::string() : entry->changes.back().value;
    return true;
}

Database::Evaluation Database::evaluate(const std::vector<Statement> &statements) const
{
    Evaluation result;
    for (const Statement &statement : statements) {
        std::string value = statement.value;
        if (statement.operation == WriteOperation::Add) {
            const std::string before = this->valueIn(result, statement.key);
            std::int64_t sum = 0;
            std::int64_t added = 0;
            const bool isNumber = (before.empty() || absl::SimpleAtoi(before, &sum))
                                  && absl::SimpleAtoi(statement.value, &added);
            result.valid = result.valid && isNumber;
            value = std::to_string(sum + added);
        }
        result.changes.push_back(KeyChange{statement.key, std::move(value)});
    }
    return result;
}

std::string Database::valueIn(const Evaluation &evaluation, const std::string &key) const
{
    for (auto change = evaluation.changes.rbegin(); change != evaluation.changes.rend(); ++change) {
        if (change->key == key)
            return change->value;
    }
    return this->replicatedLog.valueOf(key);
}

void Database::sendReply(std::uint64_t connection, const Statement &statement, StatementReply reply)
{
    if (this->connections.at(connection).closed)
        return;
    reply.generation = statement.generation;
    reply.request = statement.request;
    reply.key = statement.key;
    reply.status = this->status();
    this->hooks.send(connection, reply);
}

void Database::refuse(std::uint64_t connection, const Statement &statement, StatementResult result)
{
    StatementReply reply;
    reply.result = result;
    this->sendReply(connection, statement, std::move(reply));
}

void Database::release(std::uint64_t connection, const RunningStatement &entry)
{
    Connection &state = this->connections.at(connection);
    --state.running;
    // An open transaction keeps the slot of its Begin.
    const bool isKept = entry.statement.kind == StatementKind::Begin && state.transaction
                        && state.transaction->begin == entry.statement.request;
    if (entry.ownsSlot && !isKept)
        this->resourceUsage.slotFreed(state.holder);
    if (state.closed)
        this->endTransaction(state);
    this->eraseIfClosed(connection);
}

void Database::endTransaction(Connection &connection)
{
    if (!connection.transaction)
        return;
    connection.transaction.reset();
    this->resourceUsage.slotFreed(connection.holder);
}

void Database::eraseIfClosed(std::uint64_t connection)
{
    const auto found = this->connections.find(connection);
    if (!found->second.closed || found->second.running > 0)
        return;
    this->resourceUsage.connectionReleased(found->second.holder);
    this->connections.erase(found);
}

Duration Database::drawServiceTime()
{
    if (!this->settings.exponentialService)
        return this->settings.serviceTime;
    std::exponential_distribution<double> service(1.0);
    const double mean = static_cast<double>(this->settings.serviceTime.count());
    return Duration(static_cast<std::int64_t>(mean * service(this->random)));
}

} // namespace rhubarbweir
