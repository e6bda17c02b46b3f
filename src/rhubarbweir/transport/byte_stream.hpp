// TCP connections that carry raw bytes, used for text sessions, targets and HTTP.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rhubarbweir {

class EventLoop;

// An open stream keeps itself alive until it is closed. Not thread-safe: use it only on the thread
// of its event loop.
class ByteStream
{
public:
    virtual ~ByteStream() = default;

    // Writes as much as the socket accepts immediately and queues the rest. If the queue is full
    // because the peer does not read, the connection is closed; onClosed is called later, never
    // within this call.
    virtual void send(std::string_view bytes) = 0;
    // Closes the connection after all queued bytes are sent. onClosed is not called.
    virtual void close() = 0;
    // Closes the connection immediately and discards queued bytes. onClosed is not called.
    virtual void abort() = 0;
    virtual bool isOpen() const = 0;
    // The owner keeps `bytes` for the peer, for example an incomplete message. They count toward
    // the loop's BufferBudget, as do the bytes queued for sending. If it is exceeded, the
    // connections with the most bytes are closed, and onClosed is called for them.
    virtual void holdInput(std::size_t bytes) = 0;

    // Both hooks are set by the owner and cleared when the stream is closed.
    std::function<void(std::string_view)> onBytes;
    // Called when the peer closes the stream or the connection fails. `wasReset` is false if the
    // stream ended regularly.
    std::function<void(bool wasReset)> onClosed;
};

using ByteStreamPtr = std::shared_ptr<ByteStream>;

class StreamListener
{
public:
    using Accepted = std::function<void(ByteStreamPtr)>;

    // Closes an open stream to make room for a new one. False if none may be closed.
    using MakeRoom = std::function<bool()>;

    // `address` is host:port with a numeric host. Connections beyond `maxConnections` are closed
    // immediately, unless `makeRoom` is given and closes another one.
    StreamListener(EventLoop &loop, std::string address, std::size_t maxConnections,
                   Accepted accepted, MakeRoom makeRoom = {});
    ~StreamListener();

    // May be called again after an error.
    // Errors: InvalidArgument for a bad address, PermissionDenied when the process may not use the
    // port, Unavailable when the port cannot be bound now.
    absl::Status listen();
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

// Opens a stream to `address` and passes it to `connected`. Errors, also passed to `connected`:
// InvalidArgument for a bad address, Unavailable if the connection is refused, DeadlineExceeded at
// `deadline`.
void connectStream(EventLoop &loop, const std::string &address, TimePoint deadline,
                   std::function<void(absl::StatusOr<ByteStreamPtr>)> connected);

} // namespace rhubarbweir
