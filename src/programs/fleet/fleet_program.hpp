// The process of a fleet's control instance. The quorum log, the fleet controller and the
// connections of poolers, operators and targets share one thread, which handles a few hundred small
// messages per second. The disk has a thread of its own, so that it does not block the rest.
#pragma once

#include "platform/fleet_calls.hpp"
#include "platform/process_settings.hpp"
#include "programs/control/control_server.hpp"
#include "programs/control/disk_writer.hpp"
#include "programs/control/quorum_links.hpp"
#include "programs/fleet/target_probes.hpp"
#include "programs/support/event_sampler.hpp"
#include "programs/support/metrics_registry.hpp"
#include "programs/support/seed_reader.hpp"
#include "rhubarbweir/coordination/fleet/announcement_relay.hpp"
#include "rhubarbweir/coordination/fleet/fleet_controller.hpp"
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/http.hpp"
#include "rhubarbweir/transport/wake_timer.hpp"

#include <map>
#include <set>

namespace rhubarbweir {

class FleetProgram
{
public:
    FleetProgram(EventLoop &loop, platform::ProcessSettings settings, std::string settingsPath);

    // Waits for what the start needs, and runs until a stop signal has been handled.
    // Errors: those of a StartSequence, Unavailable after a failed disk.
    absl::Status run();

private:
    FleetHooks fleetHooks();
    QuorumHooks quorumHooks();
    ControlServerHooks serverHooks();
    SeedReader::Hooks seedHooks();
    void received(ConnectionId connection, const Message &message);
    void applied(std::uint64_t index, const std::string &payload);
    void persist(const PersistBatch &batch);
    void exitAfterDiskFailure();
    void promote(const PromotionRequest &request);
    void handleRequest(const HttpRequest &request, const HttpResponder &respond);
    void announced(const RegisteredTarget &target, const std::string &path,
                   const HttpResponder &respond);
    void setTeamMetrics();
    HttpResponse outcomeOf(FleetCallOutcome outcome, const std::string &target,
                           const HttpResponse &accepted) const;
    HttpResponse redirectOrUnavailable(const std::string &target) const;
    // Called after each event. Notifies the controller of a change of leadership and schedules the
    // next advance().
    void finishEvent();
    void stopRequested();
    void event(std::string_view name, const FleetEventFields &fields);

    platform::ProcessSettings settings;
    // This instance's internal address; also its identity among control instances.
    std::string self;
    // Internal addresses of the seeds in the settings read last.
    std::vector<std::string> seedAddresses;
    EventLoop &loop;
    WakeTimer timer;
    EventSampler sampler;
    MetricsRegistry metrics;
    DiskWriter disk;
    ControlServer server;
    QuorumLinks links;
    TargetProbes probes;
    FleetController controller;
    QuorumLog quorum;
    // Used while another instance leads.
    AnnouncementRelay relay;
    HttpListener calls;
    SeedReader seeds;
    // Other control instances, by the connection that they opened.
    std::map<ConnectionId, InstanceId> peers;
    // Teams that have metrics, at most MaxTeamMetrics.
    std::set<TeamId> measuredTeams;
    // Until then neither the quorum log nor the controller may be used.
    bool isStarted = false;
    bool wasLeader = false;
    // FleetController::relaysAnnouncements() after the last event.
    bool hasManyTargets = false;
    bool stopping = false;
    // The process has left the quorum and ends after its last messages are sent.
    bool ending = false;
    bool failed = false;
};

} // namespace rhubarbweir
