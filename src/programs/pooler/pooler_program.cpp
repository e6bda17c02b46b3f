// See pooler_program.hpp.
#include "programs/pooler/pooler_program.hpp"

#include "platform/fleet_calls.hpp"
#include "programs/support/buffer_limit.hpp"
#include "programs/support/event_log.hpp"
#include "programs/support/internal_addresses.hpp"
#include "programs/support/start_sequence.hpp"
#include "rhubarbweir/protocol/compression.hpp"
#include "rhubarbweir/protocol/message_conversion.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <random>
#include <utility>

namespace rhubarbweir {

namespace {

// Only the platform and operators connect, for readiness and metrics.
constexpr std::size_t MaxReadinessConnections = 64;
// File descriptors reserved for targets, control and files.
constexpr std::uint32_t ReservedDescriptors = 400;
// The platform takes an instance out of rotation after two failed readiness probes, one second
// apart.
constexpr std::chrono::milliseconds RotationDelay{2500};
// Idle sessions are closed in batches, so that their callers do not all reconnect at once.
constexpr std::chrono::milliseconds DrainInterval{100};
constexpr std::size_t DrainBatches = 8;
// Time for sending queued answers before the process ends.
constexpr std::chrono::milliseconds FlushTime{100};
// Part of the grace period that is reserved for the exit of the process.
constexpr std::chrono::milliseconds ExitReserve{500};

// Of the sessions that another pooler should hold, this part is looked at with each lease.
constexpr std::size_t MisplacedPart = 4;
// Other poolers of the failure domain, and operators who look at metrics.
constexpr std::size_t MaxPeerConnections = 512;

// Limit on a decompressed configuration document; operators cannot store a larger one.
constexpr std::size_t MaxDocumentBytes = 1 << 20;

std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (std::uint64_t{device()} << 31U) ^ device();
}

std::string peerAddress(const platform::ProcessSettings &settings)
{
    // Control instances use the first internal port.
    return absl::StrCat(settings.ip, ":", settings.firstInternalPort + 1);
}

PoolerSettings poolerSettings(const platform::ProcessSettings &settings)
{
    PoolerSettings pooler;
    pooler.instance = settings.instance;
    pooler.failureDomain = settings.failureDomain;
    pooler.revokeWithin = settings.revokeWithin;
    pooler.limitsTeams = settings.teamLimits.has_value();
    return pooler;
}

absl::StatusOr<RouteTable> decodeConfiguration(const OpaqueBytes &compressed)
{
    const auto document = decompress(compressed.bytes, MaxDocumentBytes);
    if (!document.ok())
        return document.status();
    return platform::decodeRouteTable(*document);
}

} // namespace

PoolerProgram::PoolerProgram(EventLoop &eventLoop, platform::ProcessSettings processSettings,
                             std::string path)
    : settings(std::move(processSettings))
    , incarnation(randomIncarnation())
    , loop(eventLoop)
    , timer(this->loop,
            [this] {
                this->pooler.advance(EventLoop::now());
                this->relayEntry.advance(EventLoop::now());
                this->scheduleAdvance();
            })
    , pooler(poolerSettings(this->settings), this->poolerHooks())
    , targets(this->loop, this->settings.instance.value, this->targetHooks())
    , callers(this->loop, this->settings.callerAddress,
              this->settings.descriptorLimit
                  - std::min(ReservedDescriptors, this->settings.descriptorLimit / 2),
              this->callerHooks())
    , readiness(this->loop, this->settings.readinessAddress, MaxReadinessConnections,
                [this](const HttpRequest &request, const HttpResponder &respond) {
                    this->handleRequest(request, respond);
                })
    , link(this->loop, internalAddresses(this->settings), this->linkHooks())
    , seeds(this->loop, this->settings, std::move(path), this->link.seedHooks())
    , holders(this->settings.instance, PoolerSettings().controlConnections)
    , peers(this->loop, this->settings.instance, this->peerHooks())
    , relayEntry(randomIncarnation(), this->entryHooks())
    , relayHolder(this->holderHooks())
    , peerServer(this->loop, peerAddress(this->settings), {Subprotocol::Peer}, MaxPeerConnections,
                 ServerHooks{[this](const ConnectionPtr &connection, Subprotocol) {
                                 this->peers.accept(connection);
                             },
                             [](const std::string &) { return HttpReply(); }, logConnectionFault})
{
}

