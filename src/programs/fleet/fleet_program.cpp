// See fleet_program.hpp.
#include "programs/fleet/fleet_program.hpp"

#include "programs/fleet/run_record.hpp"
#include "programs/support/buffer_limit.hpp"
#include "programs/support/event_log.hpp"
#include "programs/support/internal_addresses.hpp"
#include "programs/support/start_sequence.hpp"
#include "rhubarbweir/protocol/compression.hpp"
#include "rhubarbweir/protocol/document_delta.hpp"
#include "rhubarbweir/protocol/fleet_codec.hpp"
#include "rhubarbweir/protocol/message_conversion.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <random>
#include <utility>

namespace rhubarbweir {

namespace {

// Time for sending queued messages before the process ends.
constexpr std::chrono::milliseconds FlushTime{200};
// Teams beyond this number have no metrics.
constexpr std::size_t MaxTeamMetrics = 256;
constexpr std::uint32_t MaxInternalConnections = 1024;
constexpr std::uint32_t MaxCallConnections = 512;
// Both are at most these parts of the file descriptors of the process.
constexpr std::uint32_t InternalPart = 2;
constexpr std::uint32_t CallPart = 8;
// Part of the link for configuration documents.
constexpr std::uint64_t DocumentLinkPart = 3;
// In a fleet with many targets a leader that is not lost may be silent for longer than an election
// timeout, for example while it sends each of 300 poolers a view of 1,800 targets.
constexpr unsigned ManyTargetsPatience = 3;
// A call is kept open for long, since only an answer shows that it is not carried out later.
constexpr std::chrono::seconds PromotionTimeout{60};
constexpr std::chrono::seconds PromotionConnectTimeout{1};
// A pooler with more bytes waiting is sent no views and answers. Its link of 1.4 Mbit/s takes 0.75
// s for them, and 300 such poolers take a quarter of the memory of an instance.
constexpr std::size_t MaxBacklogBytes = 128 << 10;
// Delay of the exit after a failed disk write. A full disk lasts for seconds, so an immediate
// restart would fail again.
constexpr std::chrono::milliseconds DiskFailureExitDelay{1500};
// An instance that stops leaves the quorum within this part of the time that the platform gives.
constexpr int LeaveGraceDivisor = 2;
// An election has to complete well within a pooler's lease, but must not be started by a short
// stall of a disk or processor.
constexpr std::chrono::milliseconds QuorumHeartbeat{75};
constexpr std::chrono::milliseconds ElectionTimeoutMin{200};
constexpr std::chrono::milliseconds ElectionTimeoutMax{350};
// Length of a pooler's lease. Longer than an election and the restart of a control instance. The
// replacement of a lost primary waits for its end only if a pooler that holds it is silent too.
constexpr std::chrono::milliseconds LeaseLength{8000};

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) ^ device();
}

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

std::string portOf(const std::string &address)
{
    return address.substr(address.rfind(':') + 1);
}

std::string selfAddress(const platform::ProcessSettings &settings)
{
    return absl::StrCat(settings.ip, ":", settings.firstInternalPort);
}

QuorumPeer peerAt(const std::string &address, const FailureDomainId &domain)
{
    return {InstanceId(address), address, domain};
}

QuorumSettings quorumSettings(const platform::ProcessSettings &settings)
{
    QuorumSettings quorum;
    quorum.self = peerAt(selfAddress(settings), settings.failureDomain);
    for (const std::string &seed : settings.seeds) {
        const std::string address = absl::StrCat(hostOf(seed), ":", settings.firstInternalPort);
        const bool isSelf = address == quorum.self.address;
        quorum.initialVoters.push_back(
            peerAt(address, isSelf ? settings.failureDomain : FailureDomainId()));
    }
    quorum.bootstrap = settings.bootstrap;
    quorum.admitUnknown = true;
    quorum.voterTarget = 2 * settings.toleratedInstances + 1;
    quorum.heartbeat = QuorumHeartbeat;
    quorum.electionTimeoutMin = ElectionTimeoutMin;
    quorum.electionTimeoutMax = ElectionTimeoutMax;
    quorum.replaceAfter = voterReplaceDelay(settings.catchUpTime);
    return quorum;
}

