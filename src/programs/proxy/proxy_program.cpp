// See proxy_program.hpp.
#include "programs/proxy/proxy_program.hpp"

#include "programs/support/event_log.hpp"
#include "programs/support/start_sequence.hpp"
#include "rhubarbweir/protocol/message_conversion.hpp"

#include <absl/strings/str_cat.h>

#include <random>
#include <utility>

namespace rhubarbweir {

namespace {

// Interval at which the node's observations of its targets are passed to the control thread.
constexpr std::chrono::milliseconds ObservationInterval{50};
// Interval at which a draining proxy checks whether it can stop.
constexpr std::chrono::milliseconds DrainCheckInterval{20};
// Time to send queued answers before the event loop stops.
constexpr std::chrono::milliseconds FlushTime{200};

ViewSubscriberSettings subscriberSettings(const ProxyRunSettings &settings)
{
    ViewSubscriberSettings result;
    result.instance = settings.proxy.instance;
    result.address = settings.proxy.address;
    result.failureDomain = settings.proxy.failureDomain;
    result.incarnation = settings.proxy.incarnation;
    result.controlAddresses = settings.controlAddresses;
    result.renewInterval = settings.renewInterval;
    return result;
}

void logProxyEvent(const ProxyEvent &event)
{
    std::vector<EventField> fields;
    if (!event.group.empty())
        fields.emplace_back("group", event.group.value);
    if (!event.target.empty()) {
        fields.emplace_back("target", event.target.value);
        fields.emplace_back("state", nameOf(event.state));
    }
    if (event.generation != 0)
        fields.emplace_back("generation", static_cast<std::int64_t>(event.generation));
    if (!event.request.session.empty()) {
        fields.emplace_back("session", event.request.session.value);
        fields.emplace_back("request", static_cast<std::int64_t>(event.request.request));
    }
    if (event.reason != Reason::None)
        fields.emplace_back("cause", nameOf(event.reason));
    const bool isFrequent = event.kind == ProxyEventKind::RequestRefused
                            || event.kind == ProxyEventKind::ConnectionOpened;
    logEvent(isFrequent ? LogLevel::Debug : LogLevel::Info, nameOf(event.kind), fields);
}

std::uint64_t makeSeed(const ProxyRunSettings &settings)
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) ^ settings.proxy.incarnation;
}

} // namespace

ProxyProgram::ProxyProgram(EventLoop &eventLoop, ProxyRunSettings programSettings)
    : settings(std::move(programSettings))
    , trafficLoop(eventLoop)
    , timer(trafficLoop,
            [this] {
                this->node.advance(EventLoop::now());
                this->scheduleAdvance();
            })
    , node(settings.proxy, makeSeed(settings), this->nodeHooks())
    , peers(trafficLoop, settings.proxy.instance, this->peerHooks())
    , targets(trafficLoop, this->targetHooks())
    , server(trafficLoop, settings.listenAddress, settings.maxConnections, this->serverHooks())
    , controlLink(subscriberSettings(settings), this->controlHooks())
{
}

absl::Status ProxyProgram::run()
{
    StartSequence start(this->trafficLoop);
    start.add("port", [this] { return this->server.listen(); });
    if (absl::Status started = start.run(); !started.ok())
        return started;
    this->trafficLoop.onStopSignal([this](int) { this->stopRequested(); });
    this->trafficLoop.onReloadSignal(logReloadIgnored);
    this->trafficLoop.every(ObservationInterval, [this] {
        this->controlLink.setObservations(this->node.observations());
    });
    this->controlLink.start();
    logEvent(LogLevel::Info, "proxy_started",
             {{"address", this->settings.listenAddress},
              {"failure_domain", this->settings.proxy.failureDomain.value}});
    this->scheduleAdvance();
    this->trafficLoop.run();
    return absl::OkStatus();
}

ProxyHooks ProxyProgram::nodeHooks()
{
    ProxyHooks hooks;
    hooks.answerCaller = [this](CallerConnectionId id, const CallerReply &reply) {
        this->server.send(id, reply);
    };
    hooks.sendPeer = [this](const InstanceId &peer, const std::string &address,
                            const PeerMessage &message) {
        this->peers.send(peer, address, toMessage(message));
    };
    hooks.openTarget = [this](Generation generation, const std::string &address,
                              const OpenConnection &message) {
        this->targets.open(generation, address, message);
    };
    hooks.sendTarget = [this](Generation generation, const TargetRequest &message) {
        this->targets.send(generation, message);
    };
    hooks.closeTarget = [this](Generation generation) {
        this->targets.close(generation);
    };
    hooks.event = logProxyEvent;
    return hooks;
}

ProxyServerHooks ProxyProgram::serverHooks()
{
    ProxyServerHooks hooks;
    hooks.opened = [this](CallerConnectionId id) {
        this->node.callerOpened(id);
    };
    hooks.message = [this](CallerConnectionId id, const CallerMessage &message) {
        this->node.callerMessage(id, message, EventLoop::now());
        this->scheduleAdvance();
    };
    hooks.closed = [this](CallerConnectionId id) {
        this->node.callerClosed(id, EventLoop::now());
        this->scheduleAdvance();
    };
    hooks.peerConnected = [this](const ConnectionPtr &connection) {
        this->peers.accept(connection);
    };
    hooks.drain = [this](const DrainInstance &request) {
        return this->drainRequested(request);
    };
    hooks.get = [this](const std::string &path) {
        return this->get(path);
    };
    return hooks;
}