absl::Status PoolerProgram::run()
{
    limitBuffers(this->loop, this->settings.memoryLimit, this->metrics, this->sampler);
    StartSequence start(this->loop);
    start.add("readiness_port", [this] { return this->readiness.listen(); });
    start.add("peer_port", [this] { return this->peerServer.listen(); });
    start.add("caller_port", [this] { return this->callers.listen(); });
    if (absl::Status started = start.run(); !started.ok())
        return started;
    logEvent(LogLevel::Info, "pooler_started",
             {{"address", this->settings.callerAddress},
              {"failure_domain", this->settings.failureDomain.value},
              {"incarnation", static_cast<std::int64_t>(this->incarnation)}});
    this->loop.onStopSignal([this](int) { this->stopRequested(); });
    this->loop.onReloadSignal([this] { this->seeds.reload(); });
    this->link.start();
    this->seeds.start();
    this->scheduleAdvance();
    this->loop.run();
    logEvent(LogLevel::Info, "pooler_stopped", {});
    return absl::OkStatus();
}

PoolerHooks PoolerProgram::poolerHooks()
{
    PoolerHooks hooks;
    hooks.answer = [this](SessionNumber session, const StatementAnswer &answer) {
        if (RelayHolder::isRelayed(session))
            this->relayHolder.answer(session, answer);
        else
            this->callers.answer(session, answer);
    };
    hooks.closeSession = [this](SessionNumber session) {
        this->unbound.erase(session);
        this->servedHere.erase(session);
        if (RelayHolder::isRelayed(session))
            this->relayHolder.sessionClosed(session);
        else
            this->callers.close(session);
    };
    hooks.stateChanged = [this](SessionNumber session, std::size_t bytes) {
        if (!RelayHolder::isRelayed(session))
            this->callers.setStateSize(session, bytes);
    };
    hooks.heldConnections = [this](const GroupId &group, const TeamId &team) {
        const AuthorityView &view = this->pooler.authorityView();
        return this->holders.connections(view.routes(), group, team, view.connectionHolders());
    };
    hooks.openTarget = [this](ConnectionId connection, const RegisteredTarget &target,
                              const TeamId &team) {
        this->targets.open(connection, target, team);
    };
    hooks.sendToTarget = [this](ConnectionId connection,
                                const std::vector<TargetCommand> &commands) {
        this->targets.send(connection, commands);
    };
    hooks.closeTarget = [this](ConnectionId connection) {
        this->targets.close(connection);
    };
    hooks.observationsChanged = [this] {
        this->link.renewNow();
    };
    hooks.tokensNeeded = [this] {
        this->link.requestTokens();
    };
    hooks.finished = [this](RouteConsistency consistency, std::optional<StatementFault> fault,
                            Duration took) {
        this->metrics.measure(nameOf(consistency), took);
        if (fault)
            this->metrics.count(absl::StrCat("fault_", std::string(nameOf(*fault))));
    };
    hooks.event = [this](std::string_view event, const PoolerEventFields &fields, bool sampled) {
        this->metrics.count(event);
        this->sampler.log(event, fields, sampled, EventLoop::now());
    };
    return hooks;
}

TargetStreamHooks PoolerProgram::targetHooks()
{
    TargetStreamHooks hooks;
    hooks.opened = [this](ConnectionId connection, std::optional<LogPosition> position) {
        this->pooler.targetOpened(connection, position, EventLoop::now());
        this->scheduleAdvance();
    };
    hooks.answered = [this](ConnectionId connection, const StatementAnswer &answer) {
        this->pooler.targetAnswered(connection, answer, EventLoop::now());
        this->scheduleAdvance();
    };
    hooks.closed = [this](ConnectionId connection, TargetFailure failure) {
        this->pooler.targetClosed(connection, failure, EventLoop::now());
        this->scheduleAdvance();
    };
    return hooks;
}