FleetSettings fleetSettings(const platform::ProcessSettings &settings)
{
    FleetSettings fleet;
    fleet.lease.instance = settings.instance;
    fleet.lease.failureDomain = settings.failureDomain;
    fleet.lease.leaseFor = LeaseLength;
    fleet.heartbeatInterval = settings.heartbeatInterval;
    fleet.teamLimits = settings.teamLimits;
    fleet.documentBytesPerSecond = settings.linkRate / DocumentLinkPart;
    return fleet;
}

} // namespace

FleetProgram::FleetProgram(EventLoop &eventLoop, platform::ProcessSettings processSettings,
                           std::string path)
    : settings(std::move(processSettings))
    , self(selfAddress(this->settings))
    , seedAddresses(internalAddresses(this->settings))
    , loop(eventLoop)
    , timer(this->loop,
            [this] {
                this->quorum.advance(EventLoop::now());
                this->controller.advance(EventLoop::now());
                this->relay.advance(EventLoop::now());
                this->finishEvent();
            })
    , server(this->loop, this->self,
             std::min(MaxInternalConnections, this->settings.descriptorLimit / InternalPart),
             this->serverHooks())
    , links(this->loop, InstanceId(this->self), quorumSettings(this->settings).initialVoters)
    , probes(this->loop, this->settings.instance.value,
             [this](const RegisteredTarget &target, const std::optional<TargetProbe> &result) {
                 this->controller.probed(target, result, EventLoop::now());
                 this->finishEvent();
             })
    , controller(fleetSettings(this->settings), this->fleetHooks())
    , quorum(quorumSettings(this->settings), this->quorumHooks(), std::mt19937_64(randomSeed()))
    , relay([this](const AnnouncementBatch &batch) {
        if (const auto leader = this->quorum.leader())
            this->links.send(leader->instance, batch);
    })
    , calls(
          this->loop, this->settings.controlAddress,
          std::min(MaxCallConnections, this->settings.descriptorLimit / CallPart),
          [this](const HttpRequest &request, const HttpResponder &respond) {
              this->handleRequest(request, respond);
              if (this->isStarted)
                  this->finishEvent();
          },
          platform::isAnnouncement)
    , seeds(this->loop, this->settings, std::move(path), this->seedHooks())
{
}

absl::Status FleetProgram::run()
{
    RecoveredState recovered;
    limitBuffers(this->loop, this->settings.memoryLimit, this->metrics, this->sampler);
    StartSequence start(this->loop);
    // Operators and targets are told to come back while the rest waits.
    start.add("control_port", [this] { return this->calls.listen(); });
    start.add("data_folder", [this, &recovered] {
        auto opened = this->disk.open(this->settings.dataFolder);
        if (!opened.ok())
            return opened.status();
        recovered = *std::move(opened);
        return absl::OkStatus();
    });
    start.add("internal_port", [this] { return this->server.listen(); });
    if (absl::Status started = start.run(); !started.ok())
        return started;
    const RunRecord record(this->settings.dataFolder);
    this->metrics.set("rhubarbweir_starts", record.starts());
    this->metrics.set(absl::StrCat("rhubarbweir_last_end{kind=\"", record.lastEnd(), "\"}"), 1);
    logEvent(LogLevel::Info, "control_started",
             {{"address", this->self},
              {"failure_domain", this->settings.failureDomain.value},
              {"bootstrap", this->settings.bootstrap ? "yes" : "no"},
              {"seeds", absl::StrJoin(this->settings.seeds, ",")},
              {"has_state", recovered.hardState ? "yes" : "no"},
              {"starts", static_cast<std::int64_t>(record.starts())},
              {"last_end", record.lastEnd()}});
    this->loop.onStopSignal([this](int) { this->stopRequested(); });
    this->loop.onReloadSignal([this] { this->seeds.reload(); });
    this->links.onMessage = [this](const InstanceId &from, const Message &message) {
        if (const auto quorumMessage = messageAs<QuorumMessage>(message))
            this->quorum.receive(from, *quorumMessage, EventLoop::now());
        else if (const auto *answers = std::get_if<AnnouncementAnswers>(&message))
            this->relay.answered(*answers, EventLoop::now());
        this->finishEvent();
    };
    this->links.start();
    this->quorum.start(std::move(recovered), EventLoop::now());
    this->isStarted = true;
    this->seeds.start();
    this->finishEvent();
    this->loop.run();
    record.endsWith(this->failed ? "disk_failed" : "orderly");
    logEvent(LogLevel::Info, "control_stopped", {});
    return this->failed && !this->stopping ? absl::UnavailableError("the disk failed")
                                           : absl::OkStatus();
}

