// See session_pooler.hpp. This file: callers' sessions and statements.
#include "rhubarbweir/coordination/sessions/session_pooler.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarbweir {

namespace {

// Retries allowed per successful statement.
constexpr double RetryShare = 0.5;
// Interval of the checks of connections and silent targets.
constexpr std::chrono::milliseconds CheckInterval{100};

// Why a session may not run statements; see SessionPooler::updateTeam.
const char *causeOf(StatementFault fault)
{
    switch (fault) {
    case StatementFault::Denied:
        return "no team holds the key";
    case StatementFault::Aborted:
        return "key moved to another team";
    default:
        return "configuration not proven";
    }
}

} // namespace

SessionPooler::SessionPooler(PoolerSettings poolerSettings, PoolerHooks poolerHooks)
    : settings(std::move(poolerSettings))
    , hooks(std::move(poolerHooks))
    , proof(this->settings.revokeWithin)
    , targetTracker(this->settings)
    , retries(RetryShare)
    , queue(this->settings)
{
}

// Callers.

SessionOpening SessionPooler::sessionOpened(SessionNumber number, const std::string &database,
                                            const KeyDigest &key, TimePoint now)
{
    const Route *route = this->view.route(database);
    if (route == nullptr)
        return SessionOpening::UnknownDatabase;
    const RouteTable &table = this->view.routes();
    if (table.hasTeams && !route->isPublic && table.teamsByKey.count(key) == 0) {
        const bool mayDeny = this->proof.mayDeny(now);
        this->logRefusal(mayDeny ? StatementFault::Denied : StatementFault::Busy, number, "-",
                         database);
        return mayDeny ? SessionOpening::Denied : SessionOpening::Unproven;
    }
    Session session;
    session.number = number;
    session.database = database;
    session.key = key;
    this->sessions.emplace(number, std::move(session));
    return SessionOpening::Opened;
}

bool SessionPooler::servesTeams(TimePoint now) const
{
    return !this->view.routes().hasTeams || this->proof.isValid(now);
}

void SessionPooler::statement(SessionNumber number, TextStatement statement, TimePoint now)
{
    const auto found = this->sessions.find(number);
    if (found == this->sessions.end())
        return;
    if (found->second.pending) {
        found->second.backlog.push_back(std::move(statement));
        return;
    }
    this->process(found->second, std::move(statement), now);
}

void SessionPooler::sessionClosed(SessionNumber number, TimePoint now)
{
    const auto found = this->sessions.find(number);
    if (found == this->sessions.end())
        return;
    Session &session = found->second;
    this->queue.remove(number);
    if (session.pending && session.pending->stage == StatementStage::AwaitingToken)
        this->stopAwaiting(session);
    if (session.pending)
        this->settleToken(*session.pending, session.pending->attempts != 0, now);
    if (session.pinned != 0) {
        const PooledConnection *connection = this->targetTracker.connection(session.pinned);
        this->unpin(session, connection != nullptr && connection->awaited.empty(), now);
    }
    this->activeSessions.erase(number);
    this->sessions.erase(found);
    // The answer of a statement outside a transaction is still awaited; its connection is released
    // when it arrives.
    for (auto &[id, connection] : this->targetTracker.connections()) {
        if (connection.owner != number)
            continue;
        connection.owner = 0;
        for (AwaitedAnswer &awaited : connection.awaited)
            awaited.session = 0;
    }
    this->dispatchQueue(now);
}

