// Server of a proxy for callers, other proxies and operators, and for HTTP requests of the load
// balancer and for metrics.
#pragma once

#include "rhubarbweir/coordination/control/operator_messages.hpp"
#include "rhubarbweir/coordination/proxy/proxy_settings.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <map>
#include <string>

namespace rhubarbweir {

class EventLoop;

struct ProxyServerHooks
{
    std::function<void(CallerConnectionId)> opened;
    std::function<void(CallerConnectionId, const CallerMessage &)> message;
    std::function<void(CallerConnectionId)> closed;
    // Another proxy connected; its first message identifies it.
    std::function<void(ConnectionPtr)> peerConnected;
    // An operator requested that this instance drains.
    std::function<DrainStarted(const DrainInstance &)> drain;
    std::function<HttpReply(const std::string &path)> get;
};

class ProxyServer
{
public:
    ProxyServer(EventLoop &loop, const std::string &address, std::size_t maxConnections,
                ProxyServerHooks hooks);

    // Errors: those of WebSocketServer::listen.
    absl::Status listen() { return this->server.listen(); }
    void send(CallerConnectionId id, const CallerReply &reply);
    // Closes the connections of all callers after their queued messages are sent.
    void closeAll(CloseReason reason);
    std::size_t openConnections() const { return this->callers.size(); }

private:
    void accepted(const ConnectionPtr &connection, Subprotocol subprotocol);
    void acceptOperator(const ConnectionPtr &connection);
    void handleMessage(CallerConnectionId id, const ConnectionPtr &connection,
                       const Message &message);

    ProxyServerHooks hooks;
    // Open connections only.
    std::map<CallerConnectionId, ConnectionPtr> callers;
    CallerConnectionId lastId = 0;
    WebSocketServer server;
};

} // namespace rhubarbweir