FleetHooks FleetProgram::fleetHooks()
{
    FleetHooks hooks;
    hooks.propose = [this](const FleetCommand &command) {
        return this->quorum.propose(encodeFleetCommand(command), EventLoop::now());
    };
    hooks.isLeader = [this] {
        return this->quorum.isLeader();
    };
    hooks.leaseValid = [this](TimePoint now) {
        return this->quorum.leaseValid(now);
    };
    hooks.leaderAddress = [this] {
        const auto leader = this->quorum.leader();
        return leader ? leader->address : std::string();
    };
    hooks.controlAddresses = [this] {
        std::vector<std::string> addresses;
        for (const QuorumMember &member : this->quorum.membership().voters)
            addresses.push_back(member.peer.address);
        for (const QuorumMember &member : this->quorum.membership().learners)
            addresses.push_back(member.peer.address);
        return addresses;
    };
    hooks.sendToPooler = [this](ConnectionId connection, const FleetReply &reply) {
        this->server.send(connection, toMessage(reply));
    };
    hooks.compress = [](const OpaqueBytes &document) {
        return OpaqueBytes(compress(document.bytes));
    };
    hooks.documentForPoolers = [](const OpaqueBytes &document) {
        return OpaqueBytes(platform::withoutKeys(document.bytes));
    };
    hooks.documentDelta = [](const OpaqueBytes &base, const OpaqueBytes &document) {
        return encodeDocumentDelta(base.bytes, document.bytes);
    };
    hooks.packView = packFleetView;
    hooks.isBacklogged = [this](ConnectionId connection) {
        const bool isBacklogged = this->server.queuedBytes(connection) > MaxBacklogBytes;
        if (isBacklogged)
            this->metrics.count("pooler_backlogged");
        return isBacklogged;
    };
    hooks.groups = [](const OpaqueBytes &document) {
        std::map<GroupId, std::uint32_t> groups;
        const auto table = platform::decodeRouteTable(document.bytes);
        if (!table.ok())
            return groups;
        for (const auto &[group, limits] : table->groups)
            groups[group] = limits.syncReplicas;
        return groups;
    };
    hooks.teamLimits = [](const OpaqueBytes &document) {
        std::map<TeamId, TeamLimit> limits;
        const auto table = platform::decodeRouteTable(document.bytes);
        if (!table.ok())
            return limits;
        for (const auto &[team, entry] : table->teams) {
            if (entry.limit)
                limits[team] = *entry.limit;
        }
        return limits;
    };
    hooks.seedAddresses = [this] {
        return this->seedAddresses;
    };
    hooks.callObserver = [this](const std::string &address) {
        this->links.addPeer(peerAt(address, {}));
        this->links.send(InstanceId(address), FleetRedirect{this->self});
    };
    hooks.probe = [this](const RegisteredTarget &target) {
        // Posted, because the controller must not be called back from within its own call.
        this->loop.post([this, target] { this->probes.probe(target); });
    };
    hooks.promote = [this](const PromotionRequest &request) {
        this->promote(request);
    };
    hooks.stepDown = [this](const RegisteredTarget &target, std::uint64_t term) {
        this->probes.stepDown(target, term);
    };
    hooks.event = [this](std::string_view name, const FleetEventFields &fields) {
        this->event(name, fields);
    };
    return hooks;
}

