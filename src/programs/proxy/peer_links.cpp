// See peer_links.hpp.
#include "programs/proxy/peer_links.hpp"

#include "programs/support/event_log.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

// Timeout for connecting to another proxy.
constexpr std::chrono::milliseconds ConnectTimeout{500};
// Maximum number of messages queued until a connection is established.
constexpr std::size_t MaxPending = 4096;

void sendOn(const ConnectionPtr &connection, const PeerMessage &message)
{
    std::visit([&connection](const auto &body) { connection->send(body); }, message);
}

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
        this->incoming[*peer] = raw->shared_from_this();
    };
    connection->onClosed = [this, peer, raw = connection.get()] {
        const auto found = this->incoming.find(*peer);
        if (found != this->incoming.end() && found->second.get() == raw)
            this->incoming.erase(found);
    };
}

void PeerLinks::send(const InstanceId &peer, const std::string &address, const PeerMessage &message)
{
    if (address.empty()) {
        const auto found = this->incoming.find(peer);
        if (found != this->incoming.end())
            sendOn(found->second, message);
        return;
    }
    Outgoing &link = this->outgoing[peer];
    const bool isNew = link.address.empty();
    link.address = address;
    if (link.connection) {
        sendOn(link.connection, message);
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
    Outgoing &link = this->outgoing[peer];
    link.connection = connection;
    connection->onMessage = [this, peer, raw = connection.get()](const Message &message) {
        this->handleMessage(peer, raw->shared_from_this(), message);
    };
    connection->onClosed = [this, peer, raw = connection.get()] {
        this->connectionLost(peer, raw);
    };
    connection->send(PeerHello{this->self});
    for (const PeerMessage &message : std::exchange(link.pending, {}))
        sendOn(connection, message);
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
    this->loop.post([this, peer] { this->hooks.lost(peer); });
}

void PeerLinks::handleMessage(const InstanceId &peer, const ConnectionPtr &connection,
                              const Message &message)
{
    if (const auto *request = std::get_if<ForwardRequest>(&message))
        this->hooks.message(peer, *request);
    else if (const auto *answer = std::get_if<ForwardAnswer>(&message))
        this->hooks.message(peer, *answer);
    else if (const auto *end = std::get_if<EndTransaction>(&message))
        this->hooks.message(peer, *end);
    else
        connection->close(CloseReason::UnexpectedMessage);
}

} // namespace rhubarbweir