CallerStreamHooks PoolerProgram::callerHooks()
{
    CallerStreamHooks hooks;
    hooks.isReady = [this] {
        return this->pooler.isReady();
    };
    hooks.opened = [this](SessionNumber session, const std::string &database,
                          const KeyDigest &key) {
        const SessionOpening outcome =
            this->pooler.sessionOpened(session, database, key, EventLoop::now());
        if (outcome == SessionOpening::Opened)
            this->unbound[session] = {session, database, key};
        return outcome;
    };
    hooks.statement = [this](SessionNumber session, TextStatement statement) {
        this->statementReceived(session, std::move(statement));
        this->scheduleAdvance();
    };
    hooks.closed = [this](SessionNumber session) {
        this->unbound.erase(session);
        this->servedHere.erase(session);
        if (this->relayEntry.holds(session))
            this->relayEntry.callerClosed(session);
        else
            this->pooler.sessionClosed(session, EventLoop::now());
        this->scheduleAdvance();
    };
    return hooks;
}

FleetLinkHooks PoolerProgram::linkHooks()
{
    FleetLinkHooks hooks;
    hooks.renewal = [this] {
        return this->renewal();
    };
    hooks.received = [this](const FleetLease &lease, std::optional<TimePoint> sentAt) {
        this->leaseReceived(lease, sentAt);
    };
    hooks.positions = [this] {
        return this->pooler.positionsToReport(EventLoop::now());
    };
    hooks.tokenRequest = [this]() -> std::optional<TokenRequest> {
        auto report = this->pooler.tokenReport(EventLoop::now());
        if (!report)
            return std::nullopt;
        return TokenRequest{this->settings.instance, this->incarnation, *std::move(report)};
    };
    hooks.tokensAnswered = [this](const TokenAnswer &answer) {
        this->pooler.tokensAnswered(answer, EventLoop::now());
        this->scheduleAdvance();
    };
    hooks.tokensUnanswered = [this](bool isRefused) {
        this->reportsTokens = false;
        this->pooler.tokensUnanswered(isRefused);
    };
    return hooks;
}

// Relayed sessions.

void PoolerProgram::statementReceived(SessionNumber session, TextStatement statement)
{
    const auto found = this->unbound.find(session);
    if (found != this->unbound.end()) {
        const RelayedSession opened = found->second;
        this->unbound.erase(found);
        if (this->bindToHolder(session, opened.database, opened.key))
            this->pooler.sessionClosed(session, EventLoop::now());
        else if (this->needsPeers())
            this->servedHere[session] = opened;
    }
    if (this->relayEntry.holds(session))
        this->relayStatement(session, std::move(statement));
    else
        this->pooler.statement(session, std::move(statement), EventLoop::now());
}

// The pooler that is to serve sessions of the database and key; null for this one.
const PoolerPeer *PoolerProgram::holderOf(const std::string &database, const KeyDigest &key) const
{
    const AuthorityView &view = this->pooler.authorityView();
    const Route *route = view.route(database);
    if (route == nullptr)
        return nullptr;
    TeamId team;
    if (const auto found = view.routes().teamsByKey.find(key);
        !route->isPublic && found != view.routes().teamsByKey.end())
        team = found->second;
    return this->holders.holder(view.routes(), route->group, team, view.connectionHolders(),
                                EventLoop::now());
}

// Opens the session at the holder of its group and team. False if this pooler is to serve it.
bool PoolerProgram::bindToHolder(SessionNumber session, const std::string &database,
                                 const KeyDigest &key)
{
    const PoolerPeer *holder = this->holderOf(database, key);
    if (holder == nullptr)
        return false;
    this->metrics.count("relay_opened");
    this->relayEntry.open({session, database, key}, *holder, EventLoop::now());
    return true;
}

bool PoolerProgram::needsPeers() const
{
    const AuthorityView &view = this->pooler.authorityView();
    return this->holders.isScarce(view.routes(), view.connectionHolders());
}