void FleetProgram::event(std::string_view name, const FleetEventFields &fields)
{
    this->metrics.count(name);
    this->sampler.log(name, fields, false, EventLoop::now());
}

SeedReader::Hooks FleetProgram::seedHooks()
{
    SeedReader::Hooks hooks;
    hooks.hasNoLeader = [this] {
        return !this->quorum.isLeader() && !this->quorum.hasRecentLeader();
    };
    hooks.changed = [this](const std::vector<std::string> &addresses) {
        this->seedAddresses = addresses;
        std::vector<QuorumPeer> named;
        named.reserve(addresses.size());
        for (const std::string &address : addresses)
            named.push_back(peerAt(address, {}));
        this->quorum.setSeeds(std::move(named));
    };
    return hooks;
}

QuorumHooks FleetProgram::quorumHooks()
{
    QuorumHooks hooks;
    hooks.send = [this](const InstanceId &to, const QuorumMessage &message) {
        // The id of a quorum member is its internal address.
        this->links.addPeer(peerAt(to.value, {}));
        this->links.send(to, toMessage(message));
    };
    hooks.persist = [this](const PersistBatch &batch) {
        this->persist(batch);
    };
    hooks.apply = [this](std::uint64_t index, const std::string &payload) {
        this->applied(index, payload);
    };
    hooks.makeSnapshot = [this] {
        return encodeFleetSnapshot(this->controller.state().snapshot());
    };
    hooks.restoreSnapshot = [this](const std::string &state, std::uint64_t index) {
        const auto snapshot = decodeFleetSnapshot(state);
        if (snapshot.ok())
            this->controller.restored(*snapshot, EventLoop::now());
        this->event("snapshot_restored",
                    {{"index", absl::StrCat(index)}, {"status", snapshot.status().ToString()}});
    };
    hooks.event = [this](const std::string &name, const std::vector<QuorumEventField> &fields) {
        FleetEventFields converted;
        for (const QuorumEventField &field : fields)
            converted.emplace_back(field.key, field.value);
        this->event(name, converted);
    };
    return hooks;
}

void FleetProgram::applied(std::uint64_t index, const std::string &payload)
{
    const auto command = decodeFleetCommand(payload);
    if (command.ok())
        this->controller.applied(index, *command, EventLoop::now());
    else
        logEvent(
            LogLevel::Error, "command_unreadable",
            {{"index", static_cast<std::int64_t>(index)}, {"cause", command.status().ToString()}});
}

ControlServerHooks FleetProgram::serverHooks()
{
    ControlServerHooks hooks;
    hooks.received = [this](ConnectionId connection, const Message &message) {
        this->received(connection, message);
        this->finishEvent();
    };
    hooks.closed = [this](ConnectionId connection) {
        this->peers.erase(connection);
        this->controller.connectionClosed(connection);
    };
    return hooks;
}

void FleetProgram::received(ConnectionId connection, const Message &message)
{
    const TimePoint now = EventLoop::now();
    if (const auto *renewal = std::get_if<RenewLease>(&message)) {
        this->controller.receiveFromPooler(connection, *renewal, now);
        return;
    }
    if (const auto *report = std::get_if<PositionReport>(&message)) {
        this->controller.positionsReported(connection, *report);
        return;
    }
    if (const auto *request = std::get_if<TokenRequest>(&message)) {
        this->controller.tokensRequested(connection, *request, now);
        return;
    }
    if (const auto *batch = std::get_if<AnnouncementBatch>(&message)) {
        this->controller.announcementsRelayed(connection, *batch, now);
        return;
    }
    if (const auto *hello = std::get_if<PeerHello>(&message)) {
        this->peers[connection] = hello->instance;
        return;
    }
    const auto peer = this->peers.find(connection);
    const auto quorumMessage = messageAs<QuorumMessage>(message);
    if (peer != this->peers.end() && quorumMessage)
        this->quorum.receive(peer->second, *quorumMessage, now);
    else
        this->event("message_ignored", {{"cause", "no peer hello was received on the connection"}});
}

