// Connections to and from other instances of the same role: proxies or poolers.
#pragma once

#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <deque>
#include <map>
#include <string>

namespace rhubarbweir {

class EventLoop;

struct PeerLinksHooks
{
    // False for a message that no peer sends; the connection is closed then.
    std::function<bool(const InstanceId &, const Message &)> message;
    std::function<void(const InstanceId &)> connected;
    // A connection to the peer closed, or could not be opened if not `wasConnected`. Nothing was
    // sent in the latter case.
    std::function<void(const InstanceId &, bool wasConnected)> lost;
    // The connection that the peer opened has closed, or was replaced by a later one.
    std::function<void(const InstanceId &)> left;
};

class PeerLinks
{
public:
    PeerLinks(EventLoop &loop, InstanceId self, PeerLinksHooks hooks);

    // Handles a connection that a peer opened to this instance.
    void accept(const ConnectionPtr &connection);
    // Sends to `peer`, after connecting to `address` if necessary. With an empty address, sends on
    // the connection that `peer` opened, and drops the message if that connection is closed.
    void send(const InstanceId &peer, const std::string &address, const Message &message);
    // Closes the connection to `peer`. No hook is called for it.
    void drop(const InstanceId &peer);

private:
    struct Outgoing
    {
        std::string address;
        // Null while connecting.
        ConnectionPtr connection;
        // Messages to be sent once connected; limited in number.
        std::deque<Message> pending;
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
    // The latest connection that each peer opened to this instance.
    std::map<InstanceId, ConnectionPtr> incoming;
};

} // namespace rhubarbweir
