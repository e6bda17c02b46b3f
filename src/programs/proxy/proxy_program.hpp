// A proxy instance: the traffic loop, which runs the node and its connections, and the control
// thread.
#pragma once

#include "programs/proxy/control_link.hpp"
#include "programs/proxy/proxy_server.hpp"
#include "programs/proxy/target_links.hpp"
#include "programs/support/peer_links.hpp"
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
    // Maximum time that a graceful stop waits for requests in flight.
    Duration drainLimit = std::chrono::seconds(15);
};

class ProxyProgram
{
public:
    ProxyProgram(EventLoop &loop, ProxyRunSettings settings);

    // Waits for its port, and runs until a stop signal was handled.
    // Errors: those of a StartSequence.
    absl::Status run();

private:
    ProxyHooks nodeHooks();
    ProxyServerHooks serverHooks();
    PeerLinksHooks peerHooks();
    TargetLinksHooks targetHooks();
    ControlLinkHooks controlHooks();
    HttpReply get(const std::string &path) const;
    std::string metrics() const;
    DrainStarted drainRequested(const DrainInstance &request);
    void stopRequested();
    void startDraining(std::string_view cause);
    void stopWhenDrained(TimePoint deadline);
    void closeAndStop();
    // Schedules advance() for the node's next deadline.
    void scheduleAdvance();

    ProxyRunSettings settings;
    EventLoop &trafficLoop;
    WakeTimer timer;
    ProxyNode node;
    PeerLinks peers;
    TargetLinks targets;
    ProxyServer server;
    ControlLink controlLink;
    bool hasLease = false;
    bool draining = false;
};

} // namespace rhubarbweir