void FleetProgram::persist(const PersistBatch &batch)
{
    this->disk.persist(batch, [this, token = batch.token](const absl::Status &status) {
        this->loop.post([this, token, status] {
            if (status.ok()) {
                this->quorum.persisted(token, EventLoop::now());
            } else {
                logEvent(LogLevel::Error, "disk_failed", {{"cause", status.ToString()}});
                this->quorum.persistFailed(token, EventLoop::now());
                this->exitAfterDiskFailure();
            }
            this->finishEvent();
        });
    });
}

// After a failed write the contents of the disk are unknown. The instance may vote again only after
// a restart that reads them.
void FleetProgram::exitAfterDiskFailure()
{
    this->failed = true;
    this->loop.schedule(EventLoop::now() + DiskFailureExitDelay, [this] { this->loop.stop(); });
}

void FleetProgram::promote(const PromotionRequest &request)
{
    HttpCall call =
        platform::encodePromotion(this->settings.platformAddress, this->settings.instance, request,
                                  EventLoop::now() + PromotionTimeout);
    call.connectDeadline = EventLoop::now() + PromotionConnectTimeout;
    callHttp(this->loop, call, [this, request](const absl::StatusOr<int> &status) {
        this->controller.promotionAnswered(request, platform::decodePromotion(status),
                                           EventLoop::now());
        this->finishEvent();
    });
}

// HTTP calls of operators and targets.

void FleetProgram::handleRequest(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.method == "GET" && request.target == MetricsPath) {
        this->setTeamMetrics();
        respond(metricsResponse(this->metrics));
        return;
    }
    if (!this->isStarted) {
        respond(platform::encodeUnavailable());
        return;
    }
    const TimePoint now = EventLoop::now();
    const platform::FleetCall call = platform::decodeCall(request);
    const auto finish = [this, respond, target = request.target](const HttpResponse &accepted) {
        return [this, respond, target, accepted](FleetCallOutcome outcome) {
            respond(this->outcomeOf(outcome, target, accepted));
        };
    };
    if (const auto *replace = std::get_if<platform::ReplaceConfiguration>(&call)) {
        this->controller.configurationSent(replace->version, OpaqueBytes(replace->document),
                                           finish(platform::encodeAccepted()), now);
    } else if (const auto *announced = std::get_if<platform::AnnounceTarget>(&call)) {
        this->announced(announced->target, request.target, respond);
    } else if (const auto *left = std::get_if<platform::TargetLeft>(&call)) {
        this->controller.targetLeft(left->target, left->born, finish(platform::encodeAccepted()),
                                    now);
    } else if (std::holds_alternative<platform::ReadConfiguration>(call)) {
        const auto held = this->controller.configuration(now);
        respond(held ? platform::encodeConfiguration(held->document.bytes)
                     : this->redirectOrUnavailable(request.target));
    } else if (const auto *invalid = std::get_if<platform::InvalidCall>(&call)) {
        this->event("call_refused", {{"target", request.target}, {"cause", invalid->cause}});
        respond(platform::encodeRefused(invalid->cause));
    } else {
        respond(platform::encodeUnknown());
    }
}

void FleetProgram::announced(const RegisteredTarget &target, const std::string &path,
                             const HttpResponder &respond)
{
    const TimePoint now = EventLoop::now();
    const bool isRelayed = !this->quorum.isLeader() && this->controller.relaysAnnouncements();
    const std::string elsewhere =
        isRelayed ? std::string() : this->controller.announceAddress(target.target);
    const std::string &own = this->settings.controlAddress;
    const HttpResponse accepted =
        platform::encodeAnnounced(elsewhere.empty() ? own : withPortOf(elsewhere, own));
    const auto done = [this, respond, path, accepted, isRelayed](FleetCallOutcome outcome) {
        if (isRelayed)
            this->metrics.count(outcome == FleetCallOutcome::Accepted ? "announcement_relayed"
                                                                      : "announcement_unanswered");
        respond(this->outcomeOf(outcome, path, accepted));
    };
    if (isRelayed)
        this->relay.announced(target, done, now);
    else
        this->controller.targetAnnounced(target, done, now);
}

