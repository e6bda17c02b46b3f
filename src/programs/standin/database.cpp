// Connections, statements and transactions of the stand-in database. See database.hpp; terms and
// replication are in database_terms.cpp.
#include "programs/standin/database.hpp"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <set>
#include <utility>

namespace rhubarbweir {

namespace {

// Whether `statement` may only run on the primary of its term.
bool needsPrimary(const Statement &statement)
{
    if (statement.kind == StatementKind::Read)
        return statement.term != 0;
    return statement.kind != StatementKind::Rollback;
}

bool isOf(const Statement &statement, const RequestKey &begin)
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
    , use(this->settings.limits)
{
}

void Database::receive(std::uint64_t connection, const OpenConnection &open, TimePoint now)
{
    if (this->connections.count(connection))
        return;
    if (this->use.connections() >= this->settings.hardConnectionLimit) {
        this->hooks.send(connection, ConnectionRefused{open.generation, "connection limit"});
        return;
    }
    Connection &state = this->connections[connection];
    state.holder = open.holder;
    state.generation = open.generation;
    this->use.connectionOpened(open.holder);
    this->openings.emplace(now + this->settings.connectionSetup, connection);
    this->advance(now);
}

void Database::receive(std::uint64_t connection, const Statement &statement, TimePoint now)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end())
        return;
    Connection &state = found->second;
    const StatementResult checked = this->check(state, statement);
    if (checked != StatementResult::Ok) {
        const bool isMixed = state.transaction && !isOf(statement, state.transaction->begin);
        this->mixed += isMixed ? 1 : 0;
        this->refuse(connection, statement, checked);
        return;
    }
    Running entry{connection, statement, !state.transaction};
    ++state.running;
    if (entry.ownsSlot)
        this->use.slotTaken(state.holder);
    if (statement.kind == StatementKind::Read
        && !covers(this->replicated.applied(), statement.minimum)) {
        const Duration wait = std::min(this->settings.behindWait, statement.timeLeft);
        this->waiting.push_back(WaitingRead{std::move(entry), now + wait});
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
    this->forgetIfGone(connection);
}

std::vector<std::uint64_t> Database::statusConnections() const
{
    std::vector<std::uint64_t> result;
    std::set<InstanceId> told;
    for (const auto &[number, connection] : this->connections) {
        if (connection.opened && !connection.closed && told.insert(connection.holder).second)
            result.push_back(number);
    }
    return result;
}

// Nothing ran yet when this is called, neither at the arrival of a statement nor at its end.
StatementResult Database::check(const Connection &connection, const Statement &statement) const
{
    if (!connection.opened || statement.generation != connection.generation)
        return StatementResult::Refused;
    if (connection.transaction && !isOf(statement, connection.transaction->begin))
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

void Database::start(const Running &entry, TimePoint now)
{
    this->running.emplace(now + this->drawServiceTime(), entry);
}

void Database::finish(const Running &entry)
{
    Connection &connection = this->connections.at(entry.connection);
    StatementReply reply;
    reply.key = entry.statement.key;
    reply.result = this->check(connection, entry.statement);
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
        reply.position = this->replicated.received();
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
    // A diverged tail that the read had waited for may be gone.
    if (!covers(this->replicated.applied(), statement.minimum)) {
        reply.result = StatementResult::Behind;
        return;
    }
    Evaluation evaluation;
    if (connection.transaction)
        evaluation = this->evaluate(connection.transaction->statements);
    reply.position = this->replicated.applied();
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
        // A part of the transaction that ran by itself must not run again.
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
    const LogEntry *entry = this->replicated.entryOf(request);
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
    return this->replicated.valueOf(key);
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

void Database::release(std::uint64_t connection, const Running &entry)
{
    Connection &state = this->connections.at(connection);
    --state.running;
    // An opened transaction keeps the slot of its Begin.
    const bool isKept = entry.statement.kind == StatementKind::Begin && state.transaction
                        && state.transaction->begin == entry.statement.request;
    if (entry.ownsSlot && !isKept)
        this->use.slotFreed(state.holder);
    if (state.closed)
        this->endTransaction(state);
    this->forgetIfGone(connection);
}

void Database::endTransaction(Connection &connection)
{
    if (!connection.transaction)
        return;
    connection.transaction.reset();
    this->use.slotFreed(connection.holder);
}

void Database::forgetIfGone(std::uint64_t connection)
{
    const auto found = this->connections.find(connection);
    if (!found->second.closed || found->second.running > 0)
        return;
    this->use.connectionGone(found->second.holder);
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
