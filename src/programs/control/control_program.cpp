// See control_program.hpp.
#include "programs/control/control_program.hpp"

#include "programs/support/event_log.hpp"
#include "programs/support/start_sequence.hpp"
#include "rhubarbweir/protocol/message_conversion.hpp"
#include "rhubarbweir/protocol/state_codec.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace rhubarbweir {

namespace {

// Time to send queued messages before the event loops stop.
constexpr std::chrono::milliseconds FlushTime{150};
// Delay of the exit after a failed sync, so that a faulty disk causes no tight loop of restarts.
constexpr std::chrono::milliseconds DiskFailureExitDelay{1500};
// A planned stop waits this long for the confirmation that the instance has left the quorum.
constexpr std::chrono::milliseconds LeaveTimeout{2500};

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) ^ device();
}

std::vector<QuorumPeer> allPeers(const QuorumSettings &settings)
{
    std::vector<QuorumPeer> peers = settings.initialVoters;
    peers.insert(peers.end(), settings.spares.begin(), settings.spares.end());
    return peers;
}

void logControlEvent(const InstanceId &self, const ControlEvent &event)
{
    std::vector<EventField> fields;
    if (!event.group.empty())
        fields.emplace_back("group", event.group.value);
    if (!event.target.empty())
        fields.emplace_back("target", event.target.value);
    if (!event.instance.empty() && event.instance != self)
        fields.emplace_back("subject", event.instance.value);
    if (event.term != 0)
        fields.emplace_back("term", static_cast<std::int64_t>(event.term));
    if (event.revision != 0)
        fields.emplace_back("revision", static_cast<std::int64_t>(event.revision));
    if (!event.cause.empty())
        fields.emplace_back("cause", event.cause);
    logEvent(LogLevel::Info, nameOf(event.kind), fields);
}

void logQuorumEvent(const std::string &name, const std::vector<QuorumEventField> &fields)
{
    std::vector<EventField> converted;
    converted.reserve(fields.size());
    for (const QuorumEventField &field : fields)
        converted.emplace_back(field.key, field.value);
    logEvent(LogLevel::Info, name, converted);
}

} // namespace

ControlProgram::ControlProgram(EventLoop &eventLoop, ControlRunSettings runSettings)
    : settings(std::move(runSettings))
    , networkLoop(eventLoop)
    , timer(controlLoop,
            [this] {
                this->quorum.advance(EventLoop::now());
                this->node.advance(EventLoop::now());
                this->updateLeadershipAndTimer();
            })
    , server(networkLoop, settings.listenAddress, settings.maxConnections, this->serverHooks())
    , links(networkLoop, settings.control.instance, allPeers(settings.quorum))
    , node(settings.control, this->quorumPort(), stateCodec(), this->controlHooks(), randomSeed())
    , quorum(settings.quorum, this->quorumHooks(), std::mt19937_64(randomSeed()))
{
}

ControlProgram::~ControlProgram()
{
    this->controlLoop.stop();
    if (this->controlThread.joinable())
        this->controlThread.join();
}

absl::Status ControlProgram::run()
{
    RecoveredState recovered;
    StartSequence start(this->networkLoop);
    start.add("data_folder", [this, &recovered] {
        auto opened = this->disk.open(this->settings.dataFolder);
        if (!opened.ok())
            return opened.status();
        recovered = *std::move(opened);
        return absl::OkStatus();
    });
    start.add("port", [this] { return this->server.listen(); });
    if (absl::Status started = start.run(); !started.ok())
        return started;
    logEvent(LogLevel::Info, "control_started",
             {{"address", this->settings.listenAddress},
              {"failure_domain", this->settings.control.failureDomain.value}});
    this->networkLoop.onStopSignal([this](int) { this->stopRequested(); });
    this->networkLoop.onReloadSignal(logReloadIgnored);
    this->links.start();
    this->controlLoop.post([this, state = std::move(recovered)]() mutable {
        this->quorum.start(std::move(state), EventLoop::now());
        this->updateLeadershipAndTimer();
    });
    this->controlThread = std::thread([this] { this->controlLoop.run(); });
    this->networkLoop.run();
    return this->failed ? absl::UnavailableError("the disk failed") : absl::OkStatus();
}

