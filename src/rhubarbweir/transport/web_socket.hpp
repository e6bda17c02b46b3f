// WebSocket server and client for messages. The server also answers plain HTTP GET requests.
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

// Hooks of a server. All are called on the thread of its event loop.
struct ServerHooks
{
    // A handshake succeeded. The connection's own hooks have to be set in this call.
    std::function<void(ConnectionPtr, Subprotocol)> accepted;
    // Answers a plain GET request for `path`.
    std::function<HttpReply(const std::string &path)> get;
    // A peer violated the protocol and its connection was refused or closed.
    std::function<void(CloseReason, const std::string &peer, const std::string &detail)> fault;
};

// How long a server waits for a peer.
struct ConnectionTimeouts
{
    // Applies to the opening and the closing handshake.
    Duration handshake = std::chrono::seconds(3);
    // The connection of a peer that does not answer a ping in time, for example because it never
    // completes a frame, is closed.
    Duration pingInterval = std::chrono::seconds(15);
    Duration pongTimeout = std::chrono::seconds(10);
};

class WebSocketServer
{
public:
    // `address` is host:port with a numeric host. Connections beyond `maxConnections` are refused
    // with HTTP 503.
    WebSocketServer(EventLoop &loop, std::string address, std::vector<Subprotocol> accepted,
                    std::size_t maxConnections, ServerHooks hooks,
                    ConnectionTimeouts timeouts = {});
    ~WebSocketServer();

    // May be called again after an error.
    // Errors: InvalidArgument for a bad address, PermissionDenied when the process may not use the
    // port, Unavailable when the port cannot be bound now.
    absl::Status listen();
    // Stops accepting connections. Established connections stay open.
    void stopListening();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

class WebSocketClient
{
public:
    using Connected = std::function<void(absl::StatusOr<ConnectionPtr>)>;

    explicit WebSocketClient(EventLoop &loop);
    ~WebSocketClient();

    // Errors are passed to `connected`: InvalidArgument for a bad address, Unavailable if the
    // connection is refused, DeadlineExceeded at `deadline`.
    void connect(const std::string &address, Subprotocol subprotocol, TimePoint deadline,
                 Connected connected);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace rhubarbweir
