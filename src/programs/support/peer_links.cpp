// See peer_links.hpp.
#include "programs/support/peer_links.hpp"

#include "programs/support/event_log.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

// Timeout for connecting to a peer.
constexpr std::chrono::milliseconds ConnectTimeout{500};
// Maximum number of messages queued until a connection is established.
constexpr std::size_t MaxPending = 4096;

} // namespace

PeerLinks::PeerLinks(EventLoop &eventLoop, InstanceId selfId, PeerLinksHooks linkHooks)
    : loop(eventLoop)
    , self(std::move(selfId))
    , hooks(std::move(linkHooks))
    , client(eventLoop)
{
}

void PeerLinks::accept(const ConnectionPtr &connection)
{
    // The first message identifies the peer; requests may follow immediately.
    auto peer = std::make_shared<InstanceId>();
    connection->onMessage = [this, peer, raw = connection.get()](const Message &message) {
        if (!peer->empty()) {
            this->handleMessage(*peer, raw->shared_from_this(), message);
            return;
        }
        const auto *hello = std::get_if<PeerHello>(&message);
        if (hello == nullptr) {
            raw->close(CloseReason::UnexpectedMessage);
            return;
        }
        *peer = hello->instance;
        const bool isReplaced = this->incoming.count(*peer) != 0;
        this->incoming[*peer] = raw->shared_from_this();
        if (isReplaced)
            this->hooks.left(*peer);
    };
    connection->onClosed = [this, peer, raw = connection.get()] {
        const auto found = this->incoming.find(*peer);
        if (found == this->incoming.end() || found->second.get() != raw)
            return;
        this->incoming.erase(found);
        this->hooks.left(*peer);
    };
}

void PeerLinks::send(const InstanceId &peer, const std::string &address, const Message &message)
{
    if (address.empty()) {
        const auto found = this->incoming.find(peer);
        if (found != this->incoming.end())
            found->second->send(message);
        return;
    }
    Outgoing &link = this->outgoing[peer];
    const bool isNew = link.address.empty();
    link.address = address;
    if (link.connection) {
        link.connection->send(message);
        return;
    }
    if (link.pending.size() < MaxPending)
        link.pending.push_back(message);
    if (isNew)
        this->connect(peer);
}

void PeerLinks::connect(const InstanceId &peer)
{
    this->client.connect(this->outgoing[peer].address, Subprotocol::Peer,
                         EventLoop::now() + ConnectTimeout,
                         [this, peer](absl::StatusOr<ConnectionPtr> result) {
                             if (result.ok())
                                 this->connected(peer, *result);
                             else
                                 this->connectionLost(peer, nullptr);
                         });
}

void PeerLinks::connected(const InstanceId &peer, const ConnectionPtr &connection)
{
    const auto found = this->outgoing.find(peer);
    if (found == this->outgoing.end()) {
        connection->close(CloseReason::Normal);
        return;
    }
    Outgoing &link = found->second;
    link.connection = connection;
    connection->onMessage = [this, peer, raw = connection.get()](const Message &message) {
        this->handleMessage(peer, raw->shared_from_this(), message);
    };
    connection->onClosed = [this, peer, raw = connection.get()] {
        this->connectionLost(peer, raw);
    };
    connection->send(PeerHello{this->self});
    for (const Message &message : std::exchange(link.pending, {}))
        connection->send(message);
    this->hooks.connected(peer);
}

void PeerLinks::connectionLost(const InstanceId &peer, const Connection *connection)
{
    const auto found = this->outgoing.find(peer);
    if (found == this->outgoing.end() || found->second.connection.get() != connection)
        return;
    this->outgoing.erase(found);
    logEvent(LogLevel::Warning, "peer_lost",
             {{"peer", peer.value}, {"cause", connection == nullptr ? "unreachable" : "closed"}});
    // Posted because the failure may be reported from inside a call of the node.
    const bool wasConnected = connection != nullptr;
    this->loop.post([this, peer, wasConnected] { this->hooks.lost(peer, wasConnected); });
}

void PeerLinks::drop(const InstanceId &peer)
{
    const auto found = this->outgoing.find(peer);
    if (found == this->outgoing.end())
        return;
    const ConnectionPtr connection = found->second.connection;
    this->outgoing.erase(found);
    if (connection)
        connection->close(CloseReason::Normal);
}

void PeerLinks::handleMessage(const InstanceId &peer, const ConnectionPtr &connection,
                              const Message &message)
{
    if (!this->hooks.message(peer, message))
        connection->close(CloseReason::UnexpectedMessage);
}

} // namespace rhubarbweir
