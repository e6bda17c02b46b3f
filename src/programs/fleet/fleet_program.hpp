// One control instance of a fleet: the quorum log, the fleet's decisions, poolers, operators and
// targets on one thread, and the disk on another. What waits for the disk must not hold up the
// rest; the rest is a few hundred small messages a second.
#pragma once

#include "platform/fleet_calls.hpp"
#include "platform/process_settings.hpp"
#include "programs/control/control_gate.hpp"
#include "programs/control/disk_writer.hpp"
#include "programs/control/quorum_links.hpp"
#include "programs/fleet/target_probes.hpp"
#include "programs/support/event_sampler.hpp"
#include "programs/support/metrics_book.hpp"
#include "rhubarbweir/coordination/fleet/fleet_controller.hpp"
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/http.hpp"
#include "rhubarbweir/transport/wake_timer.hpp"

#include <map>

namespace rhubarbweir {

class FleetProgram
{
public:
    FleetProgram(platform::ProcessSettings settings, std::string settingsPath);

    // Runs until a stop signal was served.
    // Errors: those of listening and of opening the data folder.
    absl::Status run();

private:
    FleetHooks fleetHooks();
    QuorumHooks quorumHooks();
    ControlGateHooks gateHooks();
    void received(ConnectionId connection, const Message &message);
    void applied(std::uint64_t index, const std::string &payload);
    void persist(const PersistBatch &batch);
    void restartLater();
    void promote(const PromotionRequest &request);
    void served(const HttpRequest &request, const HttpAnswer &answer);
    HttpResponse outcomeOf(FleetCallOutcome outcome, const std::string &target,
                           const HttpResponse &accepted) const;
    HttpResponse redirectOrUnavailable(const std::string &target) const;
    // Tells the controller of a change of leadership and schedules the next advance().
    void settle();
    void reload();
    void stopRequested();
    void event(std::string_view name, const FleetEventFields &fields);

    platform::ProcessSettings settings;
    std::string settingsPath;
    // This instance's internal address; also its identity among control instances.
    std::string self;
    EventLoop loop;
    WakeTimer timer;
    EventSampler sampler;
    MetricsBook metrics;
    DiskWriter disk;
    ControlGate gate;
    QuorumLinks links;
    TargetProbes probes;
    FleetController controller;
    QuorumLog quorum;
    HttpListener calls;
    // Other control instances by the connection that they opened.
    std::map<ConnectionId, InstanceId> peers;
    bool wasLeader = false;
    bool stopping = false;
    bool failed = false;
};

} // namespace rhubarbweir
