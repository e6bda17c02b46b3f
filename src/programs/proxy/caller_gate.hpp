// The proxy's listening port: callers, other proxies, operators, and HTTP for the balancer and
// metrics.
#pragma once

#include "rhubarbweir/coordination/control/operator_messages.hpp"
#include "rhubarbweir/coordination/proxy/proxy_settings.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <map>
#include <string>

namespace rhubarbweir {

class EventLoop;

struct CallerGateHooks
{
    std::function<void(CallerConnectionId)> opened;
    std::function<void(CallerConnectionId, const CallerMessage &)> message;
    std::function<void(CallerConnectionId)> closed;
    // Another proxy connected; its first message tells who it is.
    std::function<void(ConnectionPtr)> peerConnected;
    // An operator asks this instance to drain.
    std::function<DrainStarted(const DrainInstance &)> drain;
    std::function<HttpReply(const std::string &path)> get;
};

class CallerGate
{
public:
    CallerGate(EventLoop &loop, const std::string &address, std::size_t maxConnections,
               CallerGateHooks hooks);

    // Errors: those of WebSocketServer::listen.
    absl::Status listen() { return this->server.listen(); }
    void send(CallerConnectionId id, const CallerReply &reply);
    // Closes every caller's connection after what was queued is sent.
    void closeAll(CloseReason reason);
    std::size_t openConnections() const { return this->callers.size(); }

private:
    void accepted(const ConnectionPtr &connection, Subprotocol subprotocol);
    void acceptOperator(const ConnectionPtr &connection);
    void received(CallerConnectionId id, const ConnectionPtr &connection, const Message &message);

    CallerGateHooks hooks;
    // Open connections only.
    std::map<CallerConnectionId, ConnectionPtr> callers;
    CallerConnectionId lastId = 0;
    WebSocketServer server;
};

} // namespace rhubarbweir
