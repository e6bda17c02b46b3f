// Connections to and from other proxies.
#pragma once

#include "rhubarbweir/coordination/proxy/proxy_settings.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <deque>
#include <map>
#include <string>

namespace rhubarbweir {

class EventLoop;

struct PeerLinksHooks
{
    std::function<void(const InstanceId &, const PeerMessage &)> message;
    std::function<void(const InstanceId &)> connected;
    std::function<void(const InstanceId &)> lost;
};

class PeerLinks
{
public:
    PeerLinks(EventLoop &loop, InstanceId self, PeerLinksHooks hooks);

    // Handles a connection that another proxy opened to this one.
    void accept(const ConnectionPtr &connection);
    // Sends to `peer`, after connecting to `address` if necessary. With an empty address, sends on
    // the connection that `peer` opened, and drops the message if that connection is closed.
    void send(const InstanceId &peer, const std::string &address, const PeerMessage &message);

private:
    struct Outgoing
    {
        std::string address;
        // Null while connecting.
        ConnectionPtr connection;
        // Messages to be sent once connected; limited in number.
        std::deque<PeerMessage> pending;
    };

    void connect(const InstanceId &peer);
    void connected(const InstanceId &peer, const ConnectionPtr &connection);
    void connectionLost(const InstanceId &peer, const Connection *connection);
    void handleMessage(const InstanceId &peer, const ConnectionPtr &connection,
                       const Message &message);

    EventLoop &loop;
    InstanceId self;
    PeerLinksHooks hooks;
    WebSocketClient client;
    std::map<InstanceId, Outgoing> outgoing;
    // The latest connection that each peer opened to this proxy.
    std::map<InstanceId, ConnectionPtr> incoming;
};

} // namespace rhubarbweir
