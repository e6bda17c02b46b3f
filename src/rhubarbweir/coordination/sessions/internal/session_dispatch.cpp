// See session_pooler.hpp. This file: choosing a connection for a statement and sending it.
#include "rhubarbweir/coordination/sessions/session_pooler.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarbweir {

namespace {

} // namespace

// The position that a read has to see; empty when only the primary can tell.
std::optional<LogPosition> SessionPooler::requiredPosition(const Session &session,
                                                           TimePoint now) const
{
    const Route &route = session.work->route;
    const auto tracker = this->freshness.find(route.group);
    if (tracker == this->freshness.end())
        return std::nullopt;
    std::optional<LogPosition> required = tracker->second.minimumFor(route.maxAge, now);
    if (!required || route.consistency != RouteConsistency::ReadYourWrites)
        return required;
    // A sample under the present authority covers what is left of earlier ones.
    const auto commit = session.commits.find(route.group);
    if (commit != session.commits.end()
        && commit->second.generation == this->view.logGeneration(route.group))
        required = std::max(*required, commit->second.position);
    return required;
}

bool SessionPooler::mayUse(const TargetRecord &record, TimePoint now) const
{
    return record.target.phase == TargetPhase::Ready && now >= record.suspendedUntil
           && record.hasRoom();
}

