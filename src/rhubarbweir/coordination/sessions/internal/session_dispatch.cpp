// See session_pooler.hpp. This file: selection of a connection for a statement, and sending.
#include "rhubarbweir/coordination/sessions/session_pooler.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarbweir {

// The log position that a read has to cover; empty when it is unknown, so that only the primary can
// serve the read.
std::optional<LogPosition> SessionPooler::requiredPosition(const Session &session,
                                                           TimePoint now) const
{
    const Route &route = session.pending->route;
    const auto tracker = this->freshness.find(route.group);
    if (tracker == this->freshness.end())
        return std::nullopt;
    std::optional<LogPosition> required = tracker->second.minimumFor(route.maxAge, now);
    if (!required || route.consistency != RouteConsistency::ReadYourWrites)
        return required;
    // A sample of the current log generation covers every commit of earlier ones that survived.
    const auto commit = session.commits.find(route.group);
    if (commit != session.commits.end()
        && commit->second.generation == this->view.logGeneration(route.group))
        required = std::max(*required, commit->second.position);
    return required;
}

bool SessionPooler::isAvailable(const TargetRecord &record, TimePoint now) const
{
    return record.target.phase == TargetPhase::Ready && now >= record.suspendedUntil
           && record.hasCapacity();
}

// Targets that may run the session's statement now, by expected delay.
std::vector<TargetId> SessionPooler::candidates(const Session &session, TimePoint now) const
{
    const PendingStatement &pending = *session.pending;
    const std::optional<TargetId> primary = this->view.primary(pending.route.group, now);
    std::optional<LogPosition> minimum;
    if (!pending.needsPrimary)
        minimum = this->requiredPosition(session, now);
    std::vector<std::pair<Duration, TargetId>> ranked;
    for (const auto &[id, record] : this->targetTracker.records()) {
        if (record.target.group != pending.route.group || pending.tried.count(id) != 0
            || !this->isAvailable(record, now))
            continue;
        const bool isPrimary = primary && *primary == id;
        const bool isReplica = id != this->view.knownPrimary(pending.route.group);
        if (!isPrimary && (!isReplica || !minimum))
            continue;
        if (!isPrimary && now < record.laggingUntil && !(*minimum < record.missingPosition))
            continue;
        ranked.emplace_back(
            this->targetTracker.expectedDelay(record, isPrimary && !pending.needsPrimary, minimum),
            id);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<TargetId> ids;
    ids.reserve(ranked.size());
    for (const auto &[delay, id] : ranked)
        ids.push_back(id);
    return ids;
}

// Sends the session's statement on an idle connection, or queues it and opens one if allowed.
void SessionPooler::dispatch(Session &session, TimePoint now)
{
    if (this->refuseWithoutAccess(session, now))
        return;
    const std::vector<TargetId> ids = this->candidates(session, now);
    for (const TargetId &id : ids) {
        if (PooledConnection *connection =
                this->targetTracker.idleConnection(id, session.team, session.values)) {
            this->startOn(session, *connection, now);
            return;
        }
    }
    this->openFor(session, ids, now);
    session.pending->stage = StatementStage::Queued;
    if (this->needsAbsentPrimary(session, now))
        session.pending->queueDeadline = std::min(session.pending->queueDeadline,
                                                  session.pending->arrivedAt
                                                      + session.pending->route.latencyObjective
                                                            / this->settings.absentPrimaryDivisor);
    if (this->waitsForIdleTransactions(session, ids, now))
        session.pending->queueDeadline = std::min(
            session.pending->queueDeadline,
            now + session.pending->route.latencyObjective / this->settings.absentPrimaryDivisor);
    this->enqueue(session);
}

// Opens a connection for the session to the first target whose share allows one more, or else in
// place of an idle connection of another team.
void SessionPooler::openFor(const Session &session, const std::vector<TargetId> &targets,
                            TimePoint now)
{
    for (const TargetId &id : targets) {
        const TargetRecord *record = this->targetTracker.find(id);
        if (record->connections.size() < this->connectionShare(*record)) {
            this->openIfAllowed(id, session.team, now);
            return;
        }
    }
    const bool isOpening = std::any_of(targets.begin(), targets.end(), [&](const TargetId &id) {
        return this->targetTracker.opensSoon(id, session.team, now);
    });
    if (isOpening)
        return;
    for (const TargetId &id : targets) {
        const PooledConnection *other = this->targetTracker.idleOfOtherTeam(id, session.team);
        if (other == nullptr || now < this->targetTracker.find(id)->connectBlockedUntil
            || this->targetTracker.connectingCount(id, session.team) > 0)
            continue;
        this->dropConnection(other->id);
        this->openIfAllowed(id, session.team, now);
        return;
    }
}

// Whether every connection that the statement could use is held by a transaction whose caller has
// sent nothing for the statement's latency objective. Such a transaction goes on until its idle
// limit, so another pooler should be tried soon. Only with teams, which share few connections.
bool SessionPooler::waitsForIdleTransactions(const Session &session,
                                             const std::vector<TargetId> &targets,
                                             TimePoint now) const
{
    if (!this->view.routes().hasTeams || targets.empty())
        return false;
    const TimePoint silentSince = now - session.pending->route.latencyObjective;
    const auto isHeld = [&](ConnectionId id) {
        const auto owner = this->sessions.find(this->targetTracker.connections().at(id).owner);
        return owner != this->sessions.end() && owner->second.pinned == id && !owner->second.pending
               && owner->second.transactionActivity <= silentSince;
    };
    return std::all_of(targets.begin(), targets.end(), [&](const TargetId &target) {
        const TargetRecord *record = this->targetTracker.find(target);
        return record->connections.size() >= this->connectionShare(*record)
               && std::all_of(record->connections.begin(), record->connections.end(), isHeld);
    });
}

// Whether only a primary can serve the statement and the group has had none for longer than a
// planned change takes.
bool SessionPooler::needsAbsentPrimary(const Session &session, TimePoint now) const
{
    const PendingStatement &pending = *session.pending;
    const auto since = this->view.withoutPrimarySince(pending.route.group, now);
    return since && now >= *since + this->settings.primaryAbsenceThreshold
           && (pending.needsPrimary || !this->requiredPosition(session, now));
}

void SessionPooler::enqueue(const Session &session)
{
    const PendingStatement &pending = *session.pending;
    this->queue.emplace(std::make_pair(pending.route.priority, pending.arrivedAt), session.number);
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

// Connections of the target that all poolers together may open. The rest is reserved for control
// instances, which must always be able to probe it.
std::uint32_t SessionPooler::connectionsForPoolers(const TargetRecord &record) const
{
    const std::uint32_t limit = this->view.limits(record.target.group).maxConnections;
    return limit > this->settings.controlConnections ? limit - this->settings.controlConnections
                                                     : 1;
}

// Whether the limit allows every pooler to keep one idle connection.
bool SessionPooler::mayKeepIdle(const TargetRecord &record) const
{
    return this->connectionsForPoolers(record) >= this->view.connectionHolders();
}

// Number of connections that this pooler may keep idle. Half of the target's limit stays free: the
// target holds the connections of a machine that lost power for seconds, and its replacement needs
// connections meanwhile. With fewer connections than poolers one is kept to the home replica of
// each group; any other is closed soon after its use.
std::uint32_t SessionPooler::idleShare(const TargetRecord &record) const
{
    if (!this->mayKeepIdle(record))
        return this->isHomeReplica(record) ? 1 : 0;
    const std::uint32_t limit = this->view.limits(record.target.group).maxConnections;
    return std::max<std::uint32_t>(1, limit / 2 / this->view.connectionHolders());
}

// The replica that this pooler keeps a connection to where the limits allow none to each target. In
// the own failure domain if there is one; otherwise chosen by rendezvous hashing, so that the
// poolers of other domains spread over the replicas. Null without a replica, or if the limits do
// not allow a share of the poolers to each.
const TargetRecord *SessionPooler::homeReplica(const GroupId &group) const
{
    const TargetRecord *home = nullptr;
    std::pair<bool, std::size_t> best;
    std::uint32_t replicas = 0;
    for (const auto &[id, record] : this->targetTracker.records()) {
        if (record.target.group != group || record.target.phase != TargetPhase::Ready
            || id == this->view.knownPrimary(group))
            continue;
        ++replicas;
        const std::pair<bool, std::size_t> rank(
            record.target.failureDomain == this->settings.failureDomain,
            std::hash<std::string>()(this->settings.instance.value + "/" + id.value));
        if (home == nullptr || best < rank) {
            home = &record;
            best = rank;
        }
    }
    if (home == nullptr)
        return nullptr;
    const std::uint32_t share = this->view.connectionHolders() / replicas;
    return share <= this->connectionsForPoolers(*home) ? home : nullptr;
}

bool SessionPooler::isHomeReplica(const TargetRecord &record) const
{
    return this->homeReplica(record.target.group) == &record;
}

std::uint32_t SessionPooler::connectionShare(const TargetRecord &record) const
{
    const std::uint32_t most = std::max<std::uint32_t>(1, this->connectionsForPoolers(record)
                                                              / this->view.connectionHolders());
    return std::min(most, this->idleShare(record) + this->settings.surplusConnections);
}

void SessionPooler::openIfAllowed(const TargetId &id, const TeamId &team, TimePoint now)
{
    TargetRecord *record = this->targetTracker.find(id);
    if (record == nullptr || now < record->connectBlockedUntil
        || this->targetTracker.connectingCount(id, team) > 0)
        return;
    const PooledConnection &connection = this->targetTracker.addConnection(*record, team, now);
    this->hooks.openTarget(connection.id, record->target, team);
}

// Keeps one connection open to each target, so that the first statement does not wait for one. With
// teams it is not known whose statement that will be.
void SessionPooler::keepWarm(TimePoint now)
{
    if (this->view.routes().hasTeams)
        return;
    for (const auto &[id, record] : this->targetTracker.records()) {
        if (record.connections.empty() && record.target.phase == TargetPhase::Ready
            && now >= record.suspendedUntil && this->idleShare(record) > 0)
            this->openIfAllowed(id, {}, now);
    }
}

// Dispatches queued statements by priority. Within a priority the oldest goes first, unless it has
// waited so long that it would be late anyway: then the newest goes first (adaptive LIFO).
void SessionPooler::dispatchQueue(TimePoint now)
{
    if (this->dispatchingQueue || this->queue.empty())
        return;
    this->dispatchingQueue = true;
    const auto waiting = std::exchange(this->queue, {});
    for (auto first = waiting.begin(); first != waiting.end();) {
        const unsigned priority = first->first.first;
        const auto last = std::find_if(first, waiting.end(), [priority](const auto &entry) {
            return entry.first.first != priority;
        });
        if (now >= first->first.second + this->settings.lifoThreshold)
            std::for_each(
                std::make_reverse_iterator(last), std::make_reverse_iterator(first),
                [this, now](const auto &entry) { this->dispatchQueued(entry.second, now); });
        else
            std::for_each(first, last, [this, now](const auto &entry) {
                this->dispatchQueued(entry.second, now);
            });
        first = last;
    }
    this->dispatchingQueue = false;
}

void SessionPooler::dispatchQueued(SessionNumber number, TimePoint now)
{
    const auto found = this->sessions.find(number);
    if (found != this->sessions.end() && found->second.pending
        && found->second.pending->stage == StatementStage::Queued)
        this->dispatch(found->second, now);
}

void SessionPooler::startOn(Session &session, PooledConnection &connection, TimePoint now)
{
    PendingStatement &pending = *session.pending;
    ++pending.attempts;
    connection.phase = ConnectionPhase::InUse;
    connection.owner = session.number;
    if (session.state == TransactionState::Open) {
        session.pinned = connection.id;
        session.generation =
            session.readOnlyTransaction ? 0 : this->view.generation(pending.route.group);
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
    if (!session.pending->needsPrimary
        && connection.target != this->view.knownPrimary(connection.group))
        command.minimum = this->requiredPosition(session, now);
    session.pending->stage = StatementStage::Beginning;
    connection.inTransaction = true;
    this->targetTracker.commandSent(connection,
                                    {command.kind, session.number, now, 0, command.minimum});
    this->hooks.sendToTarget(connection.id, {command});
}

// Commands that bring the connection to the session's state before the statement.
std::vector<TargetCommand> SessionPooler::stateCommands(Session &session,
                                                        PooledConnection &connection,
                                                        const TextStatement &statement)
{
    std::vector<TargetCommand> commands;
    const bool hasForeignValues = std::any_of(
        connection.values.begin(), connection.values.end(),
        [&session](const auto &value) { return session.values.count(value.first) == 0; });
    if (hasForeignValues) {
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

// One name for each access mode and shape, the same on all connections.
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
    PendingStatement &pending = *session.pending;
    const TextStatement &statement = pending.statement;
    std::vector<TargetCommand> commands = this->stateCommands(session, connection, statement);
    for (const TargetCommand &command : commands)
        this->targetTracker.commandSent(connection, {command.kind, session.number, now, 0});
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
    if (session.state == TransactionState::None && !pending.needsPrimary && !atPrimary)
        command.minimum = this->requiredPosition(session, now);
    pending.stage = StatementStage::Sent;
    const std::uint64_t generation = atPrimary ? this->view.generation(connection.group) : 0;
    this->targetTracker.commandSent(
        connection, {command.kind, session.number, now, generation, command.minimum});
    commands.push_back(std::move(command));
    this->hooks.sendToTarget(connection.id, commands);
}

// Sends the next statement of a transaction that is pinned to a connection.
void SessionPooler::sendOnPinned(Session &session, TimePoint now)
{
    PooledConnection *connection = this->targetTracker.connection(session.pinned);
    const bool authorised =
        connection != nullptr
        && (session.generation == 0 || this->holdsAuthority(*connection, session.generation, now));
    if (!authorised) {
        this->refuse(session, StatementFault::Aborted,
                     connection == nullptr ? "connection lost" : "primary changed", now);
        return;
    }
    if (this->refuseWithoutAccess(session, now))
        return;
    ++session.pending->attempts;
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

// A new connection serves its own team first.
void SessionPooler::release(PooledConnection &connection, TimePoint now, bool isNew)
{
    connection.owner = 0;
    if (!connection.awaited.empty())
        return;
    const TargetRecord *record = this->targetTracker.find(connection.target);
    if (record == nullptr || record->target.phase != TargetPhase::Ready) {
        this->dropConnection(connection.id);
        return;
    }
    connection.phase = ConnectionPhase::Idle;
    connection.idleSince = now;
    if (isNew && this->view.routes().hasTeams)
        this->dispatchToNew(connection.id, now);
    this->dispatchQueue(now);
}

// Starts the first waiting statement of the connection's team that may run on it. Otherwise
// statements of other teams could replace each new connection before it served one.
void SessionPooler::dispatchToNew(ConnectionId id, TimePoint now)
{
    std::vector<SessionNumber> waiting;
    for (const auto &[order, number] : this->queue)
        waiting.push_back(number);
    for (const SessionNumber number : waiting) {
        const PooledConnection *connection = this->targetTracker.connection(id);
        if (connection == nullptr || connection->phase != ConnectionPhase::Idle)
            return;
        const auto found = this->sessions.find(number);
        if (found == this->sessions.end() || found->second.team != connection->team
            || !found->second.pending || found->second.pending->stage != StatementStage::Queued)
            continue;
        const std::vector<TargetId> targets = this->candidates(found->second, now);
        if (std::find(targets.begin(), targets.end(), connection->target) == targets.end())
            continue;
        this->dequeue(number);
        this->dispatch(found->second, now);
    }
}

void SessionPooler::dropConnection(ConnectionId id)
{
    this->targetTracker.removeConnection(id);
    this->hooks.closeTarget(id);
}

// Unpins the session's transaction. A reusable connection is rolled back and kept, any other
// closed.
void SessionPooler::unpin(Session &session, bool reusable, TimePoint now)
{
    PooledConnection *connection = this->targetTracker.connection(session.pinned);
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
    this->targetTracker.commandSent(*connection, {command.kind, 0, now, 0});
    this->hooks.sendToTarget(connection->id, {command});
}

} // namespace rhubarbweir