void SessionPooler::process(Session &session, TextStatement statement, TimePoint now)
{
    session.transactionActivity = now;
    if (this->refuseAtArrival(session, statement, now))
        return;
    if (session.abortPending && statement.kind != TextStatementKind::Rollback) {
        session.abortPending = false;
        const bool ends = statement.kind == TextStatementKind::Commit;
        session.state = ends ? TransactionState::None : TransactionState::Failed;
        this->answerLocally(session, statement, StatementFault::Aborted);
        return;
    }
    const bool failed = session.state == TransactionState::Failed;
    if (statement.kind == TextStatementKind::Rollback) {
        if (session.state == TransactionState::None) {
            this->answerLocally(session, statement, StatementFault::Malformed);
            return;
        }
        this->rollback(session, now);
        this->answerLocally(session, statement, std::nullopt);
        return;
    }
    if (failed && statement.kind == TextStatementKind::Commit) {
        session.state = TransactionState::None;
        this->answerLocally(session, statement, StatementFault::Aborted);
        return;
    }
    if (failed || statement.kind == TextStatementKind::Malformed) {
        this->answerLocally(session, statement, StatementFault::Malformed);
        return;
    }
    switch (statement.kind) {
    case TextStatementKind::Begin:
        this->begin(session, statement, now);
        return;
    case TextStatementKind::SetValue:
    case TextStatementKind::Prepare:
    case TextStatementKind::Deallocate:
        this->answerLocally(session, statement, this->changeState(session, statement));
        return;
    default:
        this->runAtTarget(session, std::move(statement), now);
    }
}

// Sets or removes a value or prepared statement.
std::optional<StatementFault> SessionPooler::changeState(Session &session,
                                                         const TextStatement &statement)
{
    const auto sizeOf = [](const std::string &name, const std::string &content) {
        return StateEntryBytes + name.size() + content.size();
    };
    std::size_t former = 0;
    if (statement.kind == TextStatementKind::SetValue) {
        if (const auto found = session.values.find(statement.name); found != session.values.end())
            former = sizeOf(found->first, found->second);
    } else if (const auto found = session.prepared.find(statement.name);
               found != session.prepared.end()) {
        former = sizeOf(found->first, found->second.shape);
    }
    std::size_t next = session.stateBytes - former;
    if (statement.kind == TextStatementKind::Deallocate) {
        if (session.prepared.erase(statement.name) == 0)
            return StatementFault::NoSuchName;
    } else {
        next += sizeOf(statement.name, statement.argument);
        if (next > this->settings.sessionStateLimit)
            return StatementFault::TooMany;
        if (statement.kind == TextStatementKind::SetValue)
            session.values[statement.name] = statement.argument;
        else
            session.prepared[statement.name] = {statement.readOnly, statement.argument};
    }
    session.stateBytes = next;
    this->hooks.stateChanged(session.number, next);
    return std::nullopt;
}

// Whether the session's route is not public. A statement or transaction whose route was removed
// goes on under the former one.
bool SessionPooler::needsKey(const Session &session) const
{
    if (const Route *route = this->view.route(session.database))
        return !route->isPublic;
    if (session.pending)
        return !session.pending->route.isPublic;
    return session.state == TransactionState::Open && !session.transactionRoute.isPublic;
}

// Sets the session's team to the one that holds its key now. Returns why the session may not run
// statements.
std::optional<StatementFault> SessionPooler::updateTeam(Session &session, TimePoint now) const
{
    const RouteTable &table = this->view.routes();
    TeamId team;
    if (table.hasTeams && this->needsKey(session)) {
        const auto found = table.teamsByKey.find(session.key);
        if (!this->proof.isValid(now))
            return StatementFault::Busy;
        if (found == table.teamsByKey.end())
            return this->proof.mayDeny(now) ? StatementFault::Denied : StatementFault::Busy;
        team = found->second;
    }
    if (session.state == TransactionState::Open && session.team != team)
        return StatementFault::Aborted;
    session.team = team;
    return std::nullopt;
}

// One event, and so one counter, for each cause.
void SessionPooler::logRefusal(StatementFault fault, SessionNumber session,
                               const std::string &request, const std::string &database) const
{
    const char *event = fault == StatementFault::Denied    ? "key_denied"
                        : fault == StatementFault::Aborted ? "key_moved"
                                                           : "configuration_unproven";
    this->hooks.event(event,
                      {{"request", request},
                       {"session", absl::StrCat(session)},
                       {"database", database},
                       {"configuration", absl::StrCat(this->view.routes().version)}},
                      false);
}

// Refuses the pending statement if its session has lost the right to run it. Checked again right
// before sending, because the key may have been taken away while the statement waited.
bool SessionPooler::refuseWithoutAccess(Session &session, TimePoint now)
{
    const std::optional<StatementFault> fault = this->updateTeam(session, now);
    if (!fault)
        return false;
    this->logRefusal(*fault, session.number, session.pending->statement.id, session.database);
    this->refuse(session, *fault, causeOf(*fault), now);
    return true;
}

