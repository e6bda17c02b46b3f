// Interface of a message connection, independent of the transport. Not thread-safe: use it only on
// the thread of its event loop.
#pragma once

#include "rhubarbweir/protocol/message.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbweir {

// Kind of peer on a connection. Each kind has its own WebSocket subprotocol.
enum class Subprotocol {
    Caller,
    Peer,
    Control,
    Target,
};

template<>
struct EnumNames<Subprotocol>
{
    static constexpr std::string_view Names[] = {"rhubarbweir.v1", "rhubarbweir.peer.v1",
                                                 "rhubarbweir.control.v1", "rhubarbweir.target.v1"};
};

// Reason why this side closed a connection.
enum class CloseReason {
    Normal,
    MalformedMessage,
    MessageTooLarge,
    UnsupportedVersion,
    UnexpectedMessage,
    SlowReader,
    // A handshake or a frame was not completed in time.
    SlowSender,
    Overloaded,
    GoingAway,
};

template<>
struct EnumNames<CloseReason>
{
    static constexpr std::string_view Names[] = {"normal",
                                                 "malformed_message",
                                                 "message_too_large",
                                                 "unsupported_version",
                                                 "unexpected_message",
                                                 "slow_reader",
                                                 "slow_sender",
                                                 "overloaded",
                                                 "going_away"};
};

// An open connection keeps itself alive until it is closed.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    virtual ~Connection() = default;

    // Queues `message`. If the send queue is full, the connection is closed with SlowReader.
    virtual void send(const Message &message) = 0;
    // Closes the connection after all queued messages are sent; onClosed is called afterwards.
    virtual void close(CloseReason reason) = 0;
    virtual bool isOpen() const = 0;
    // Bytes that wait for an earlier write to end.
    virtual std::size_t queuedBytes() const = 0;
    // Host and port of the peer.
    virtual std::string peerAddress() const = 0;

    // Both hooks are set by the owner and cleared after onClosed has run.
    std::function<void(Message)> onMessage;
    std::function<void()> onClosed;
};

using ConnectionPtr = std::shared_ptr<Connection>;

} // namespace rhubarbweir