// Targets that may run the session's statement now, the quickest first.
std::vector<TargetId> SessionPooler::candidates(const Session &session, TimePoint now) const
{
    const StatementWork &work = *session.work;
    const std::optional<TargetId> primary = this->view.primary(work.route.group, now);
    std::optional<LogPosition> minimum;
    if (!work.needsPrimary)
        minimum = this->requiredPosition(session, now);
    std::vector<std::pair<Duration, TargetId>> ranked;
    for (const auto &[id, record] : this->book.records()) {
        if (record.target.group != work.route.group || work.tried.count(id) != 0
            || !this->mayUse(record, now))
            continue;
        const bool isPrimary = primary && *primary == id;
        const bool isReplica = id != this->view.knownPrimary(work.route.group);
        if (!isPrimary && (!isReplica || !minimum))
            continue;
        if (!isPrimary && now < record.laggingUntil && !(*minimum < record.lacked))
            continue;
        ranked.emplace_back(
            this->book.expectedDelay(record, isPrimary && !work.needsPrimary, minimum), id);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<TargetId> ids;
    ids.reserve(ranked.size());
    for (const auto &[delay, id] : ranked)
        ids.push_back(id);
    return ids;
}

// Gives the session's statement a connection, or lets it wait for one.
void SessionPooler::assign(Session &session, TimePoint now)
{
    const std::vector<TargetId> ids = this->candidates(session, now);
    for (const TargetId &id : ids) {
        if (PooledConnection *connection = this->book.idleConnection(id, session.values)) {
            this->take(session, *connection, now);
            return;
        }
    }
    for (const TargetId &id : ids) {
        const TargetRecord *record = this->book.find(id);
        if (record->connections.size() < this->connectionShare(*record)) {
            this->openIfAllowed(id, now);
            break;
        }
    }
    session.work->stage = WorkStage::Queued;
    if (this->isHopeless(session, now))
        session.work->queueDeadline =
            std::min(session.work->queueDeadline,
                     session.work->arrivedAt
                         + session.work->route.latencyObjective / this->settings.hopelessDivisor);
    this->enqueue(session);
}

// Whether only a primary could serve it and the group has been without one for longer than a
// planned change takes.
bool SessionPooler::isHopeless(const Session &session, TimePoint now) const
{
    const StatementWork &work = *session.work;
    const auto since = this->view.withoutPrimarySince(work.route.group, now);
    return since && now >= *since + this->settings.vacancyPatience
           && (work.needsPrimary || !this->requiredPosition(session, now));
}

void SessionPooler::enqueue(const Session &session)
{
    const StatementWork &work = *session.work;
    this->queue.emplace(std::make_pair(work.route.priority, work.arrivedAt), session.number);
}

void SessionPooler::dequeue(SessionNumber number)
{
    for (auto entry = this->queue.begin(); entry != this->queue.end(); ++entry) {
        if (entry->second == number) {
            this->queue.erase(entry);
            return;
        }
    }
}

// Connections of the target that all poolers together may open: control can always ask it.
std::uint32_t SessionPooler::connectionsForPoolers(const TargetRecord &record) const
{
    const std::uint32_t limit = this->view.limits(record.target.group).maxConnections;
    return limit > this->settings.controlConnections ? limit - this->settings.controlConnections
                                                     : 1;
}

// Whether there are connections enough for one of each pooler to rest.
bool SessionPooler::mayRest(const TargetRecord &record) const
{
    return this->connectionsForPoolers(record) >= this->view.connectionHolders();
}

// Connections that may rest open. Half of the target's limit stays free: a machine that lost power
// holds its connections for seconds, and its successor needs some of its own meanwhile. With fewer
// connections than poolers none rests: each closes soon after its use.
std::uint32_t SessionPooler::restingShare(const TargetRecord &record) const
{
    if (!this->mayRest(record))
        return 0;
    const std::uint32_t limit = this->view.limits(record.target.group).maxConnections;
    return std::max<std::uint32_t>(1, limit / 2 / this->view.connectionHolders());
}

std::uint32_t SessionPooler::connectionShare(const TargetRecord &record) const
{
    const std::uint32_t most = std::max<std::uint32_t>(1, this->connectionsForPoolers(record)
                                                              / this->view.connectionHolders());
    return std::min(most, this->restingShare(record) + this->settings.surplusConnections);
}

void SessionPooler::openIfAllowed(const TargetId &id, TimePoint now)
{
    TargetRecord *record = this->book.find(id);
    if (record == nullptr || now < record->tooManyUntil || this->book.connecting(id) > 0)
        return;
    const PooledConnection &connection = this->book.addConnection(*record, now);
    this->hooks.openTarget(connection.id, record->target);
}

// Keeps one connection to each target, so that the first statement need not wait for it.
void SessionPooler::keepWarm(TimePoint now)
{
    for (const auto &[id, record] : this->book.records()) {
        if (record.connections.empty() && record.target.phase == TargetPhase::Ready
            && now >= record.suspendedUntil && this->mayRest(record))
            this->openIfAllowed(id, now);
    }
}

// Serves what waits, the most urgent first. Among equals the oldest goes first, unless the queue
// is so long that the oldest would be late anyway: then the newest does.
void SessionPooler::serveQueue(TimePoint now)
{
    if (this->servingQueue || this->queue.empty())
        return;
    this->servingQueue = true;
    const auto waiting = std::exchange(this->queue, {});
    for (auto first = waiting.begin(); first != waiting.end();) {
        const unsigned priority = first->first.first;
        const auto last = std::find_if(first, waiting.end(), [priority](const auto &entry) {
            return entry.first.first != priority;
        });
        if (now >= first->first.second + this->settings.longWait)
            std::for_each(std::make_reverse_iterator(last), std::make_reverse_iterator(first),
                          [this, now](const auto &entry) { this->serve(entry.second, now); });
        else
            std::for_each(first, last,
                          [this, now](const auto &entry) { this->serve(entry.second, now); });
        first = last;
    }
    this->servingQueue = false;
}

void SessionPooler::serve(SessionNumber number, TimePoint now)
{
    const auto found = this->sessions.find(number);
    if (found != this->sessions.end() && found->second.work
        && found->second.work->stage == WorkStage::Queued)
        this->assign(found->second, now);
}

void SessionPooler::take(Session &session, PooledConnection &connection, TimePoint now)
{
    StatementWork &work = *session.work;
    ++work.attempts;
    connection.phase = ConnectionPhase::InUse;
    connection.owner = session.number;
    if (session.state == TransactionState::Open) {
        session.pinned = connection.id;
        session.generation =
            session.readOnlyTransaction ? 0 : this->view.generation(work.route.group);
        this->sendBegin(session, connection, now);
    } else {
        this->sendStatement(session, connection, now);
    }
}

void SessionPooler::sendBegin(Session &session, PooledConnection &connection, TimePoint now)
{
    TargetCommand command;
    command.kind =
        session.readOnlyTransaction ? TargetCommandKind::BeginReadOnly : TargetCommandKind::Begin;
    if (!session.work->needsPrimary
        && connection.target != this->view.knownPrimary(connection.group))
        command.minimum = this->requiredPosition(session, now);
    session.work->stage = WorkStage::Beginning;
    connection.inTransaction = true;
    this->book.sent(connection, {command.kind, session.number, now, 0, command.minimum});
    this->hooks.sendToTarget(connection.id, {command});
}

// What the connection must be told before the statement, so that it has the session's state.
std::vector<TargetCommand> SessionPooler::stateCommands(Session &session,
                                                        PooledConnection &connection,
                                                        const TextStatement &statement)
{
    std::vector<TargetCommand> commands;
    const bool hasForeign = std::any_of(
        connection.values.begin(), connection.values.end(),
        [&session](const auto &value) { return session.values.count(value.first) == 0; });
    if (hasForeign) {
        TargetCommand discard;
        discard.kind = TargetCommandKind::Discard;
        commands.push_back(discard);
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto &[name, value] : session.values) {
        const auto held = connection.values.find(name);
        if (held != connection.values.end() && held->second == value)
            continue;
        TargetCommand set;
        set.kind = TargetCommandKind::SetValue;
        set.name = name;
        set.argument = value;
        commands.push_back(set);
        connection.values[name] = value;
    }
    if (statement.kind != TextStatementKind::Execute)
        return commands;
    const PreparedStatement &prepared = session.prepared.at(statement.name);
    const std::string name = this->preparedName(prepared);
    if (connection.prepared.insert(name).second) {
        TargetCommand prepare;
        prepare.kind = TargetCommandKind::Prepare;
        prepare.name = name;
        prepare.readOnly = prepared.readOnly;
        prepare.argument = prepared.shape;
        commands.push_back(prepare);
    }
    return commands;
}

// One name for each kind and shape, the same on all connections.
std::string SessionPooler::preparedName(const PreparedStatement &prepared)
{
    const auto key = std::make_pair(prepared.readOnly, prepared.shape);
    const auto found = this->preparedNames.find(key);
    if (found != this->preparedNames.end())
        return found->second;
    return this->preparedNames.emplace(key, absl::StrCat("p", this->preparedNames.size()))
        .first->second;
}

void SessionPooler::sendStatement(Session &session, PooledConnection &connection, TimePoint now)
{
    StatementWork &work = *session.work;
    const TextStatement &statement = work.statement;
    std::vector<TargetCommand> commands = this->stateCommands(session, connection, statement);
    for (const TargetCommand &command : commands)
        this->book.sent(connection, {command.kind, session.number, now, 0});
    const bool atPrimary = connection.target == this->view.knownPrimary(connection.group)
                           && this->view.leaseValid(now);
    TargetCommand command;
    command.id = statement.id;
    command.text = statement.text;
    if (statement.kind == TextStatementKind::Execute) {
        command.kind = TargetCommandKind::Execute;
        command.name = this->preparedName(session.prepared.at(statement.name));
        command.argument = statement.argument;
    }
    if (session.state == TransactionState::None && !work.needsPrimary && !atPrimary)
        command.minimum = this->requiredPosition(session, now);
    work.stage = WorkStage::Sent;
    const std::uint64_t generation = atPrimary ? this->view.generation(connection.group) : 0;
    this->book.sent(connection, {command.kind, session.number, now, generation, command.minimum});
    commands.push_back(std::move(command));
    this->hooks.sendToTarget(connection.id, commands);
}

// The next statement of a transaction that is bound to a connection.
void SessionPooler::sendOnPinned(Session &session, TimePoint now)
{
    PooledConnection *connection = this->book.connection(session.pinned);
    const bool authorised =
        connection != nullptr
        && (session.generation == 0 || this->holdsAuthority(*connection, session.generation, now));
    if (!authorised) {
        this->refuse(session, StatementFault::Aborted,
                     connection == nullptr ? "connection lost" : "primary changed", now);
        return;
    }
    ++session.work->attempts;
    this->sendStatement(session, *connection, now);
}

bool SessionPooler::holdsAuthority(const PooledConnection &connection, std::uint64_t generation,
                                   TimePoint now) const
{
    const std::optional<TargetId> primary = this->view.primary(connection.group, now);
    return primary && *primary == connection.target
           && this->view.generation(connection.group) == generation;
}

// Connections.

void SessionPooler::release(PooledConnection &connection, TimePoint now)
{
    connection.owner = 0;
    if (!connection.awaited.empty())
        return;
    const TargetRecord *record = this->book.find(connection.target);
    if (record == nullptr || record->target.phase != TargetPhase::Ready) {
        this->dropConnection(connection.id);
        return;
    }
    connection.phase = ConnectionPhase::Idle;
    connection.idleSince = now;
    this->serveQueue(now);
}

void SessionPooler::dropConnection(ConnectionId id)
{
    this->book.removeConnection(id);
    this->hooks.closeTarget(id);
}

// Ends the binding of the session's transaction. A reusable connection is rolled back and kept.
void SessionPooler::unpin(Session &session, bool reusable, TimePoint now)
{
    PooledConnection *connection = this->book.connection(session.pinned);
    session.pinned = 0;
    session.generation = 0;
    if (connection == nullptr)
        return;
    connection->owner = 0;
    if (!reusable) {
        this->dropConnection(connection->id);
        return;
    }
    if (!connection->inTransaction) {
        this->release(*connection, now);
        return;
    }
    connection->inTransaction = false;
    TargetCommand command;
    command.kind = TargetCommandKind::Rollback;
    this->book.sent(*connection, {command.kind, 0, now, 0});
    this->hooks.sendToTarget(connection->id, {command});
}

} // namespace rhubarbweir
