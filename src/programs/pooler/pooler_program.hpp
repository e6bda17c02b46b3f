// The pooler process: callers' sessions, targets and the link to control on a single thread.
// Control sends only a few small messages per second, which do not need a separate thread.
#pragma once

#include "platform/process_settings.hpp"
#include "programs/pooler/caller_streams.hpp"
#include "programs/pooler/fleet_link.hpp"
#include "programs/pooler/session_relay.hpp"
#include "programs/pooler/target_streams.hpp"
#include "programs/support/event_sampler.hpp"
#include "programs/support/metrics_registry.hpp"
#include "programs/support/seed_reader.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/http.hpp"
#include "rhubarbweir/transport/wake_timer.hpp"

namespace rhubarbweir {

class PoolerProgram
{
public:
    PoolerProgram(EventLoop &loop, platform::ProcessSettings settings, std::string settingsPath);

    // Waits for what the start needs, and runs until a stop signal has been handled.
    // Errors: those of a StartSequence.
    absl::Status run();

private:
    PoolerHooks poolerHooks();
    TargetStreamHooks targetHooks();
    CallerStreamHooks callerHooks();
    FleetLinkHooks linkHooks();
    SessionRelayHooks relayHooks();
    void handleRequest(const HttpRequest &request, const HttpResponder &respond);
    void leaseReceived(const FleetLease &lease, std::optional<TimePoint> sentAt);
    absl::Status configurationReceived(const FleetLease &lease, TimePoint now);
    void tokensReceived(const std::optional<TokenAnswer> &tokens, bool isAnswer);
    RenewLease renewal();
    void scheduleAdvance();
    void stopRequested();
    void drainStep();

    platform::ProcessSettings settings;
    std::uint64_t incarnation;
    EventLoop &loop;
    WakeTimer timer;
    EventSampler sampler;
    MetricsRegistry metrics;
    SessionPooler pooler;
    TargetStreams targets;
    CallerStreams callers;
    HttpListener readiness;
    FleetLink link;
    SeedReader seeds;
    SessionRelay relay;
    // The document of the routes in use.
    ConfigurationDocument document;
    // Whether the answer to a renewal with a report of tokens is awaited.
    bool reportsTokens = false;
    // Times of a stop: when all sessions are closed, from when idle ones are closed, and from when
    // new ones are refused. max() until a stop is requested.
    TimePoint stopBy = TimePoint::max();
    TimePoint closeFrom = TimePoint::max();
    TimePoint refuseFrom = TimePoint::max();
};

} // namespace rhubarbweir
