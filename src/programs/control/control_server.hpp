// Server of a control instance for proxies, targets, operators and other control instances. Runs on
// the network thread; the control thread refers to connections by their ids.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <map>
#include <string>

namespace rhubarbweir {

class EventLoop;

// All hooks run on the network thread.
struct ControlServerHooks
{
    std::function<void(ConnectionId, Message)> received;
    std::function<void(ConnectionId)> closed;
    std::function<HttpReply(const std::string &path)> get;
};

class ControlServer
{
public:
    ControlServer(EventLoop &network, const std::string &address, std::size_t maxConnections,
                  ControlServerHooks hooks);

    // Errors: those of WebSocketServer::listen.
    absl::Status listen() { return this->server.listen(); }
    // Does nothing when the connection is closed.
    void send(ConnectionId id, const Message &message);
    // Bytes that wait to be sent on the connection; 0 when it is closed.
    std::size_t queuedBytes(ConnectionId id) const;
    void closeAll(CloseReason reason);

private:
    void accepted(const ConnectionPtr &connection);

    ControlServerHooks hooks;
    // Open connections only.
    std::map<ConnectionId, ConnectionPtr> connections;
    ConnectionId lastId = 0;
    WebSocketServer server;
};

} // namespace rhubarbweir
