// See quorum_links.hpp.
#include "programs/control/quorum_links.hpp"

#include "programs/support/event_log.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

// A lost SYN is retransmitted only after one second; a new connection attempt is faster.
constexpr std::chrono::milliseconds ConnectTimeout{250};
// Minimum interval between two connection attempts to an instance.
constexpr std::chrono::milliseconds RetryInterval{100};

} // namespace

QuorumLinks::QuorumLinks(EventLoop &eventLoop, InstanceId selfId,
                         const std::vector<QuorumPeer> &peers)
    : network(eventLoop)
    , self(std::move(selfId))
    , client(eventLoop)
{
    for (const QuorumPeer &peer : peers)
        this->addPeer(peer);
}

void QuorumLinks::start()
{
    for (const auto &[peer, link] : this->links)
        this->connect(peer);
}

void QuorumLinks::addPeer(const QuorumPeer &peer)
{
    if (peer.instance != this->self)
        this->links[peer.instance].address = peer.address;
}

void QuorumLinks::send(const InstanceId &to, const Message &message)
{
    const auto found = this->links.find(to);
    if (found == this->links.end())
        return;
    if (found->second.connection)
        found->second.connection->send(message);
    else
        this->connect(to);
}

void QuorumLinks::connect(const InstanceId &peer)
{
    Link &link = this->links[peer];
    const TimePoint now = EventLoop::now();
    if (link.isConnecting || now < link.retryAt)
        return;
    link.isConnecting = true;
    link.retryAt = now + RetryInterval;
    this->client.connect(link.address, Subprotocol::Control, now + ConnectTimeout,
                         [this, peer](absl::StatusOr<ConnectionPtr> result) {
                             this->links[peer].isConnecting = false;
                             if (result.ok())
                                 this->connected(peer, *result);
                         });
}

void QuorumLinks::connected(const InstanceId &peer, const ConnectionPtr &connection)
{
    logEvent(LogLevel::Info, "control_peer_connected", {{"peer", peer.value}});
    this->links[peer].connection = connection;
    connection->send(PeerHello{this->self});
    connection->onMessage = [this, peer](const Message &message) {
        if (this->onMessage)
            this->onMessage(peer, message);
    };
    connection->onClosed = [this, peer] {
        this->connectionLost(peer);
    };
}

void QuorumLinks::connectionLost(const InstanceId &peer)
{
    logEvent(LogLevel::Warning, "control_peer_lost", {{"peer", peer.value}});
    this->links[peer].connection = nullptr;
    this->connect(peer);
}

} // namespace rhubarbweir