// Closes idle sessions that began while their holder was not known or not reachable, a part of them
// at a time. Otherwise they would keep connections away from the holder for as long as they last.
void PoolerProgram::closeMisplacedSessions()
{
    if (!this->needsPeers())
        return;
    const TimePoint now = EventLoop::now();
    std::vector<SessionNumber> misplaced;
    for (const auto &[number, session] : this->servedHere) {
        if (this->holderOf(session.database, session.key) != nullptr)
            misplaced.push_back(number);
    }
    std::size_t remaining = misplaced.size() / MisplacedPart + 1;
    for (const SessionNumber number : misplaced) {
        if (remaining > 0 && this->pooler.closeIfIdle(number, now))
            --remaining;
    }
    this->relayEntry.closeIdleSessions(
        this->relayEntry.sessionCount() / MisplacedPart + 1,
        [this](const RelayedSession &session, const PoolerPeer &holder) {
            const PoolerPeer *current = this->holderOf(session.database, session.key);
            return current == nullptr || current->instance != holder.instance;
        });
}

void PoolerProgram::relayStatement(SessionNumber session, TextStatement statement)
{
    const std::string *database = this->relayEntry.databaseOf(session);
    const Route *route =
        database == nullptr ? nullptr : this->pooler.authorityView().route(*database);
    this->relayEntry.statement(session, std::move(statement),
                               route == nullptr ? Duration::zero() : route->timeout,
                               EventLoop::now());
}

void PoolerProgram::bindElsewhere(const RelayedSession &session,
                                  std::vector<TextStatement> statements, bool mayRelay)
{
    const bool isRelayed =
        mayRelay && this->bindToHolder(session.number, session.database, session.key);
    if (!isRelayed
        && this->pooler.sessionOpened(session.number, session.database, session.key,
                                      EventLoop::now())
               != SessionOpening::Opened) {
        StatementAnswer refusal;
        refusal.fault = StatementFault::Busy;
        refusal.detail = "session not opened";
        for (std::size_t count = 0; count < statements.size(); ++count)
            this->callers.answer(session.number, refusal);
        this->callers.close(session.number);
        return;
    }
    for (TextStatement &statement : statements) {
        if (isRelayed)
            this->relayStatement(session.number, std::move(statement));
        else
            this->pooler.statement(session.number, std::move(statement), EventLoop::now());
    }
    this->scheduleAdvance();
}

PeerLinksHooks PoolerProgram::peerHooks()
{
    PeerLinksHooks hooks;
    hooks.message = [this](const InstanceId &peer, const Message &message) {
        const bool isKnown = this->peerMessage(peer, message);
        this->scheduleAdvance();
        return isKnown;
    };
    hooks.connected = [](const InstanceId &) {
    };
    hooks.lost = [this](const InstanceId &peer, bool wasConnected) {
        this->relayEntry.peerLost(peer, wasConnected, EventLoop::now());
        this->scheduleAdvance();
    };
    hooks.left = [this](const InstanceId &peer) {
        this->relayHolder.entryLost(peer);
        this->scheduleAdvance();
    };
    return hooks;
}

bool PoolerProgram::peerMessage(const InstanceId &peer, const Message &message)
{
    const TimePoint now = EventLoop::now();
    if (const auto *statement = std::get_if<RelayStatement>(&message))
        this->relayHolder.statement(peer, *statement);
    else if (const auto *answer = std::get_if<RelayAnswer>(&message))
        this->relayEntry.answered(peer, *answer, now);
    else if (const auto *open = std::get_if<RelayOpen>(&message))
        this->relayHolder.open(peer, *open);
    else if (const auto *close = std::get_if<RelayClose>(&message))
        this->relayHolder.close(peer, *close);
    else if (const auto *ended = std::get_if<RelayEnded>(&message))
        this->relayEntry.ended(peer, *ended, now);
    else if (const auto *ping = std::get_if<RelayPing>(&message)) {
        if (ping->isAnswer)
            this->relayEntry.ponged(peer, now);
        else
            this->peers.send(peer, "", RelayPing{true});
    } else {
        return false;
    }
    return true;
}