// Refuses a statement on arrival, whether it needs a target or not, if its session has lost the
// right to run any. An open transaction fails. The caller may always end a transaction unless its
// key was taken away, which has ended it.
bool SessionPooler::refuseAtArrival(Session &session, const TextStatement &statement, TimePoint now)
{
    const std::optional<StatementFault> fault = this->updateTeam(session, now);
    const bool isRollback = statement.kind == TextStatementKind::Rollback;
    if (!fault || (isRollback && *fault != StatementFault::Denied))
        return false;
    this->logRefusal(*fault, session.number, statement.id, session.database);
    if (session.state == TransactionState::Open)
        this->failTransaction(session, now);
    if (isRollback || statement.kind == TextStatementKind::Commit)
        session.state = TransactionState::None;
    session.abortPending = false;
    StatementAnswer answer;
    answer.fault = fault;
    answer.detail = causeOf(*fault);
    answer.state = session.state;
    this->hooks.answer(session.number, answer);
    return true;
}

void SessionPooler::begin(Session &session, const TextStatement &statement, TimePoint)
{
    const Route *route = this->view.route(session.database);
    if (session.state != TransactionState::None || route == nullptr) {
        this->answerLocally(session, statement,
                            route == nullptr ? StatementFault::NoDatabase
                                             : StatementFault::Malformed);
        return;
    }
    session.state = TransactionState::Open;
    session.readOnlyTransaction = statement.readOnly;
    session.transactionWrote = false;
    session.transactionRoute = *route;
    this->answerLocally(session, statement, std::nullopt);
}

void SessionPooler::rollback(Session &session, TimePoint now)
{
    session.abortPending = false;
    session.state = TransactionState::None;
    if (session.pinned != 0)
        this->unpin(session, true, now);
}

void SessionPooler::runAtTarget(Session &session, TextStatement statement, TimePoint now)
{
    if (!this->admitStatement(session, std::move(statement), now)
        || !this->mayProceed(session, now))
        return;
    if (session.pinned != 0) {
        this->sendOnPinned(session, now);
        return;
    }
    // With teams, or if any is late, the queue chooses which statement is refused.
    if (!this->queue.isByTeam() && this->queue.isFull()) {
        this->refuse(session, StatementFault::Busy, "queue is full", now);
        return;
    }
    this->dispatch(session, now);
}

// Sets the session's pending statement. False when the statement was answered at once instead.
bool SessionPooler::admitStatement(Session &session, TextStatement statement, TimePoint now)
{
    PendingStatement pending;
    pending.arrivedAt = now;
    const bool inTransaction = session.state == TransactionState::Open;
    if (inTransaction) {
        pending.route = session.transactionRoute;
    } else {
        const Route *route = this->view.route(session.database);
        if (route == nullptr || statement.kind == TextStatementKind::Commit) {
            this->answerLocally(session, statement,
                                route == nullptr ? StatementFault::NoDatabase
                                                 : StatementFault::Malformed);
            return false;
        }
        pending.route = *route;
    }
    pending.writes = statement.kind == TextStatementKind::Write;
    if (statement.kind == TextStatementKind::Execute) {
        const auto prepared = session.prepared.find(statement.name);
        if (prepared == session.prepared.end()) {
            this->answerLocally(session, statement, StatementFault::NoSuchName);
            return false;
        }
        pending.writes = !prepared->second.readOnly;
    }
    if (inTransaction && session.readOnlyTransaction && pending.writes) {
        this->failTransaction(session, now);
        this->answerLocally(session, statement, StatementFault::ReadOnly);
        return false;
    }
    pending.needsPrimary = pending.route.consistency == RouteConsistency::Primary || pending.writes
                           || (inTransaction && !session.readOnlyTransaction);
    pending.isFirst = session.pinned == 0;
    pending.deadline = now + pending.route.timeout;
    pending.queueDeadline = now + std::min(pending.route.timeout, pending.route.latencyObjective);
    // The queue refuses earlier what cannot be answered in time, or may be served elsewhere.
    if (this->queue.isByTeam()
        || StatementQueue::waitsWhenLate(pending.route.latencyObjective, pending.route.timeout))
        pending.queueDeadline = pending.deadline;
    pending.statement = std::move(statement);
    this->groupsInUse[pending.route.group] = now;
    session.pending = std::move(pending);
    this->activeSessions.emplace(session.number, &session);
    return true;
}