QuorumPort ControlProgram::quorumPort()
{
    QuorumPort port;
    port.propose = [this](std::string payload, TimePoint now) {
        return this->quorum.propose(std::move(payload), now);
    };
    port.isLeader = [this] {
        return this->quorum.isLeader();
    };
    port.leader = [this] {
        const auto leader = this->quorum.leader();
        return leader ? leader->instance : InstanceId();
    };
    port.leaderAddress = [this] {
        const auto leader = this->quorum.leader();
        return leader ? leader->address : std::string();
    };
    port.leaseEnd = [this] {
        return this->quorum.leaseEnd(EventLoop::now());
    };
    port.leadershipStart = [this] {
        return this->quorum.lastLeadershipStart();
    };
    port.term = [this] {
        return this->quorum.term();
    };
    port.voters = [this] {
        return this->voterStatuses();
    };
    return port;
}

QuorumHooks ControlProgram::quorumHooks()
{
    QuorumHooks hooks;
    hooks.send = [this](const InstanceId &to, const QuorumMessage &message) {
        this->networkLoop.post(
            [this, to, copy = toMessage(message)] { this->links.send(to, copy); });
    };
    hooks.persist = [this](const PersistBatch &batch) {
        this->persist(batch);
    };
    hooks.apply = [this](std::uint64_t index, const std::string &payload) {
        this->node.applied(index, payload, EventLoop::now());
    };
    hooks.makeSnapshot = [this] {
        return this->node.snapshot();
    };
    hooks.restoreSnapshot = [this](const std::string &state, std::uint64_t index) {
        const absl::Status status = this->node.restore(state, EventLoop::now());
        logEvent(status.ok() ? LogLevel::Info : LogLevel::Error, "snapshot_restored",
                 {{"index", static_cast<std::int64_t>(index)}, {"status", status.ToString()}});
    };
    hooks.event = logQuorumEvent;
    return hooks;
}

ControlHooks ControlProgram::controlHooks()
{
    const auto sendTo = [this](ConnectionId connection, Message message) {
        this->networkLoop.post([this, connection, message = std::move(message)] {
            this->server.send(connection, message);
        });
    };
    ControlHooks hooks;
    hooks.sendToProxy = [sendTo](ConnectionId connection, const ProxyReply &message) {
        sendTo(connection, toMessage(message));
    };
    hooks.sendToTarget = [sendTo](ConnectionId connection, const TargetOrder &message) {
        sendTo(connection, toMessage(message));
    };
    hooks.sendToOperator = [sendTo](ConnectionId connection, const OperatorReply &message) {
        sendTo(connection, toMessage(message));
    };
    hooks.sendToControl = [this](const InstanceId &to, const ObserverReport &message) {
        this->networkLoop.post([this, to, message] { this->links.send(to, message); });
    };
    hooks.event = [this](const ControlEvent &event) {
        logControlEvent(this->settings.control.instance, event);
    };
    return hooks;
}

ControlServerHooks ControlProgram::serverHooks()
{
    ControlServerHooks hooks;
    hooks.received = [this](ConnectionId connection, Message message) {
        this->controlLoop.post([this, connection, message = std::move(message)] {
            this->handleMessage(connection, message);
            this->updateLeadershipAndTimer();
        });
    };
    hooks.closed = [this](ConnectionId connection) {
        this->controlLoop.post([this, connection] {
            this->peers.erase(connection);
            this->node.connectionClosed(connection, EventLoop::now());
            this->updateLeadershipAndTimer();
        });
    };
    hooks.get = [this](const std::string &path) {
        return this->get(path);
    };
    return hooks;
}

void ControlProgram::handleMessage(ConnectionId connection, const Message &message)
{
    const TimePoint now = EventLoop::now();
    if (const auto *renewal = std::get_if<RenewLease>(&message))
        this->node.receiveFromProxy(connection, *renewal, now);
    else if (const auto report = messageAs<TargetReport>(message))
        this->node.receiveFromTarget(connection, *report, now);
    else if (const auto request = messageAs<OperatorRequest>(message))
        this->node.receiveFromOperator(connection, *request, now);
    else
        this->handleControlMessage(connection, message);
}