RelayEntryHooks PoolerProgram::entryHooks()
{
    RelayEntryHooks hooks;
    hooks.send = [this](const PoolerPeer &holder, const RelayMessage &message) {
        this->peers.send(holder.instance, holder.address, toMessage(message));
    };
    hooks.drop = [this](const InstanceId &holder) {
        this->peers.drop(holder);
    };
    hooks.answer = [this](SessionNumber session, const StatementAnswer &answer) {
        if (answer.fault)
            this->metrics.count(absl::StrCat("relay_fault_", std::string(nameOf(*answer.fault))));
        this->callers.answer(session, answer);
    };
    hooks.closeSession = [this](SessionNumber session) {
        this->callers.close(session);
    };
    hooks.bindElsewhere = [this](const RelayedSession &session,
                                 std::vector<TextStatement> statements, bool mayRelay) {
        this->bindElsewhere(session, std::move(statements), mayRelay);
    };
    hooks.unreachable = [this](const InstanceId &holder, TimePoint until) {
        this->holders.markUnreachable(holder, until);
    };
    hooks.event = [this](std::string_view event, const PoolerEventFields &fields) {
        this->metrics.count(event);
        this->sampler.log(event, fields, false, EventLoop::now());
    };
    return hooks;
}

RelayHolderHooks PoolerProgram::holderHooks()
{
    RelayHolderHooks hooks;
    hooks.send = [this](const InstanceId &entry, const RelayMessage &message) {
        this->peers.send(entry, "", toMessage(message));
    };
    hooks.accepts = [this] {
        return this->stopBy == TimePoint::max()
               && this->pooler.authorityView().leaseValid(EventLoop::now());
    };
    hooks.opened = [this](SessionNumber session, const std::string &database,
                          const KeyDigest &key) {
        return this->pooler.sessionOpened(session, database, key, EventLoop::now());
    };
    hooks.statement = [this](SessionNumber session, TextStatement statement) {
        this->pooler.statement(session, std::move(statement), EventLoop::now());
    };
    hooks.closed = [this](SessionNumber session) {
        this->pooler.sessionClosed(session, EventLoop::now());
    };
    return hooks;
}

// Control.

RenewLease PoolerProgram::renewal()
{
    RenewLease message;
    message.proxy = this->settings.instance;
    message.failureDomain = this->settings.failureDomain;
    message.incarnation = this->incarnation;
    message.revision = this->pooler.authorityView().revision();
    message.configurationVersion = this->pooler.authorityView().routes().version;
    message.draining = this->stopBy != TimePoint::max();
    message.observations = this->pooler.observations();
    message.overloadedGroups = this->pooler.overloadedGroups(EventLoop::now());
    message.address = peerAddress(this->settings);
    if (this->needsPeers())
        message.peersVersion = this->holders.peersVersion();
    message.tokens = this->pooler.tokenReport(EventLoop::now());
    if (message.tokens)
        this->reportsTokens = true;
    return message;
}

void PoolerProgram::leaseReceived(const FleetLease &lease, std::optional<TimePoint> sentAt)
{
    const TimePoint now = EventLoop::now();
    const std::uint64_t before = this->pooler.authorityView().revision();
    const std::uint64_t versionBefore = this->pooler.authorityView().routes().version;
    this->pooler.viewReceived(lease.view, now);
    if (lease.peers)
        this->holders.setPeers(*lease.peers);
    if (!lease.view.controls.empty())
        this->link.setControls(lease.view.controls);
    if (!lease.configuration.bytes.empty()) {
        auto table = decodeConfiguration(lease.configuration);
        if (table.ok())
            this->pooler.routesReceived(*std::move(table), now);
        else
            logEvent(LogLevel::Error, "configuration_unreadable",
                     {{"cause", table.status().ToString()}});
    }
    if (sentAt)
        this->closeMisplacedSessions();
    if (sentAt)
        this->pooler.configurationAnswered(lease.configurationVersion, *sentAt, now);
    const bool holdsView = this->pooler.authorityView().revision() >= lease.view.revision;
    if (sentAt)
        this->pooler.positionsReceived(lease.positions, *sentAt, now);
    this->tokensReceived(lease.tokens, sentAt.has_value());
    if (sentAt && holdsView)
        this->pooler.leaseReceived(*sentAt + lease.leaseFor, lease.poolers, lease.formerPoolers,
                                   now);
    if (this->pooler.isReady())
        this->callers.openWaiting();
    const AuthorityView &view = this->pooler.authorityView();
    // Control waits for this acknowledgement before it lets another target become primary. Other
    // changes are acknowledged by the next renewal.
    const bool changedAuthority = view.revision() != before && !lease.view.authorities.empty();
    if (!sentAt && (changedAuthority || view.routes().version != versionBefore))
        this->link.renewNow();
    this->scheduleAdvance();
}

