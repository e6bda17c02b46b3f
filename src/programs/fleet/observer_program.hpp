// The process of a control instance without a disk. It keeps no state and has no vote: it sends
// poolers, targets and operators on to the leader, which it asks for its address twice a second. In
// a fleet with many targets it takes their announcements for the leader.
#pragma once

#include "platform/fleet_calls.hpp"
#include "platform/process_settings.hpp"
#include "programs/control/control_server.hpp"
#include "programs/pooler/fleet_link.hpp"
#include "programs/support/event_sampler.hpp"
#include "programs/support/metrics_registry.hpp"
#include "programs/support/seed_reader.hpp"
#include "rhubarbweir/coordination/fleet/announcement_relay.hpp"
#include "rhubarbweir/coordination/fleet/observer_reply.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/http.hpp"
#include "rhubarbweir/transport/wake_timer.hpp"

namespace rhubarbweir {

class ObserverProgram
{
public:
    ObserverProgram(EventLoop &loop, platform::ProcessSettings settings, std::string settingsPath);

    // Waits for what the start needs, and runs until a stop signal has been handled.
    // Errors: those of a StartSequence.
    absl::Status run();

private:
    ControlServerHooks serverHooks();
    FleetLinkHooks linkHooks();
    void received(ConnectionId connection, const Message &message);
    void joinAsked(ConnectionId connection, const QuorumJoin &join);
    void answer(const HttpRequest &request, const HttpResponder &respond);
    HttpResponse redirection(const HttpRequest &request) const;
    // Called after each event that the relay may depend on.
    void updateRelay();

    platform::ProcessSettings settings;
    // This instance's internal address.
    std::string self;
    EventLoop &loop;
    EventSampler sampler;
    MetricsRegistry metrics;
    ControlServer server;
    FleetLink link;
    // Empty until this instance can be reached.
    std::optional<FounderNaming> naming;
    // Used once the leader says so.
    AnnouncementRelay relay;
    bool relaysAnnouncements = false;
    WakeTimer timer;
    HttpListener calls;
    SeedReader seeds;
};

} // namespace rhubarbweir