// Answers.

void SessionPooler::answerLocally(Session &session, const TextStatement &statement,
                                  std::optional<StatementFault> fault)
{
    StatementAnswer answer;
    answer.fault = fault;
    answer.state = session.state;
    if (fault)
        answer.detail = statement.id;
    this->hooks.answer(session.number, answer);
}

void SessionPooler::logStatement(const Session &session, std::string_view outcome, TimePoint now,
                                 bool sampled) const
{
    const PendingStatement &pending = *session.pending;
    const auto age = [now](TimePoint since) {
        return absl::StrCat(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count());
    };
    PoolerEventFields fields = {{"request", pending.statement.id},
                                {"session", absl::StrCat(session.number)},
                                {"group", pending.route.group.value},
                                {"kind", std::string(nameOf(pending.statement.kind))},
                                {"consistency", std::string(nameOf(pending.route.consistency))},
                                {"outcome", std::string(outcome)},
                                {"age_ms", age(pending.arrivedAt)},
                                {"attempts", absl::StrCat(pending.attempts)},
                                {"configuration", absl::StrCat(this->view.routes().version)},
                                {"view", absl::StrCat(this->view.revision())},
                                {"lease", this->view.leaseValid(now) ? "valid" : "ended"}};
    if (!session.team.empty())
        fields.emplace_back("team", session.team.value);
    for (const TargetId &target : pending.tried)
        fields.emplace_back("tried", target.value);
    this->hooks.event("statement", fields, sampled);
}

// Delivers the answer to the caller and starts the session's next statement.
void SessionPooler::finish(Session &session, const StatementAnswer &answer, TimePoint now)
{
    this->logStatement(session, answer.fault ? nameOf(*answer.fault) : "ok", now, !answer.fault);
    this->settleToken(*session.pending, didOperationRun(*session.pending, answer.fault), now);
    this->hooks.finished(session.pending->route.consistency, answer.fault,
                         std::chrono::duration_cast<Duration>(now - session.pending->arrivedAt));
    this->queue.remove(session.number);
    session.pending.reset();
    if (session.pinned == 0)
        this->activeSessions.erase(session.number);
    session.transactionActivity = now;
    this->hooks.answer(session.number, answer);
    if (!this->closingWhenAnswered)
        this->nextFromBacklog(session, now);
}

void SessionPooler::nextFromBacklog(Session &session, TimePoint now)
{
    // A statement that is answered at once comes back here; the loop then goes on with the next.
    if (std::exchange(session.isServingBacklog, true))
        return;
    while (!session.pending && !session.backlog.empty()) {
        TextStatement next = std::move(session.backlog.front());
        session.backlog.pop_front();
        this->process(session, std::move(next), now);
    }
    session.isServingBacklog = false;
}

// Answers the pending statement with a fault of the pooler and fails its transaction.
void SessionPooler::refuse(Session &session, StatementFault fault, const std::string &detail,
                           TimePoint now)
{
    const bool ends = session.pending->statement.kind == TextStatementKind::Commit;
    if (session.state != TransactionState::None) {
        this->failTransaction(session, now);
        if (ends)
            session.state = TransactionState::None;
    }
    StatementAnswer answer;
    answer.fault = fault;
    answer.detail = detail;
    answer.state = session.state;
    this->finish(session, answer, now);
}

// Fails the running transaction. Its connection is rolled back, or closed while an answer on it is
// outstanding.
void SessionPooler::failTransaction(Session &session, TimePoint now)
{
    session.state = TransactionState::Failed;
    if (session.pinned == 0)
        return;
    const PooledConnection *connection = this->targetTracker.connection(session.pinned);
    this->unpin(session, connection != nullptr && connection->awaited.empty(), now);
}

// Control.

