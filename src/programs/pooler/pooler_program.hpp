// One pooler: callers' sessions, targets and the link to control on a single thread. Control sends
// it a few small messages a second, which need no thread of their own.
#pragma once

#include "platform/process_settings.hpp"
#include "programs/pooler/caller_streams.hpp"
#include "programs/pooler/fleet_link.hpp"
#include "programs/pooler/target_streams.hpp"
#include "programs/support/event_sampler.hpp"
#include "programs/support/metrics_book.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/http.hpp"
#include "rhubarbweir/transport/wake_timer.hpp"

namespace rhubarbweir {

class PoolerProgram
{
public:
    PoolerProgram(platform::ProcessSettings settings, std::string settingsPath);

    // Runs until a stop signal was served.
    // Errors: those of listening.
    absl::Status run();

private:
    PoolerHooks poolerHooks();
    TargetStreamHooks targetHooks();
    CallerStreamHooks callerHooks();
    FleetLinkHooks linkHooks();
    void served(const HttpRequest &request, const HttpAnswer &answer);
    void leaseReceived(const FleetLease &lease, std::optional<TimePoint> sentAt);
    RenewLease renewal() const;
    void settle();
    void reload();
    void stopRequested();
    void drainStep();

    platform::ProcessSettings settings;
    std::string settingsPath;
    std::uint64_t incarnation;
    EventLoop loop;
    WakeTimer timer;
    EventSampler sampler;
    MetricsBook metrics;
    SessionPooler pooler;
    TargetStreams targets;
    CallerStreams callers;
    HttpListener readiness;
    FleetLink link;
    // Set when a stop was asked for.
    TimePoint stopBy = TimePoint::max();
    TimePoint closeFrom = TimePoint::max();
    TimePoint refuseFrom = TimePoint::max();
};

// Internal address of the control instance that serves operators at `controlAddress`.
std::string internalAddress(const std::string &controlAddress, std::uint16_t port);

} // namespace rhubarbweir
