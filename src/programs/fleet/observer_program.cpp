// See observer_program.hpp.
#include "programs/fleet/observer_program.hpp"

#include "programs/support/buffer_limit.hpp"
#include "programs/support/event_log.hpp"
#include "programs/support/internal_addresses.hpp"
#include "programs/support/start_sequence.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

// Time for sending queued messages before the process ends.
constexpr std::chrono::milliseconds FlushTime{100};
constexpr std::uint32_t MaxInternalConnections = 512;
constexpr std::uint32_t MaxCallConnections = 512;
// Both are at most these parts of the file descriptors of the process.
constexpr std::uint32_t InternalPart = 2;
constexpr std::uint32_t CallPart = 8;

} // namespace

ObserverProgram::ObserverProgram(EventLoop &eventLoop, platform::ProcessSettings processSettings,
                                 std::string path)
    : settings(std::move(processSettings))
    , self(absl::StrCat(this->settings.ip, ":", this->settings.firstInternalPort))
    , loop(eventLoop)
    , server(this->loop, this->self,
             std::min(MaxInternalConnections, this->settings.descriptorLimit / InternalPart),
             this->serverHooks())
    , link(this->loop, internalAddresses(this->settings), this->linkHooks())
    , relay([this](const AnnouncementBatch &batch) { this->link.sendAnnouncements(batch); })
    , timer(this->loop, [this] { this->updateRelay(); })
    , calls(
          this->loop, this->settings.controlAddress,
          std::min(MaxCallConnections, this->settings.descriptorLimit / CallPart),
          [this](const HttpRequest &request, const HttpResponder &respond) {
              this->answer(request, respond);
              this->updateRelay();
          },
          platform::isAnnouncement)
    , seeds(this->loop, this->settings, std::move(path), this->link.seedHooks())
{
}

absl::Status ObserverProgram::run()
{
    limitBuffers(this->loop, this->settings.memoryLimit, this->metrics, this->sampler);
    StartSequence start(this->loop);
    start.add("control_port", [this] { return this->calls.listen(); });
    start.add("internal_port", [this] { return this->server.listen(); });
    if (absl::Status started = start.run(); !started.ok())
        return started;
    logEvent(LogLevel::Info, "observer_started",
             {{"address", this->self},
              {"failure_domain", this->settings.failureDomain.value},
              {"seeds", absl::StrJoin(this->settings.seeds, ",")}});
    this->loop.onStopSignal([this](int) {
        this->loop.schedule(EventLoop::now() + FlushTime, [this] { this->loop.stop(); });
    });
    this->loop.onReloadSignal([this] { this->seeds.reload(); });
    this->naming.emplace(this->self, internalAddresses(this->settings), EventLoop::now());
    this->link.start();
    this->seeds.start();
    this->loop.run();
    logEvent(LogLevel::Info, "observer_stopped", {});
    return absl::OkStatus();
}

ControlServerHooks ObserverProgram::serverHooks()
{
    ControlServerHooks hooks;
    hooks.received = [this](ConnectionId connection, const Message &message) {
        this->received(connection, message);
    };
    hooks.closed = [](ConnectionId) {
    };
    return hooks;
}

FleetLinkHooks ObserverProgram::linkHooks()
{
    FleetLinkHooks hooks;
    hooks.isObserver = true;
    hooks.renewal = [this] {
        RenewLease message;
        message.proxy = this->settings.instance;
        message.failureDomain = this->settings.failureDomain;
        message.address = this->self;
        message.isObserver = true;
        return message;
    };
    hooks.received = [this](const FleetLease &lease, std::optional<TimePoint>) {
        if (this->naming)
            this->naming->leaderHeard();
        if (!lease.view.controls.empty())
            this->link.setControls(lease.view.controls);
        if (lease.relaysAnnouncements != this->relaysAnnouncements)
            logEvent(LogLevel::Info,
                     lease.relaysAnnouncements ? "announcement_relay_started"
                                               : "announcement_relay_ended",
                     {});
        this->relaysAnnouncements = lease.relaysAnnouncements;
        this->updateRelay();
    };
    hooks.announcementsAnswered = [this](const AnnouncementAnswers &answers) {
        this->relay.answered(answers, EventLoop::now());
        this->updateRelay();
    };
    return hooks;
}

void ObserverProgram::received(ConnectionId connection, const Message &message)
{
    if (std::holds_alternative<RenewLease>(message))
        this->server.send(connection, FleetRedirect{this->link.leader()});
    else if (const auto *call = std::get_if<FleetRedirect>(&message))
        this->link.follow(call->leader);
    else if (const auto *join = std::get_if<QuorumJoin>(&message))
        this->joinAsked(connection, *join);
}

void ObserverProgram::joinAsked(ConnectionId connection, const QuorumJoin &join)
{
    if (const auto redirect = redirectJoin(join, this->link.leader())) {
        this->server.send(connection, *redirect);
        return;
    }
    if (!this->naming)
        return;
    const InstanceId before = this->naming->founder();
    this->server.send(connection, this->naming->answer(join, EventLoop::now()));
    if (this->naming->founder() != before)
        logEvent(LogLevel::Info, "founder_named", {{"instance", this->naming->founder().value}});
}

void ObserverProgram::answer(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.method == "GET" && request.target == MetricsPath) {
        respond(metricsResponse(this->metrics));
        return;
    }
    if (!this->relaysAnnouncements || this->link.leader().empty()) {
        respond(this->redirection(request));
        return;
    }
    const platform::FleetCall call = platform::decodeCall(request);
    const auto *announced = std::get_if<platform::AnnounceTarget>(&call);
    if (announced == nullptr) {
        respond(this->redirection(request));
        return;
    }
    this->relay.setLeader(this->link.leader());
    this->relay.announced(
        announced->target,
        [this, respond](FleetCallOutcome outcome) {
            const bool isAccepted = outcome == FleetCallOutcome::Accepted;
            this->metrics.count(isAccepted ? "announcement_relayed" : "announcement_unanswered");
            respond(isAccepted ? platform::encodeAnnounced(this->settings.controlAddress)
                               : platform::encodeUnavailable());
        },
        EventLoop::now());
}

void ObserverProgram::updateRelay()
{
    this->relay.setLeader(this->link.leader());
    this->relay.advance(EventLoop::now());
    this->timer.wakeAt(this->relay.nextDeadline());
}

HttpResponse ObserverProgram::redirection(const HttpRequest &request) const
{
    const std::string leader = this->link.leader();
    if (leader.empty())
        return platform::encodeUnavailable();
    return platform::encodeRedirect(withPortOf(leader, this->settings.controlAddress),
                                    request.target);
}

} // namespace rhubarbweir
