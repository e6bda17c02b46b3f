// See quorum_links.hpp.
#include "programs/control/quorum_links.hpp"

#include "programs/support/event_log.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{500};
// Pause between two attempts to connect.
constexpr std::chrono::milliseconds RetryInterval{100};

} // namespace

QuorumLinks::QuorumLinks(EventLoop &eventLoop, InstanceId selfId,
                         const std::vector<QuorumPeer> &peers)
    : network(eventLoop)
    , self(std::move(selfId))
    , client(eventLoop)
{
    for (const QuorumPeer &peer : peers) {
        if (peer.instance != this->self)
            this->links[peer.instance] = Link{peer.address, nullptr};
    }
}

void QuorumLinks::start()
{
    for (const auto &[peer, link] : this->links)
        this->connect(peer);
}

void QuorumLinks::send(const InstanceId &to, const Message &message)
{
    const auto found = this->links.find(to);
    if (found != this->links.end() && found->second.connection)
        found->second.connection->send(message);
}

void QuorumLinks::connect(const InstanceId &peer)
{
    this->client.connect(this->links[peer].address, Subprotocol::Control,
                         EventLoop::now() + ConnectTimeout,
                         [this, peer](absl::StatusOr<ConnectionPtr> result) {
                             if (result.ok())
                                 this->connected(peer, *result);
                             else
                                 this->retryLater(peer);
                         });
}

void QuorumLinks::connected(const InstanceId &peer, const ConnectionPtr &connection)
{
    logEvent(LogLevel::Info, "control_peer_connected", {{"peer", peer.value}});
    this->links[peer].connection = connection;
    connection->send(PeerHello{this->self});
    connection->onClosed = [this, peer] {
        logEvent(LogLevel::Warning, "control_peer_lost", {{"peer", peer.value}});
        this->links[peer].connection = nullptr;
        this->retryLater(peer);
    };
}

void QuorumLinks::retryLater(const InstanceId &peer)
{
    this->network.schedule(EventLoop::now() + RetryInterval, [this, peer] { this->connect(peer); });
}

} // namespace rhubarbweir
