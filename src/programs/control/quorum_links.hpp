// Outgoing connections to the other control instances. A message to an instance that is not
// connected is dropped and starts a new connection attempt.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_entry.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rhubarbweir {

class EventLoop;

class QuorumLinks
{
public:
    QuorumLinks(EventLoop &network, InstanceId self, const std::vector<QuorumPeer> &peers);

    void start();
    // Adds an instance, or updates the address of a known one.
    void addPeer(const QuorumPeer &peer);
    void send(const InstanceId &to, const Message &message);

    // Called for messages that an instance sends on the connection that was opened to it. May be
    // empty.
    std::function<void(const InstanceId &from, const Message &)> onMessage;

private:
    struct Link
    {
        std::string address;
        // Null while disconnected.
        ConnectionPtr connection;
        bool isConnecting = false;
        TimePoint retryAt;
    };

    void connect(const InstanceId &peer);
    void connected(const InstanceId &peer, const ConnectionPtr &connection);
    void connectionLost(const InstanceId &peer);

    EventLoop &network;
    InstanceId self;
    WebSocketClient client;
    std::map<InstanceId, Link> links;
};

} // namespace rhubarbweir
