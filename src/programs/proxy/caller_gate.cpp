// See caller_gate.hpp.
#include "programs/proxy/caller_gate.hpp"

#include "programs/support/event_log.hpp"

#include <utility>

namespace rhubarbweir {

CallerGate::CallerGate(EventLoop &loop, const std::string &address, std::size_t maxConnections,
                       CallerGateHooks gateHooks)
    : hooks(std::move(gateHooks))
    , server(loop, address, {Subprotocol::Caller, Subprotocol::Peer, Subprotocol::Control},
             maxConnections,
             ServerHooks{[this](const ConnectionPtr &connection, Subprotocol subprotocol) {
                             this->accepted(connection, subprotocol);
                         },
                         this->hooks.get, logConnectionFault})
{
}

void CallerGate::send(CallerConnectionId id, const CallerReply &reply)
{
    const auto found = this->callers.find(id);
    if (found == this->callers.end())
        return;
    std::visit([&found](const auto &message) { found->second->send(message); }, reply);
}

void CallerGate::closeAll(CloseReason reason)
{
    for (const auto &[id, connection] : this->callers)
        connection->close(reason);
}

void CallerGate::accepted(const ConnectionPtr &connection, Subprotocol subprotocol)
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
        this->received(id, raw->shared_from_this(), message);
    };
    connection->onClosed = [this, id] {
        this->callers.erase(id);
        this->hooks.closed(id);
    };
    this->hooks.opened(id);
}

void CallerGate::acceptOperator(const ConnectionPtr &connection)
{
    connection->onMessage = [this, raw = connection.get()](const Message &message) {
        if (const auto *request = std::get_if<DrainInstance>(&message)) {
            raw->send(this->hooks.drain(*request));
            return;
        }
        logConnectionFault(CloseReason::UnexpectedMessage, raw->peerAddress(),
                           "not an operator's message");
        raw->close(CloseReason::UnexpectedMessage);
    };
}

void CallerGate::received(CallerConnectionId id, const ConnectionPtr &connection,
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
                       "not a caller's message");
    connection->close(CloseReason::UnexpectedMessage);
}

} // namespace rhubarbweir
