// One entry instance: the traffic loop with its node and links, and the control thread.
#pragma once

#include "programs/proxy/caller_gate.hpp"
#include "programs/proxy/control_link.hpp"
#include "programs/proxy/peer_links.hpp"
#include "programs/proxy/target_links.hpp"
#include "rhubarbweir/coordination/proxy/proxy_node.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/wake_timer.hpp"

namespace rhubarbweir {

struct ProxyRunSettings
{
    ProxySettings proxy;
    std::string listenAddress;
    std::vector<std::string> controlAddresses;
    std::size_t maxConnections = 10000;
    Duration renewInterval = std::chrono::milliseconds(400);
    // Longest time that a graceful stop waits for work in flight.
    Duration drainLimit = std::chrono::seconds(15);
};

class ProxyProgram
{
public:
    explicit ProxyProgram(ProxyRunSettings settings);

    // Runs until a stop signal was served. Errors: those of listening.
    absl::Status run();

private:
    ProxyHooks nodeHooks();
    CallerGateHooks gateHooks();
    PeerLinksHooks peerHooks();
    TargetLinksHooks targetHooks();
    ControlLinkHooks controlHooks();
    HttpReply get(const std::string &path) const;
    std::string metrics() const;
    DrainStarted drainRequested(const DrainInstance &request);
    void stopRequested();
    void startDraining(std::string_view cause);
    void stopWhenDrained(TimePoint deadline);
    void finish();
    // Schedules advance() for the node's next deadline.
    void arm();

    ProxyRunSettings settings;
    EventLoop traffic;
    WakeTimer timer;
    ProxyNode node;
    PeerLinks peers;
    TargetLinks targets;
    CallerGate gate;
    ControlLink control;
    bool hasLease = false;
    bool draining = false;
    // When the next advance() is scheduled.
};

} // namespace rhubarbweir
