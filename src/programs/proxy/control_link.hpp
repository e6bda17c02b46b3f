// Control thread of a proxy: holds the connection to one control instance and runs the view
// subscriber.
#pragma once

#include "rhubarbweir/coordination/proxy/view_subscriber.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/wake_timer.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <string>
#include <thread>
#include <vector>

namespace rhubarbweir {

// All hooks run on the control thread.
struct ControlLinkHooks
{
    std::function<void(ProxyViewPtr)> viewChanged;
    std::function<void(TimePoint)> leaseChanged;
};

class ControlLink
{
public:
    ControlLink(ViewSubscriberSettings settings, ControlLinkHooks hooks);
    // Ends the thread.
    ~ControlLink();
    ControlLink(const ControlLink &) = delete;
    ControlLink &operator=(const ControlLink &) = delete;

    void start();
    // These two may be called from any thread.
    void setObservations(std::vector<TargetObservation> observations);
    void setDraining(bool draining);

private:
    void connectTo(const std::string &address);
    void connected(const ConnectionPtr &connection, std::uint64_t attempt);
    void connectionLost(std::uint64_t attempt);
    void handleMessage(const Message &message);
    void scheduleAdvance();

    EventLoop loop;
    WakeTimer timer;
    WebSocketClient client;
    ViewSubscriber subscriber;
    ConnectionPtr connection;
    // Number of the latest connection attempt; the connections of earlier ones are closed.
    std::uint64_t currentAttempt = 0;
    std::thread thread;
};

} // namespace rhubarbweir