PeerLinksHooks ProxyProgram::peerHooks()
{
    PeerLinksHooks hooks;
    hooks.message = [this](const InstanceId &peer, const Message &message) {
        const auto known = messageAs<PeerMessage>(message);
        if (!known)
            return false;
        this->node.peerMessage(peer, *known, EventLoop::now());
        this->scheduleAdvance();
        return true;
    };
    hooks.connected = [this](const InstanceId &peer) {
        this->node.peerConnected(peer, EventLoop::now());
        this->scheduleAdvance();
    };
    hooks.lost = [this](const InstanceId &peer, bool) {
        this->node.peerLost(peer, EventLoop::now());
        this->scheduleAdvance();
    };
    hooks.left = [](const InstanceId &) {
    };
    return hooks;
}

TargetLinksHooks ProxyProgram::targetHooks()
{
    TargetLinksHooks hooks;
    hooks.opened = [this](Generation generation, const ConnectionOpened &message) {
        this->node.targetOpened(generation, message, EventLoop::now());
        this->scheduleAdvance();
    };
    hooks.refused = [this](Generation generation, OpenFailure failure) {
        this->node.targetRefused(generation, failure, EventLoop::now());
        this->scheduleAdvance();
    };
    hooks.message = [this](Generation generation, const TargetMessage &message) {
        this->node.targetMessage(generation, message, EventLoop::now());
        this->scheduleAdvance();
    };
    hooks.closed = [this](Generation generation) {
        this->node.targetClosed(generation, EventLoop::now());
        this->scheduleAdvance();
    };
    return hooks;
}

ControlLinkHooks ProxyProgram::controlHooks()
{
    ControlLinkHooks hooks;
    hooks.viewChanged = [this](ProxyViewPtr view) {
        this->trafficLoop.post([this, view = std::move(view)] {
            logEvent(LogLevel::Info, "view_in_force",
                     {{"revision", static_cast<std::int64_t>(view->revision)}});
            this->node.viewChanged(view, EventLoop::now());
            this->scheduleAdvance();
        });
    };
    hooks.leaseChanged = [this](TimePoint deadline) {
        this->trafficLoop.post([this, deadline] {
            this->hasLease = true;
            this->node.leaseChanged(deadline, EventLoop::now());
            this->scheduleAdvance();
        });
    };
    return hooks;
}

HttpReply ProxyProgram::get(const std::string &path) const
{
    if (path == "/health") {
        if (this->draining)
            return {503, "text/plain", "draining\n"};
        return this->hasLease ? HttpReply{200, "text/plain", "ready\n"}
                              : HttpReply{503, "text/plain", "starting\n"};
    }
    if (path == "/metrics")
        return {200, "text/plain; version=0.0.4", this->metrics()};
    return {};
}

std::string ProxyProgram::metrics() const
{
    const ProxyCounters counters = this->node.counters();
    std::string text;
    const auto add = [&text](std::string_view name, std::uint64_t value) {
        absl::StrAppend(&text, "rhubarb_", std::string(name), " ", value, "\n");
    };
    add("requests_total", counters.requests);
    add("answers_ok_total", counters.answersOk);
    add("answers_not_run_total", counters.answersNotRun);
    add("answers_failed_total", counters.answersFailed);
    add("answers_outcome_unknown_total", counters.answersUnknown);
    add("replica_reads_total", counters.replicaReads);
    add("primary_reads_total", counters.primaryReads);
    add("forwards_total", counters.forwards);
    add("retries_total", counters.retries);
    add("refused_overloaded_total", counters.refusedOverloaded);
    add("in_flight", counters.inFlight);
    add("queued", counters.queued);
    add("target_connections", counters.connections);
    add("open_transactions", counters.openTransactions);
    add("caller_connections", this->server.openConnections());
    return text;
}

void ProxyProgram::stopRequested()
{
    if (this->draining) {
        logEvent(LogLevel::Warning, "stopped_at_once", {{"cause", "second signal"}});
        this->trafficLoop.stop();
        return;
    }
    this->startDraining("signal");
}

DrainStarted ProxyProgram::drainRequested(const DrainInstance &request)
{
    if (request.instance != this->settings.proxy.instance)
        return {};
    if (!this->draining)
        this->startDraining("operator");
    return {request.instance, static_cast<std::uint32_t>(this->server.openConnections())};
}

void ProxyProgram::startDraining(std::string_view cause)
{
    this->draining = true;
    logEvent(LogLevel::Info, "drain_requested", {{"cause", cause}});
    this->node.drain(EventLoop::now());
    this->controlLink.setDraining(true);
    this->scheduleAdvance();
    this->stopWhenDrained(EventLoop::now() + this->settings.drainLimit);
}

void ProxyProgram::stopWhenDrained(TimePoint deadline)
{
    const bool isPastDeadline = EventLoop::now() >= deadline;
    if (this->node.isDrained() || isPastDeadline) {
        logEvent(LogLevel::Info, "proxy_stopped",
                 {{"cause", isPastDeadline ? "drain limit" : "drained"}});
        this->closeAndStop();
        return;
    }
    this->trafficLoop.schedule(EventLoop::now() + DrainCheckInterval,
                               [this, deadline] { this->stopWhenDrained(deadline); });
}

void ProxyProgram::closeAndStop()
{
    this->server.closeAll(CloseReason::GoingAway);
    this->trafficLoop.schedule(EventLoop::now() + FlushTime, [this] { this->trafficLoop.stop(); });
}

void ProxyProgram::scheduleAdvance()
{
    this->timer.wakeAt(this->node.nextDeadline());
}

} // namespace rhubarbweir
