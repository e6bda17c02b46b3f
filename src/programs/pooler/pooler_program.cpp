// See pooler_program.hpp.
#include "programs/pooler/pooler_program.hpp"

#include "platform/fleet_calls.hpp"
#include "programs/support/buffer_limit.hpp"
#include "programs/support/event_log.hpp"
#include "programs/support/internal_addresses.hpp"
#include "programs/support/start_sequence.hpp"
#include "rhubarbweir/protocol/compression.hpp"
#include "rhubarbweir/protocol/document_delta.hpp"
#include "rhubarbweir/protocol/fleet_codec.hpp"

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

std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (std::uint64_t{device()} << 31U) ^ device();
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

} // namespace

PoolerProgram::PoolerProgram(EventLoop &eventLoop, platform::ProcessSettings processSettings,
                             std::string path)
    : settings(std::move(processSettings))
    , incarnation(randomIncarnation())
    , loop(eventLoop)
    , timer(this->loop,
            [this] {
                this->pooler.advance(EventLoop::now());
                this->relay.advance(EventLoop::now());
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
    , relay(this->loop, this->settings, randomIncarnation(), this->pooler, this->relayHooks())
{
}

absl::Status PoolerProgram::run()
{
    limitBuffers(this->loop, this->settings.memoryLimit, this->metrics, this->sampler);
    StartSequence start(this->loop);
    start.add("readiness_port", [this] { return this->readiness.listen(); });
    start.add("peer_port", [this] { return this->relay.listen(); });
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
            this->relay.answer(session, answer);
        else
            this->callers.answer(session, answer);
    };
    hooks.closeSession = [this](SessionNumber session) {
        this->relay.sessionClosed(session);
        if (!RelayHolder::isRelayed(session))
            this->callers.close(session);
    };
    hooks.stateChanged = [this](SessionNumber session, std::size_t bytes) {
        if (!RelayHolder::isRelayed(session))
            this->callers.setStateSize(session, bytes);
    };
    hooks.heldConnections = [this](const GroupId &group, const TeamId &team) {
        return this->relay.heldConnections(group, team);
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
            this->relay.callerOpened({session, database, key});
        return outcome;
    };
    hooks.statement = [this](SessionNumber session, TextStatement statement) {
        this->relay.callerStatement(session, std::move(statement));
        this->scheduleAdvance();
    };
    hooks.closed = [this](SessionNumber session) {
        this->relay.callerClosed(session);
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

SessionRelayHooks PoolerProgram::relayHooks()
{
    SessionRelayHooks hooks;
    hooks.answer = [this](SessionNumber session, const StatementAnswer &answer) {
        this->callers.answer(session, answer);
    };
    hooks.closeSession = [this](SessionNumber session) {
        this->callers.close(session);
    };
    hooks.isStopping = [this] {
        return this->stopBy != TimePoint::max();
    };
    hooks.deadlineChanged = [this] {
        this->scheduleAdvance();
    };
    hooks.count = [this](std::string_view metric) {
        this->metrics.count(metric);
    };
    hooks.event = [this](std::string_view event, const PoolerEventFields &fields) {
        this->metrics.count(event);
        this->sampler.log(event, fields, false, EventLoop::now());
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
    message.address = this->relay.address();
    if (this->relay.needsPeers())
        message.peersVersion = this->relay.peersVersion();
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
        this->relay.peersReceived(*lease.peers);
    if (!lease.view.controls.empty())
        this->link.setControls(lease.view.controls);
    if (!lease.configuration.bytes.empty()) {
        const absl::Status applied = this->configurationReceived(lease, now);
        if (!applied.ok())
            logEvent(LogLevel::Error, "configuration_unreadable", {{"cause", applied.ToString()}});
    }
    if (sentAt)
        this->relay.closeMisplacedSessions();
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

// Errors: those of decompress() and applyDocumentDelta(), InvalidArgument for an invalid document.
absl::Status PoolerProgram::configurationReceived(const FleetLease &lease, TimePoint now)
{
    // A delayed or repeated one.
    if (lease.configurationVersion <= this->document.version)
        return absl::OkStatus();
    const bool isWhole = lease.configurationBase == 0;
    if (!isWhole && lease.configurationBase != this->document.version)
        return absl::DataLossError("the delta is for another document");
    auto received = isWhole ? decompress(lease.configuration.bytes, MaxDocumentBytes)
                            : applyDocumentDelta(this->document.document.bytes, lease.configuration,
                                                 MaxDocumentBytes);
    if (!received.ok())
        return received.status();
    auto table = platform::decodeRouteTable(*received);
    if (!table.ok())
        return table.status();
    this->document = {lease.configurationVersion, OpaqueBytes(*std::move(received))};
    this->pooler.routesReceived(*std::move(table), now);
    return absl::OkStatus();
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
    this->timer.wakeAt(std::min(this->pooler.nextDeadline(), this->relay.nextDeadline()));
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
        this->relay.closeAll();
        this->pooler.closeAll(now);
    } else if (now >= this->refuseFrom) {
        // A session that starts now might not end before the process does.
        this->callers.stopListening();
        this->relay.closeWhenAnswered();
        this->pooler.closeWhenAnswered(now);
    } else if (now >= this->closeFrom) {
        const std::size_t batchSize = this->pooler.sessionCount() / DrainBatches + 1;
        this->pooler.closeIdleSessions(batchSize, now);
        this->relay.closeIdleSessions(this->relay.sessionCount() / DrainBatches + 1);
    }
    const bool isEmpty = now >= this->closeFrom && this->pooler.sessionCount() == 0
                         && this->relay.sessionCount() == 0;
    if (now >= this->stopBy || (isEmpty && now >= this->refuseFrom)) {
        // Leaves time to send queued answers.
        this->loop.schedule(now + FlushTime, [this] { this->loop.stop(); });
        return;
    }
    this->scheduleAdvance();
    this->loop.schedule(now + DrainInterval, [this] { this->drainStep(); });
}

} // namespace rhubarbweir
