// See control_server.hpp.
#include "programs/control/control_server.hpp"

#include "programs/support/event_log.hpp"

#include <utility>

namespace rhubarbweir {

ControlServer::ControlServer(EventLoop &network, const std::string &address,
                             std::size_t maxConnections, ControlServerHooks serverHooks)
    : hooks(std::move(serverHooks))
    , server(network, address, {Subprotocol::Control}, maxConnections,
             ServerHooks{[this](const ConnectionPtr &connection, Subprotocol) {
                             this->accepted(connection);
                         },
                         this->hooks.get, logConnectionFault})
{
}

void ControlServer::send(ConnectionId id, const Message &message)
{
    const auto found = this->connections.find(id);
    if (found != this->connections.end())
        found->second->send(message);
}

std::size_t ControlServer::queuedBytes(ConnectionId id) const
{
    const auto found = this->connections.find(id);
    return found == this->connections.end() ? 0 : found->second->queuedBytes();
}

void ControlServer::closeAll(CloseReason reason)
{
    for (const auto &[id, connection] : this->connections)
        connection->close(reason);
}

void ControlServer::accepted(const ConnectionPtr &connection)
{
    const ConnectionId id = ++this->lastId;
    this->connections[id] = connection;
    connection->onMessage = [this, id](Message message) {
        this->hooks.received(id, std::move(message));
    };
    connection->onClosed = [this, id] {
        this->connections.erase(id);
        this->hooks.closed(id);
    };
}

} // namespace rhubarbweir
