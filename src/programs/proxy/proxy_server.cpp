// See proxy_server.hpp.
#include "programs/proxy/proxy_server.hpp"

#include "programs/support/event_log.hpp"

#include <utility>

namespace rhubarbweir {

ProxyServer::ProxyServer(EventLoop &loop, const std::string &address, std::size_t maxConnections,
                         ProxyServerHooks serverHooks)
    : hooks(std::move(serverHooks))
    , server(loop, address, {Subprotocol::Caller, Subprotocol::Peer, Subprotocol::Control},
             maxConnections,
             ServerHooks{[this](const ConnectionPtr &connection, Subprotocol subprotocol) {
                             this->accepted(connection, subprotocol);
                         },
                         this->hooks.get, logConnectionFault})
{
}

void ProxyServer::send(CallerConnectionId id, const CallerReply &reply)
{
    const auto found = this->callers.find(id);
    if (found == this->callers.end())
        return;
    std::visit([&found](const auto &message) { found->second->send(message); }, reply);
}

void ProxyServer::closeAll(CloseReason reason)
{
    for (const auto &[id, connection] : this->callers)
        connection->close(reason);
}

void ProxyServer::accepted(const ConnectionPtr &connection, Subprotocol subprotocol)
{
    if (subprotocol == Subprotocol::Peer) {
        this->hooks.peerConnected(connection);
        return;
    }
    if (subprotocol == Subprotocol::Control) {
        this->acceptOperator(connection);
        return;
    }
    const CallerConnectionId id = ++this->lastId;
    this->callers[id] = connection;
    connection->onMessage = [this, id, raw = connection.get()](const Message &message) {
        this->handleMessage(id, raw->shared_from_this(), message);
    };
    connection->onClosed = [this, id] {
        this->callers.erase(id);
        this->hooks.closed(id);
    };
    this->hooks.opened(id);
}

void ProxyServer::acceptOperator(const ConnectionPtr &connection)
{
    connection->onMessage = [this, raw = connection.get()](const Message &message) {
        if (const auto *request = std::get_if<DrainInstance>(&message)) {
            raw->send(this->hooks.drain(*request));
            return;
        }
        logConnectionFault(CloseReason::UnexpectedMessage, raw->peerAddress(),
                           "unexpected message from an operator");
        raw->close(CloseReason::UnexpectedMessage);
    };
}

void ProxyServer::handleMessage(CallerConnectionId id, const ConnectionPtr &connection,
                                const Message &message)
{
    if (const auto *open = std::get_if<OpenSession>(&message)) {
        this->hooks.message(id, *open);
        return;
    }
    if (const auto *request = std::get_if<CallerRequest>(&message)) {
        this->hooks.message(id, *request);
        return;
    }
    logConnectionFault(CloseReason::UnexpectedMessage, connection->peerAddress(),
                       "unexpected message from a caller");
    connection->close(CloseReason::UnexpectedMessage);
}

} // namespace rhubarbweir