// Gauges of the teams with a limit; 0 while this instance does not lead.
void FleetProgram::setTeamMetrics()
{
    const auto set = [this](const TeamId &team, const BudgetAllocator::TeamStatus &status) {
        const std::string name = absl::StrReplaceAll(team.value, {{"\\", "\\\\"}, {"\"", "\\\""}});
        const std::string label = absl::StrCat("{team=\"", name, "\"}");
        this->metrics.set(absl::StrCat("rhubarbweir_team_tokens", label),
                          static_cast<std::uint64_t>(status.bucket));
        this->metrics.set(absl::StrCat("rhubarbweir_team_tokens_at_poolers", label),
                          status.atPoolers);
    };
    for (const TeamId &team : this->measuredTeams)
        set(team, {});
    for (const auto &[team, status] : this->controller.teamStatus()) {
        if (this->measuredTeams.size() >= MaxTeamMetrics && this->measuredTeams.count(team) == 0)
            continue;
        this->measuredTeams.insert(team);
        set(team, status);
    }
}

HttpResponse FleetProgram::outcomeOf(FleetCallOutcome outcome, const std::string &target,
                                     const HttpResponse &accepted) const
{
    if (outcome == FleetCallOutcome::Accepted || outcome == FleetCallOutcome::Ignored)
        return accepted;
    if (outcome == FleetCallOutcome::TooLarge)
        return platform::encodeTooLarge();
    return outcome == FleetCallOutcome::NotLeader ? this->redirectOrUnavailable(target)
                                                  : platform::encodeUnavailable();
}

HttpResponse FleetProgram::redirectOrUnavailable(const std::string &target) const
{
    const std::string leader = this->controller.leaderAddress();
    if (leader.empty() || leader == this->self)
        return platform::encodeUnavailable();
    // All instances use the same ports.
    return platform::encodeRedirect(
        absl::StrCat(hostOf(leader), ":", portOf(this->settings.controlAddress)), target);
}

void FleetProgram::finishEvent()
{
    if (this->quorum.isLeader() != this->wasLeader) {
        this->wasLeader = this->quorum.isLeader();
        this->event(this->wasLeader ? "leadership_gained" : "leadership_lost",
                    {{"term", absl::StrCat(this->quorum.term())}});
        this->controller.leadershipChanged(EventLoop::now());
    }
    this->controller.sendAnnouncementAnswers();
    if (this->controller.relaysAnnouncements() != this->hasManyTargets) {
        this->hasManyTargets = !this->hasManyTargets;
        this->quorum.setElectionPatience(this->hasManyTargets ? ManyTargetsPatience : 1);
        this->event(this->hasManyTargets ? "announcement_relay_started"
                                         : "announcement_relay_ended",
                    {{"targets", absl::StrCat(this->controller.state().targets().size())}});
    }
    const auto leader = this->quorum.leader();
    this->relay.setLeader(leader && !this->wasLeader ? leader->address : std::string());
    const TimePoint deadline =
        std::min({this->quorum.nextDeadline(), this->relay.nextDeadline(),
                  this->wasLeader ? this->controller.nextDeadline() : TimePoint::max()});
    this->timer.wakeAt(deadline);
    if (this->quorum.hasLeft() && !std::exchange(this->ending, true))
        this->loop.schedule(EventLoop::now() + FlushTime, [this] { this->loop.stop(); });
}

void FleetProgram::stopRequested()
{
    // Nothing is left to hand over after a failed write.
    if (std::exchange(this->stopping, true) || this->failed) {
        this->loop.stop();
        return;
    }
    this->event("stop_requested", {{"leads", this->quorum.isLeader() ? "yes" : "no"}});
    // Without a reachable majority the vote cannot be handed over.
    this->loop.schedule(EventLoop::now() + this->settings.grace / LeaveGraceDivisor, [this] {
        this->event("stopped_as_member", {{"cause", "no confirmation of leaving in time"}});
        this->loop.stop();
    });
    this->quorum.leave(EventLoop::now());
    this->finishEvent();
}

} // namespace rhubarbweir
