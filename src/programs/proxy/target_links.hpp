// Connections to databases, one per generation that the node opens.
#pragma once

#include "rhubarbweir/coordination/proxy/proxy_settings.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <map>
#include <string>

namespace rhubarbweir {

class EventLoop;

struct TargetLinksHooks
{
    std::function<void(Generation, const ConnectionOpened &)> opened;
    std::function<void(Generation, OpenFailure)> refused;
    std::function<void(Generation, const TargetMessage &)> message;
    std::function<void(Generation)> closed;
};

class TargetLinks
{
public:
    TargetLinks(EventLoop &loop, TargetLinksHooks hooks);

    void open(Generation generation, const std::string &address, const OpenConnection &message);
    void send(Generation generation, const TargetRequest &message);
    void close(Generation generation);

private:
    struct Link
    {
        // Null while connecting.
        ConnectionPtr connection;
        // Whether the database has answered with ConnectionOpened.
        bool opened = false;
        // Whether close() was called; a connection that is established later is closed.
        bool abandoned = false;
    };

    void connected(Generation generation, const ConnectionPtr &connection,
                   const OpenConnection &message);
    void handleMessage(Generation generation, const Message &message);
    void connectionEnded(Generation generation);

    EventLoop &loop;
    TargetLinksHooks hooks;
    WebSocketClient client;
    std::map<Generation, Link> links;
};

} // namespace rhubarbweir