void SessionPooler::viewReceived(const FleetView &next, TimePoint now)
{
    std::map<GroupId, std::uint64_t> generations;
    for (const PrimaryAuthority &authority : next.authorities)
        generations[authority.group] = this->view.logGeneration(authority.group);
    if (!this->view.update(next, now))
        return;
    for (const auto &[group, generation] : generations) {
        if (this->view.logGeneration(group) == generation)
            continue;
        this->freshness.erase(group);
        this->lastSample.erase(group);
        this->hooks.event("authority_changed",
                          {{"group", group.value},
                           {"generation", absl::StrCat(this->view.generation(group))},
                           {"primary", this->view.knownPrimary(group).value},
                           {"view", absl::StrCat(this->view.revision())}},
                          false);
    }
    for (const ConnectionId id : this->targetTracker.applyView(this->view, next, now)) {
        this->hooks.closeTarget(id);
        this->targetClosed(id, TargetFailure::Reset, now);
    }
    this->dispatchQueue(now);
}

void SessionPooler::routesReceived(RouteTable table, TimePoint now)
{
    if (!this->view.updateRoutes(std::move(table)))
        return;
    this->proof.applied(this->view.routes().version);
    this->hooks.event("configuration_in_force",
                      {{"version", absl::StrCat(this->view.routes().version)}}, false);
    this->queue.setByTeam(this->view.routes().hasTeams, now);
    this->serveUnlimited(now);
    this->recheckQueue(now);
}

void SessionPooler::leaseReceived(TimePoint end, std::uint32_t poolers, std::uint32_t formerPoolers,
                                  TimePoint now)
{
    const bool hadLease = this->view.leaseValid(now);
    this->view.extendLease(end);
    this->view.setPoolers(poolers, formerPoolers);
    if (!hadLease) {
        this->keepWarm(now);
        this->hooks.event("lease_regained", {{"view", absl::StrCat(this->view.revision())}}, false);
        this->dispatchQueue(now);
    }
}

void SessionPooler::configurationAnswered(std::uint64_t version, TimePoint sentAt, TimePoint now)
{
    const bool wasValid = this->servesTeams(now);
    this->proof.answered(version, sentAt);
    if (!wasValid && this->servesTeams(now))
        this->hooks.event("configuration_proven",
                          {{"version", absl::StrCat(this->view.routes().version)}}, false);
}

void SessionPooler::positionsReceived(const std::vector<GroupPosition> &positions, TimePoint sentAt,
                                      TimePoint now)
{
    bool isNews = false;
    for (const GroupPosition &each : positions) {
        const TimePoint asOf = sentAt - each.age;
        this->sharedAsOf[each.group] = asOf;
        const bool isCurrent = each.generation == this->view.generation(each.group)
                               && !this->view.knownPrimary(each.group).empty();
        TimePoint &last = this->lastSample[each.group];
        if (!isCurrent || asOf <= last)
            continue;
        last = asOf;
        this->freshness[each.group].record(asOf, each.position);
        isNews = true;
    }
    if (isNews)
        this->dispatchQueue(now);
}

std::vector<GroupPosition> SessionPooler::positionsToReport(TimePoint now)
{
    std::vector<GroupPosition> newer;
    for (const auto &[group, own] : this->ownPositions) {
        TimePoint &shared = this->sharedAsOf[group];
        if (own.asOf < shared + this->settings.positionReportStep
            || own.generation != this->view.generation(group))
            continue;
        shared = own.asOf;
        newer.push_back({group, own.generation, own.position,
                         std::chrono::duration_cast<Duration>(now - own.asOf)});
    }
    return newer;
}

std::vector<GroupId> SessionPooler::overloadedGroups(TimePoint now) const
{
    std::vector<GroupId> overloaded;
    for (const auto &[group, limits] : this->view.routes().groups) {
        const std::optional<TargetId> primary = this->view.primary(group, now);
        if (primary && this->targetTracker.isOverloaded(group, *primary, now))
            overloaded.push_back(group);
    }
    return overloaded;
}

// Time.

