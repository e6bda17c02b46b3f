// See session_pooler.hpp. This file: selection of a connection for a statement, and sending.
#include "rhubarbweir/coordination/sessions/session_pooler.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
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
    for (const TargetRecord *member : this->targetTracker.group(pending.route.group).members) {
        const TargetRecord &record = *member;
        const TargetId &id = record.target.target;
        if (pending.tried.count(id) != 0 || !this->isAvailable(record, now))
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
    this->keepInRegion(pending, ranked, now);
    std::vector<TargetId> ids;
    ids.reserve(ranked.size());
    for (const auto &[delay, id] : ranked)
        ids.push_back(id);
    return ids;
}

// Sends the session's statement on an idle connection, or queues it and opens one if allowed. With
// teams, a statement does not pass those that wait.
void SessionPooler::dispatch(Session &session, TimePoint now)
{
    if (this->refuseWithoutAccess(session, now) || !this->mayProceed(session, now))
        return;
    const GroupId group = session.pending->route.group;
    if (this->queue.isByTeam() && this->queue.isWaited(group, session.pending->needsPrimary)) {
        this->enqueue(session, now);
        this->dispatchGroup(group, now);
    } else if (!this->trySend(session, now)) {
        this->enqueue(session, now);
    }
}

// False if no idle connection can run the session's statement; one is then opened if allowed.
bool SessionPooler::trySend(Session &session, TimePoint now)
{
    const std::vector<TargetId> ids = this->candidates(session, now);
    for (const TargetId &id : ids) {
        if (PooledConnection *connection =
                this->targetTracker.idleConnection(id, session.team, session.values)) {
            this->queue.taken(session.number, now);
            this->startOn(session, *connection, now);
            return true;
        }
    }
    this->openFor(session, ids, now);
    if (this->waitsForIdleTransactions(session, ids, now))
        session.pending->queueDeadline = std::min(
            session.pending->queueDeadline,
            now + session.pending->route.latencyObjective / this->settings.absentPrimaryDivisor);
    return false;
}

