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

    // Another proxy connected to this one.
    void accept(const ConnectionPtr &connection);
    // Sends to `peer`, connecting to `address` first where needed. An empty address answers on
    // the connection that `peer` opened; the message is dropped when that is gone.
    void send(const InstanceId &peer, const std::string &address, const PeerMessage &message);

private:
    struct Outgoing
    {
        std::string address;
        // Null while connecting.
        ConnectionPtr connection;
        // Messages that wait for the connection; bounded.
        std::deque<PeerMessage> waiting;
    };

    void connect(const InstanceId &peer);
    void connected(const InstanceId &peer, const ConnectionPtr &connection);
    void lost(const InstanceId &peer, const Connection *connection);
    void received(const InstanceId &peer, const ConnectionPtr &connection, const Message &message);

    EventLoop &loop;
    InstanceId self;
    PeerLinksHooks hooks;
    WebSocketClient client;
    std::map<InstanceId, Outgoing> outgoing;
    // The newest connection that each peer opened to this proxy.
    std::map<InstanceId, ConnectionPtr> incoming;
};

} // namespace rhubarbweir
