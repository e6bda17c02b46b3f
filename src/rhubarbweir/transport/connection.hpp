// One message connection, whatever carries it. Used on its event loop's thread only.
#pragma once

#include "rhubarbweir/protocol/message.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbweir {

// Who speaks on a connection; each has a WebSocket subprotocol.
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

// Why a connection was closed by this side.
enum class CloseReason {
    Normal,
    MalformedMessage,
    MessageTooLarge,
    UnsupportedVersion,
    UnexpectedMessage,
    SlowReader,
    // A handshake or a frame did not end in time.
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

// Keeps itself alive until closed.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    virtual ~Connection() = default;

    // Queues `message`. A connection that does not drain is closed as SlowReader.
    virtual void send(const Message &message) = 0;
    // Closes after what was queued is sent; onClosed follows.
    virtual void close(CloseReason reason) = 0;
    virtual bool isOpen() const = 0;
    // Host and port of the other side.
    virtual std::string peerAddress() const = 0;

    // Set by the owner. Both are dropped after onClosed ran.
    std::function<void(Message)> onMessage;
    std::function<void()> onClosed;
};

using ConnectionPtr = std::shared_ptr<Connection>;

} // namespace rhubarbweir
