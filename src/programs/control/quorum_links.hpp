// Outgoing connections to the other control instances; messages are dropped while one is down.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_entry.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

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
    void send(const InstanceId &to, const Message &message);

private:
    struct Link
    {
        std::string address;
        // Null while down.
        ConnectionPtr connection;
    };

    void connect(const InstanceId &peer);
    void connected(const InstanceId &peer, const ConnectionPtr &connection);
    void retryLater(const InstanceId &peer);

    EventLoop &network;
    InstanceId self;
    WebSocketClient client;
    std::map<InstanceId, Link> links;
};

} // namespace rhubarbweir