TimePoint SessionPooler::nextDeadline() const
{
    TimePoint earliest = std::min(this->nextCheck, this->budget.requestDueAt());
    for (const auto &[number, session] : this->activeSessions) {
        if (!session->pending)
            continue;
        const PendingStatement &pending = *session->pending;
        if (pending.stage == StatementStage::Paused
            || pending.stage == StatementStage::AwaitingToken)
            earliest = std::min(earliest, pending.resumeAt);
        else if (pending.stage == StatementStage::Queued)
            earliest = std::min(earliest, pending.queueDeadline);
        else
            earliest = std::min(earliest, pending.deadline);
    }
    if (this->queue.empty())
        return earliest;
    earliest = std::min(earliest, this->queue.nextDeadline());
    return std::min(earliest, this->targetTracker.suspensionEndAfter(this->advancedAt));
}

void SessionPooler::advance(TimePoint now)
{
    this->advancedAt = now;
    this->targetTracker.forgetSuspensionsUntil(now);
    this->requestTokensIfDue(now);
    std::vector<SessionNumber> due;
    for (auto entry = this->activeSessions.begin(); entry != this->activeSessions.end();) {
        const Session &session = *entry->second;
        const bool hasPending = session.pending.has_value();
        const bool isIdle =
            !hasPending && session.pinned != 0
            && now >= session.transactionActivity + this->view.routes().transactionIdle;
        if (hasPending || isIdle)
            due.push_back(entry->first);
        const bool isActive = hasPending || session.pinned != 0;
        entry = isActive ? std::next(entry) : this->activeSessions.erase(entry);
    }
    for (const SessionNumber number : due) {
        const auto found = this->sessions.find(number);
        if (found == this->sessions.end())
            continue;
        Session &session = found->second;
        if (session.pending) {
            this->expirePending(session, now);
        } else if (session.pinned != 0) {
            this->hooks.event("transaction_idle", {{"session", absl::StrCat(number)}}, false);
            this->unpin(session, true, now);
            session.abortPending = true;
        }
    }
    if (now >= this->nextCheck) {
        this->nextCheck = now + CheckInterval;
        this->logDistances();
        this->expireGroupsInUse(now);
        this->expireConnections(now);
        if (this->targetTracker.markSilentTargets(now))
            this->hooks.observationsChanged();
        if (this->view.leaseValid(now))
            this->keepWarm(now);
    }
    this->refuseQueued(this->queue.expire(now), now);
    this->dispatchQueue(now);
}

void SessionPooler::closeIdleSessions(std::size_t count, TimePoint now)
{
    std::vector<SessionNumber> idle;
    for (const auto &[number, session] : this->sessions) {
        if (idle.size() >= count)
            break;
        if (!session.pending && session.state == TransactionState::None && session.backlog.empty())
            idle.push_back(number);
    }
    for (const SessionNumber number : idle)
        this->endSession(number, now);
}

bool SessionPooler::closeIfIdle(SessionNumber number, TimePoint now)
{
    const auto found = this->sessions.find(number);
    if (found == this->sessions.end() || found->second.pending
        || found->second.state != TransactionState::None || !found->second.backlog.empty())
        return false;
    this->endSession(number, now);
    return true;
}

void SessionPooler::endSession(SessionNumber number, TimePoint now)
{
    this->sessionClosed(number, now);
    this->hooks.closeSession(number);
}

void SessionPooler::closeWhenAnswered(TimePoint now)
{
    this->closingWhenAnswered = true;
    std::vector<SessionNumber> withoutStatement;
    for (const auto &[number, session] : this->sessions) {
        if (!session.pending)
            withoutStatement.push_back(number);
    }
    for (const SessionNumber number : withoutStatement)
        this->endSession(number, now);
}

void SessionPooler::closeAll(TimePoint now)
{
    this->closingWhenAnswered = true;
    std::vector<SessionNumber> open;
    for (const auto &[number, session] : this->sessions)
        open.push_back(number);
    for (const SessionNumber number : open) {
        const auto found = this->sessions.find(number);
        if (found == this->sessions.end())
            continue;
        Session &session = found->second;
        if (session.pending) {
            const bool wasSent = session.pending->stage == StatementStage::Sent;
            this->stopAwaiting(session);
            this->refuse(session, wasSent ? StatementFault::Timeout : StatementFault::Busy,
                         "stopping", now);
        }
        this->endSession(number, now);
    }
}

} // namespace rhubarbweir