// An instance that grants a lease to a start that it has just registered, or of a version without
// team limits, answers a renewal but not the report in it.
void PoolerProgram::tokensReceived(const std::optional<TokenAnswer> &tokens, bool isAnswer)
{
    if (!isAnswer)
        return;
    if (tokens)
        this->pooler.tokensAnswered(*tokens, EventLoop::now());
    else if (this->reportsTokens)
        this->pooler.tokensUnanswered(false);
    this->reportsTokens = false;
}

void PoolerProgram::handleRequest(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.method == "GET" && request.target == MetricsPath) {
        this->metrics.set("rhubarbweir_waiting_statements", this->pooler.waitingCount());
        this->metrics.set("rhubarbweir_late_statements", this->pooler.lateCount());
        respond(metricsResponse(this->metrics));
        return;
    }
    const platform::FleetCall call = platform::decodeCall(request);
    if (!std::holds_alternative<platform::AskReadiness>(call)) {
        respond(platform::encodeUnknown());
        return;
    }
    const bool isStopping = this->stopBy != TimePoint::max();
    const bool isReady = this->pooler.isReady() && this->pooler.servesTeams(EventLoop::now());
    respond(platform::encodeReadiness(isReady && !isStopping));
}

void PoolerProgram::scheduleAdvance()
{
    this->timer.wakeAt(std::min(this->pooler.nextDeadline(), this->relayEntry.nextDeadline()));
}

void PoolerProgram::stopRequested()
{
    if (this->stopBy != TimePoint::max())
        return;
    const TimePoint now = EventLoop::now();
    this->stopBy = now + this->settings.grace - ExitReserve;
    this->closeFrom = now + RotationDelay;
    this->refuseFrom = now + this->settings.grace * 2 / 3;
    logEvent(LogLevel::Info, "stop_requested",
             {{"sessions", static_cast<std::int64_t>(this->callers.count())}});
    this->drainStep();
}

void PoolerProgram::drainStep()
{
    const TimePoint now = EventLoop::now();
    if (now >= this->stopBy) {
        this->relayEntry.closeAll();
        this->pooler.closeAll(now);
    } else if (now >= this->refuseFrom) {
        // A session that starts now might not end before the process does.
        this->callers.stopListening();
        this->relayEntry.closeWhenAnswered();
        this->pooler.closeWhenAnswered(now);
    } else if (now >= this->closeFrom) {
        const std::size_t batchSize = this->pooler.sessionCount() / DrainBatches + 1;
        this->pooler.closeIdleSessions(batchSize, now);
        this->relayEntry.closeIdleSessions(this->relayEntry.sessionCount() / DrainBatches + 1);
    }
    const bool isEmpty = now >= this->closeFrom && this->pooler.sessionCount() == 0
                         && this->relayEntry.sessionCount() == 0;
    if (now >= this->stopBy || (isEmpty && now >= this->refuseFrom)) {
        // Leaves time to send queued answers.
        this->loop.schedule(now + FlushTime, [this] { this->loop.stop(); });
        return;
    }
    this->scheduleAdvance();
    this->loop.schedule(now + DrainInterval, [this] { this->drainStep(); });
}

} // namespace rhubarbweir