void ControlProgram::handleControlMessage(ConnectionId connection, const Message &message)
{
    const TimePoint now = EventLoop::now();
    if (const auto *hello = std::get_if<PeerHello>(&message)) {
        this->peers[connection] = hello->instance;
        return;
    }
    const auto peer = this->peers.find(connection);
    if (peer == this->peers.end()) {
        logEvent(LogLevel::Warning, "message_ignored",
                 {{"cause", "no peer hello was received on the connection"}});
        return;
    }
    if (const auto quorumMessage = messageAs<QuorumMessage>(message))
        this->quorum.receive(peer->second, *quorumMessage, now);
    else if (const auto *report = std::get_if<ObserverReport>(&message))
        this->node.receiveFromControl(peer->second, *report, now);
}

void ControlProgram::persist(const PersistBatch &batch)
{
    this->disk.persist(batch, [this, token = batch.token](const absl::Status &status) {
        this->controlLoop.post([this, token, status] {
            if (status.ok()) {
                this->quorum.persisted(token, EventLoop::now());
            } else {
                logEvent(LogLevel::Error, "disk_failed", {{"cause", status.ToString()}});
                this->quorum.persistFailed(token, EventLoop::now());
                this->exitAfterDiskFailure();
            }
            this->updateLeadershipAndTimer();
        });
    });
}

// After a failed sync the contents of the disk are unknown. The instance may vote again only after
// a restart that reads them.
void ControlProgram::exitAfterDiskFailure()
{
    this->failed = true;
    this->networkLoop.post([this] {
        this->networkLoop.schedule(EventLoop::now() + DiskFailureExitDelay,
                                   [this] { this->networkLoop.stop(); });
    });
}

void ControlProgram::stopRequested()
{
    if (this->stopping) {
        this->networkLoop.stop();
        return;
    }
    this->stopping = true;
    logEvent(LogLevel::Info, "stop_requested", {{"cause", "signal"}});
    this->controlLoop.post([this] {
        this->quorum.leave(EventLoop::now());
        this->updateLeadershipAndTimer();
    });
    // Without a reachable majority the vote cannot be handed over.
    this->networkLoop.schedule(EventLoop::now() + LeaveTimeout, [this] { this->closeAndStop(); });
}

void ControlProgram::closeAndStop()
{
    if (std::exchange(this->closing, true))
        return;
    this->server.closeAll(CloseReason::GoingAway);
    this->networkLoop.schedule(EventLoop::now() + FlushTime, [this] {
        logEvent(LogLevel::Info, "control_stopped", {});
        this->networkLoop.stop();
    });
}

HttpReply ControlProgram::get(const std::string &path) const
{
    if (path != "/health")
        return {};
    if (this->stopping)
        return {503, "text/plain", "draining\n"};
    return this->knowsLeader ? HttpReply{200, "text/plain", "ready\n"}
                             : HttpReply{503, "text/plain", "no leader\n"};
}

void ControlProgram::updateLeadershipAndTimer()
{
    const auto leader = this->quorum.leader();
    const InstanceId leaderId = leader ? leader->instance : InstanceId();
    if (leaderId != this->lastLeader || this->quorum.isLeader() != this->wasLeader) {
        this->lastLeader = leaderId;
        this->wasLeader = this->quorum.isLeader();
        this->node.leadershipChanged(EventLoop::now());
    }
    // A leader without a lease, as one that can commit nothing, decides nothing either.
    this->knowsLeader = !leaderId.empty()
                        && (!this->quorum.isLeader() || this->quorum.leaseValid(EventLoop::now()));
    this->timer.wakeAt(std::min(this->quorum.nextDeadline(), this->node.nextDeadline()));
    if (this->quorum.hasLeft() && !std::exchange(this->hasLeft, true))
        this->networkLoop.post([this] {
            this->networkLoop.schedule(EventLoop::now() + FlushTime,
                                       [this] { this->closeAndStop(); });
        });
}

std::vector<VoterStatus> ControlProgram::voterStatuses() const
{
    std::vector<VoterStatus> statuses;
    for (const MemberStatus &member : this->quorum.memberStatuses(EventLoop::now())) {
        VoterStatus status;
        status.instance = member.member.peer.instance;
        status.address = member.member.peer.address;
        status.failureDomain = member.member.peer.failureDomain;
        status.voter = member.voter;
        status.reachable = member.reachable;
        status.matchedIndex = member.matchIndex;
        statuses.push_back(status);
    }
    return statuses;
}

} // namespace rhubarbweir