// Opens a connection for the session to the first target whose share allows one more, or else in
// place of an idle connection of another team.
void SessionPooler::openFor(const Session &session, const std::vector<TargetId> &targets,
                            TimePoint now)
{
    for (const TargetId &id : targets) {
        const TargetRecord *record = this->targetTracker.find(id);
        if (this->hasRoomFor(*record, session.team)) {
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
        // Several statements may wait for the connection that one of them has opened.
        if (this->mayOpen(*this->targetTracker.find(id), session.team, now)) {
            this->dropConnection(other->id);
            this->openIfAllowed(id, session.team, now);
        }
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
        return !this->hasRoomFor(*record, session.team)
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

void SessionPooler::limitWaitForPrimary(Session &session, TimePoint now) const
{
    if (!this->needsAbsentPrimary(session, now))
        return;
    PendingStatement &pending = *session.pending;
    pending.queueDeadline = std::min(
        pending.queueDeadline,
        pending.arrivedAt + pending.route.latencyObjective / this->settings.absentPrimaryDivisor);
}

void SessionPooler::enqueue(Session &session, TimePoint now)
{
    PendingStatement &pending = *session.pending;
    pending.stage = StatementStage::Queued;
    this->limitWaitForPrimary(session, now);
    WaitingStatement waiting;
    waiting.session = session.number;
    waiting.group = pending.route.group;
    waiting.needsPrimary = pending.needsPrimary;
    waiting.priority = pending.route.priority;
    waiting.team = session.team;
    const auto &teams = this->view.routes().teams;
    if (const auto team = teams.find(session.team); team != teams.end())
        waiting.teamPriority = team->second.priority;
    waiting.arrivedAt = pending.arrivedAt;
    waiting.objective =
        pending.arrivedAt + std::min(pending.route.timeout, pending.route.latencyObjective);
    waiting.deadline = pending.deadline;
    this->refuseQueued(this->queue.add(waiting, now), now);
}

// Refuses statements that the queue has given up. An answer can lead to another statement and to
// further refusals; those are appended, so that the calls do not nest.
void SessionPooler::refuseQueued(const std::vector<QueueRefusal> &refusals, TimePoint now)
{
    this->queueRefusals.insert(this->queueRefusals.end(), refusals.begin(), refusals.end());
    if (std::exchange(this->refusingQueued, true))
        return;
    while (!this->queueRefusals.empty()) {
        const QueueRefusal refusal = this->queueRefusals.front();
        this->queueRefusals.pop_front();
        const auto found = this->sessions.find(refusal.session);
        if (found == this->sessions.end() || !found->second.pending
            || found->second.pending->stage != StatementStage::Queued
            || this->queue.contains(refusal.session))
            continue;
        Session &session = found->second;
        const std::string reason(nameOf(refusal.reason));
        this->hooks.event(absl::StrCat("queue_", reason),
                          {{"request", session.pending->statement.id},
                           {"group", session.pending->route.group.value},
                           {"team", session.team.value},
                           {"priority", absl::StrCat(session.pending->route.priority)},
                           {"waiting", absl::StrCat(this->queue.size())}},
                          true);
        this->refuse(session, notRunFault(session.pending->lastFault), reason, now);
    }
    this->refusingQueued = false;
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

// Whether connections to the target may be kept idle at all. With many targets, or fewer
// connections than poolers, only those to groups in use; and one to a target that failed, because
// only a connection shows that it is back.
bool SessionPooler::isWanted(const TargetRecord &record) const
{
    return this->groupsInUse.count(record.target.group) != 0 || record.state != ObservedState::Alive
           || (this->targetTracker.records().size() <= this->settings.manyTargets
               && this->mayKeepIdle(record));
}

// Number of connections that this pooler may keep idle. Half of the target's limit stays free: the
// target holds the connections of a machine that lost power for seconds, and its replacement needs
// connections meanwhile. With fewer connections than poolers one is kept to the home replica of
// each group; any other is closed soon after its use.
std::uint32_t SessionPooler::idleShare(const TargetRecord &record) const
{
    if (!this->isWanted(record))
        return 0;
    if (!this->mayKeepIdle(record))
        return this->isHomeReplica(record) ? 1 : 0;
    const std::uint32_t limit = this->view.limits(record.target.group).maxConnections;
    return std::max<std::uint32_t>(1, limit / 2 / this->view.connectionHolders());
}

// The group's home replica; null also if the limits do not allow a share of the poolers to each
// replica.
const TargetRecord *SessionPooler::homeReplica(const GroupId &id) const
{
    const TargetGroup &group = this->targetTracker.group(id);
    if (group.home == nullptr)
        return nullptr;
    const std::uint32_t share =
        this->targetTracker.poolersOfHome(group, this->view.connectionHolders());
    return share <= this->connectionsForPoolers(*group.home) ? group.home : nullptr;
}

bool SessionPooler::isHomeReplica(const TargetRecord &record) const
{
    return this->homeReplica(record.target.group) == &record;
}

// Whether the share of this pooler in the target's connections allows one more.
bool SessionPooler::hasRoomFor(const TargetRecord &record, const TeamId &team) const
{
    if (const auto held = this->hooks.heldConnections(record.target.group, team))
        return this->targetTracker.connectionCount(record, team) < *held;
    return record.connections.size() < this->connectionShare(record);
}

// Whether an idle connection is to be closed. A holder of a group serves the callers of many
// poolers, so it keeps connections longer than a pooler that shares a target with all others.
bool SessionPooler::isSurplus(const PooledConnection &connection, const TargetRecord &record,
                              TimePoint now) const
{
    if (const auto held = this->hooks.heldConnections(record.target.group, connection.team))
        return this->targetTracker.connectionCount(record, connection.team) > *held
               || now >= connection.idleSince + this->settings.heldIdleTimeout;
    return now >= connection.idleSince + this->settings.surplusIdleTimeout
           && record.connections.size() > this->idleShare(record);
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

// Keeps one connection open to each target that may have an idle one, so that the first statement
// does not wait for one. With teams it is not known whose statement that will be.
void SessionPooler::keepWarm(TimePoint now)
{
    if (this->view.routes().hasTeams)
        return;
    for (const auto &[id, record] : this->targetTracker.records()) {
        if (record.connections.empty() && record.target.phase == TargetPhase::Ready
            && now >= record.suspendedUntil && !this->hooks.heldConnections(record.target.group, {})
            && this->idleShare(record) > 0)
            this->openIfAllowed(id, {}, now);
    }
}

// Sends the queued statements that can be sent, in the order of the queue.
void SessionPooler::dispatchQueue(TimePoint now)
{
    if (this->queue.empty() || std::exchange(this->dispatchingQueue, true))
        return;
    this->queue.offerAll(now, this->queueOffer(now, false));
    this->dispatchingQueue = false;
}

void SessionPooler::dispatchGroup(const GroupId &group, TimePoint now)
{
    if (std::exchange(this->dispatchingQueue, true))
        return;
    this->queue.offerGroup(group, now, this->queueOffer(now, false));
    this->dispatchingQueue = false;
}

// As dispatchQueue(), but examines the access of every queued statement.
void SessionPooler::recheckQueue(TimePoint now)
{
    if (this->queue.empty() || std::exchange(this->dispatchingQueue, true))
        return;
    this->queue.offerAll(now, this->queueOffer(now, true));
    this->dispatchingQueue = false;
}

QueueOffer SessionPooler::queueOffer(TimePoint now, bool offersAll)
{
    QueueOffer offer;
    offer.hasCapacity = [this, now, offersAll](const GroupId &group, bool needsPrimary) {
        // Without a configuration proof, every statement that needs a key is refused.
        if (offersAll || !this->servesTeams(now))
            return true;
        const TeamId none;
        return this->canServe(group, needsPrimary, this->queue.isByTeam() ? nullptr : &none, true,
                              now);
    };
    offer.hasConnection = [this, now](const WaitingStatement &waiting) {
        return this->canServe(waiting.group, waiting.needsPrimary, &waiting.team, false, now);
    };
    offer.offer = [this, now, offersAll](const WaitingStatement &waiting) {
        return this->offerQueued(waiting, now) || offersAll;
    };
    return offer;
}

// Sends a queued statement if possible. False if no other statement of the same group, need for the
// primary and team can be sent either.
bool SessionPooler::offerQueued(const WaitingStatement &waiting, TimePoint now)
{
    Session &session = this->sessions.at(waiting.session);
    if (this->refuseWithoutAccess(session, now))
        return true;
    if (session.team != waiting.team) {
        // The new team has a place of its own in the queue, and a limit of its own.
        this->queue.remove(session.number);
        this->dispatch(session, now);
        return true;
    }
    if (this->trySend(session, now))
        return true;
    this->limitWaitForPrimary(session, now);
    return this->canServe(waiting.group, waiting.needsPrimary, &session.team, true, now);
}

// Whether a target of the group has capacity and an idle connection for a statement or, with
// `mayConnect`, may be connected to. Without a team, whether that is so for any team.
bool SessionPooler::canServe(const GroupId &group, bool needsPrimary, const TeamId *team,
                             bool mayConnect, TimePoint now) const
{
    // The wait for a primary that is absent for long is shortened; see limitWaitForPrimary().
    const auto since = this->view.withoutPrimarySince(group, now);
    if (since && now >= *since + this->settings.primaryAbsenceThreshold)
        return true;
    const std::optional<TargetId> primary = this->view.primary(group, now);
    for (const TargetRecord *member : this->targetTracker.group(group).members) {
        const TargetRecord &record = *member;
        const TargetId &id = record.target.target;
        if (!this->isAvailable(record, now))
            continue;
        const bool isPrimary = primary && *primary == id;
        if (!isPrimary && (needsPrimary || id == this->view.knownPrimary(group)))
            continue;
        if (this->targetTracker.hasIdleConnection(id, team)
            || (mayConnect
                && (team != nullptr ? this->mayOpen(record, *team, now)
                                    : this->hasRoomFor(record, {}))))
            return true;
    }
    return false;
}

// Whether a connection of the team may be opened now, if need be in place of another team's.
bool SessionPooler::mayOpen(const TargetRecord &record, const TeamId &team, TimePoint now) const
{
    const TargetId &id = record.target.target;
    return now >= record.connectBlockedUntil && this->targetTracker.connectingCount(id, team) == 0
           && (this->hasRoomFor(record, team)
               || this->targetTracker.idleOfOtherTeam(id, team) != nullptr);
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
    std::vector<TargetCommand> commands;
    if (this->holdsTooManyStatements(connection))
        this->clearState(connection, commands);
    for (const TargetCommand &command : commands)
        this->targetTracker.commandSent(connection, {command.kind, session.number, now, 0});
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
    commands.push_back(std::move(command));
    this->hooks.sendToTarget(connection.id, commands);
}

bool SessionPooler::holdsTooManyStatements(const PooledConnection &connection) const
{
    return !connection.inTransaction
           && connection.prepared.size() >= this->settings.preparedPerConnection;
}

// Clears the values and prepared statements at the target.
void SessionPooler::clearState(PooledConnection &connection,
                               std::vector<TargetCommand> &commands) const
{
    TargetCommand discard;
    discard.kind = TargetCommandKind::Discard;
    commands.push_back(std::move(discard));
    connection.values.clear();
    connection.prepared.clear();
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
    if (hasForeignValues || this->holdsTooManyStatements(connection))
        this->clearState(connection, commands);
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
    const std::size_t size = StateEntryBytes + prepared.shape.size();
    if (this->preparedNamesSize + size > this->settings.preparedNamesLimit) {
        this->hooks.event("prepared_names_forgotten",
                          {{"shapes", absl::StrCat(this->preparedNames.size())},
                           {"bytes", absl::StrCat(this->preparedNamesSize)}},
                          false);
        this->preparedNames.clear();
        this->preparedNamesSize = 0;
    }
    this->preparedNamesSize += size;
    return this->preparedNames.emplace(key, absl::StrCat("p", this->lastPreparedName++))
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
    this->queue.sent(connection.group, pending.needsPrimary, session.team, now);
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

void SessionPooler::release(PooledConnection &connection, TimePoint now)
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
    this->dispatchQueue(now);
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
