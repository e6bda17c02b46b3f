// The proxy's control thread: one connection to a control instance, and the view subscriber.
#pragma once

#include "rhubarbweir/coordination/proxy/view_subscriber.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/wake_timer.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <string>
#include <thread>
#include <vector>

namespace rhubarbweir {

// Run on the control thread.
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
    // Both callable from any thread.
    void setObservations(std::vector<TargetObservation> observations);
    void setDraining(bool draining);

private:
    void useControl(const std::string &address);
    void connected(const ConnectionPtr &connection, std::uint64_t attempt);
    void lost(std::uint64_t attempt);
    void received(const Message &message);
    void arm();

    EventLoop loop;
    WakeTimer timer;
    WebSocketClient client;
    ViewSubscriber subscriber;
    ConnectionPtr connection;
    // Number of the newest connection attempt; older ones are dropped.
    std::uint64_t currentAttempt = 0;
    // When the next advance() is scheduled.
    std::thread thread;
};

} // namespace rhubarbweir
