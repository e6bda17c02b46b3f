// WebSocket servers and clients that carry messages, and plain HTTP GET beside them.
#pragma once

#include "rhubarbweir/transport/connection.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rhubarbweir {

class EventLoop;

struct HttpReply
{
    int status = 404;
    std::string contentType = "text/plain";
    std::string body;
};

// Hooks of a server; all run on its loop's thread.
struct ServerHooks
{
    // A handshake succeeded; set the connection's hooks here.
    std::function<void(ConnectionPtr, Subprotocol)> accepted;
    // A plain GET of `path`.
    std::function<HttpReply(const std::string &path)> get;
    // A peer broke the protocol and its connection was closed.
    std::function<void(CloseReason, const std::string &peer, const std::string &detail)> fault;
};

// How long a server waits for its peers.
struct ConnectionTimeouts
{
    // For the opening and for the closing handshake.
    Duration handshake = std::chrono::seconds(3);
    // A peer that does not answer a ping, such as one that never ends a frame, is cut off.
    Duration pingInterval = std::chrono::seconds(15);
    Duration pongTimeout = std::chrono::seconds(10);
};

class WebSocketServer
{
public:
    // `address` is host:port with a numeric host. Connections above `maxConnections` are refused.
    WebSocketServer(EventLoop &loop, std::string address, std::vector<Subprotocol> accepted,
                    std::size_t maxConnections, ServerHooks hooks,
                    ConnectionTimeouts timeouts = {});
    ~WebSocketServer();

    // Errors: InvalidArgument for a bad address, Unavailable when the port cannot be bound.
    absl::Status listen();
    // Keeps open connections.
    void stopListening();

private:
    struct Parts;
    std::shared_ptr<Parts> parts;
};

class WebSocketClient
{
public:
    using Connected = std::function<void(absl::StatusOr<ConnectionPtr>)>;

    explicit WebSocketClient(EventLoop &loop);
    ~WebSocketClient();

    // Errors reach `connected`: Unavailable when refused, DeadlineExceeded at `deadline`.
    void connect(const std::string &address, Subprotocol subprotocol, TimePoint deadline,
                 Connected connected);

private:
    struct Parts;
    std::shared_ptr<Parts> parts;
};

} // namespace rhubarbweir
