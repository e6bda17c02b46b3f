// TCP connections that carry plain bytes: text sessions, targets and HTTP.
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

// Keeps itself alive until closed. Used on its event loop's thread only.
class ByteStream
{
public:
    virtual ~ByteStream() = default;

    // Sends at once what the socket takes and queues the rest. A peer that does not read is cut
    // off when the queue is full.
    virtual void send(std::string_view bytes) = 0;
    // Closes after what was queued is sent. onClosed is not called.
    virtual void close() = 0;
    // Closes at once. onClosed is not called.
    virtual void abort() = 0;
    virtual bool isOpen() const = 0;

    // Set by the owner. Dropped after onClosed ran or the stream was closed.
    std::function<void(std::string_view)> onBytes;
    // The peer closed or the connection broke. `wasReset`: by a reset, not by an end of stream.
    std::function<void(bool wasReset)> onClosed;
};

using ByteStreamPtr = std::shared_ptr<ByteStream>;

class StreamListener
{
public:
    using Accepted = std::function<void(ByteStreamPtr)>;

    // `address` is host:port with a numeric host. Connections above `maxConnections` are closed.
    StreamListener(EventLoop &loop, std::string address, std::size_t maxConnections,
                   Accepted accepted);
    ~StreamListener();

    // Errors: InvalidArgument for a bad address, Unavailable when the port cannot be bound.
    absl::Status listen();
    void stop();

private:
    struct Parts;
    std::shared_ptr<Parts> parts;
};

// Errors reach `connected`: Unavailable when refused, DeadlineExceeded at `deadline`.
void connectStream(EventLoop &loop, const std::string &address, TimePoint deadline,
                   std::function<void(absl::StatusOr<ByteStreamPtr>)> connected);

} // namespace rhubarbweir
