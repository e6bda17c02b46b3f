// See web_socket.hpp. The only source file that includes websocketpp, which is slow to compile.
#include "rhubarbweir/transport/web_socket.hpp"

#include "rhubarbweir/protocol/codec.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/internal/endpoint_address.hpp"
#include "rhubarbweir/transport/internal/socket_options.hpp"

#include <absl/strings/str_cat.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace rhubarbweir {

namespace {

using ServerEndpoint = websocketpp::server<websocketpp::config::asio>;
using ClientEndpoint = websocketpp::client<websocketpp::config::asio_client>;

// Bytes queued towards one peer before it counts as a slow reader.
constexpr std::size_t MaxQueuedBytes = 4 << 20;

CloseReason closeReasonFor(const absl::Status &status)
{
    if (absl::IsResourceExhausted(status))
        return CloseReason::MessageTooLarge;
    if (absl::IsUnimplemented(status))
        return CloseReason::UnsupportedVersion;
    return CloseReason::MalformedMessage;
}

websocketpp::close::status::value closeCode(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Normal:
        return websocketpp::close::status::normal;
    case CloseReason::GoingAway:
        return websocketpp::close::status::going_away;
    case CloseReason::MessageTooLarge:
        return websocketpp::close::status::message_too_big;
    case CloseReason::Overloaded:
    case CloseReason::SlowReader:
    case CloseReason::SlowSender:
        return websocketpp::close::status::try_again_later;
    case CloseReason::MalformedMessage:
    case CloseReason::UnsupportedVersion:
    case CloseReason::UnexpectedMessage:
        break;
    }
    return websocketpp::close::status::policy_violation;
}

// The fault behind a close that the library began by itself, or behind a failed handshake.
// Absent for a peer that went away and for what was reported already.
std::optional<CloseReason> faultBehind(const websocketpp::lib::error_code &error)
{
    using websocketpp::error::value;
    if (error == value::open_handshake_timeout || error == value::close_handshake_timeout)
        return CloseReason::SlowSender;
    if (error == value::rejected || error == value::http_connection_ended)
        return std::nullopt;
    if (error.category() == websocketpp::error::get_category()
        || error.category() == websocketpp::processor::error::get_processor_category())
        return CloseReason::MalformedMessage;
    return std::nullopt;
}

std::optional<CloseReason> faultBehind(websocketpp::close::status::value code)
{
    if (code == websocketpp::close::status::message_too_big)
        return CloseReason::MessageTooLarge;
    if (code == websocketpp::close::status::protocol_error
        || code == websocketpp::close::status::invalid_payload
        || code == websocketpp::close::status::internal_endpoint_error)
        return CloseReason::MalformedMessage;
    return std::nullopt;
}

using Fault = std::function<void(CloseReason, const std::string &, const std::string &)>;

// A connection of either endpoint type.
template<typename Endpoint>
class WebSocketConnection : public Connection
{
public:
    using Raw = typename Endpoint::connection_ptr;

    WebSocketConnection(Raw connection, Subprotocol protocol, Fault faultHook)
        : raw(std::move(connection))
        , subprotocol(protocol)
        , fault(std::move(faultHook))
    {
    }

    void send(const Message &message) override
    {
        if (!this->isOpen())
            return;
        if (this->raw->get_buffered_amount() > MaxQueuedBytes) {
            this->fail(CloseReason::SlowReader, "send queue is full");
            return;
        }
        const auto opcode = this->encoding == Encoding::Json ? websocketpp::frame::opcode::text
                                                             : websocketpp::frame::opcode::binary;
        this->raw->send(encode(message, this->encoding), opcode);
    }

    void close(CloseReason reason) override
    {
        websocketpp::lib::error_code ignored;
        this->raw->close(closeCode(reason), std::string(nameOf(reason)), ignored);
    }

    bool isOpen() const override
    {
        return this->raw->get_state() == websocketpp::session::state::open;
    }

    std::string peerAddress() const override { return this->raw->get_remote_endpoint(); }

    // Runs once when the connection has ended.
    std::function<void()> released;

    // Connects the endpoint's events to this object, which they keep alive.
    void attach()
    {
        auto self = std::static_pointer_cast<WebSocketConnection>(this->shared_from_this());
        this->raw->set_message_handler(
            [self](const auto &, const typename Endpoint::message_ptr &frame) {
                self->received(frame->get_opcode(), frame->get_payload());
            });
        // The message handler alone keeps this object alive; closed() drops it.
        std::weak_ptr<WebSocketConnection> weak = self;
        const auto ended = [weak](const auto &) {
            if (const auto connection = weak.lock())
                connection->closed();
        };
        this->raw->set_close_handler(ended);
        this->raw->set_fail_handler(ended);
    }

    // Pings the peer on an interval and closes the connection when an answer is missing.
    void keepAlive(EventLoop &loop, Duration interval, Duration pongTimeout)
    {
        this->raw->set_pong_timeout(
            std::chrono::duration_cast<std::chrono::milliseconds>(pongTimeout).count());
        std::weak_ptr<Connection> weak = this->weak_from_this();
        this->raw->set_pong_timeout_handler([weak](const auto &, const std::string &) {
            if (const auto self = std::static_pointer_cast<WebSocketConnection>(weak.lock()))
                self->fail(CloseReason::SlowSender, "no answer to a ping");
        });
        this->schedulePing(loop, interval);
    }

private:
    void received(websocketpp::frame::opcode::value opcode, const std::string &payload)
    {
        const bool isText = opcode == websocketpp::frame::opcode::text;
        if (isText && this->subprotocol != Subprotocol::Caller) {
            this->fail(CloseReason::MalformedMessage, "text frame on an internal connection");
            return;
        }
        this->encoding = isText ? Encoding::Json : Encoding::Cbor;
        auto message = decode(payload, this->encoding);
        if (!message.ok()) {
            this->fail(closeReasonFor(message.status()), std::string(message.status().message()));
            return;
        }
        if (this->onMessage)
            this->onMessage(*std::move(message));
    }

    void schedulePing(EventLoop &loop, Duration interval)
    {
        std::weak_ptr<Connection> weak = this->weak_from_this();
        loop.schedule(EventLoop::now() + interval, [weak, &loop, interval] {
            const auto self = std::static_pointer_cast<WebSocketConnection>(weak.lock());
            if (!self || !self->isOpen())
                return;
            websocketpp::lib::error_code ignored;
            self->raw->ping("", ignored);
            self->schedulePing(loop, interval);
        });
    }

    void fail(CloseReason reason, const std::string &detail)
    {
        this->faultReported = true;
        if (this->fault)
            this->fault(reason, this->peerAddress(), detail);
        this->close(reason);
    }

    void closed()
    {
        const auto code = this->raw->get_local_close_code();
        const std::optional<CloseReason> reason = faultBehind(code);
        if (reason && this->fault && !this->faultReported)
            this->fault(*reason, this->peerAddress(), this->raw->get_local_close_reason());
        if (this->onClosed)
            this->onClosed();
        if (this->released)
            this->released();
        this->onMessage = nullptr;
        this->onClosed = nullptr;
        this->released = nullptr;
        this->raw->set_message_handler(nullptr);
    }

    Raw raw;
    Subprotocol subprotocol;
    Fault fault;
    // Answers use the encoding of the last message received.
    Encoding encoding = Encoding::Cbor;
    // A fault is reported once.
    bool faultReported = false;
};

template<typename Raw>
void disableNagle(const Raw &connection)
{
    websocketpp::lib::asio::error_code ignored;
    connection->get_raw_socket().set_option(websocketpp::lib::asio::ip::tcp::no_delay(true),
                                            ignored);
    detectDeadPeer(connection->get_raw_socket().native_handle());
}

template<typename Endpoint>
void quiet(Endpoint &endpoint, Duration handshakeTimeout)
{
    const auto timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(handshakeTimeout).count();
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.set_max_message_size(MaxMessageBytes);
    endpoint.set_open_handshake_timeout(timeout);
    endpoint.set_close_handshake_timeout(timeout);
}

} // namespace

struct WebSocketServer::Parts
{
    Parts(EventLoop &eventLoop, std::string listenAddress, std::vector<Subprotocol> subprotocols,
          std::size_t connectionLimit, ServerHooks serverHooks,
          ConnectionTimeouts connectionTimeouts)
        : loop(eventLoop)
        , address(std::move(listenAddress))
        , accepted(std::move(subprotocols))
        , maxConnections(connectionLimit)
        , hooks(std::move(serverHooks))
        , timeouts(connectionTimeouts)
    {
    }

    EventLoop &loop;
    std::string address;
    std::vector<Subprotocol> accepted;
    std::size_t maxConnections;
    ServerHooks hooks;
    ConnectionTimeouts timeouts;
    ServerEndpoint endpoint;
    std::size_t openConnections = 0;

    bool validate(const ServerEndpoint::connection_ptr &connection)
    {
        if (this->openConnections >= this->maxConnections) {
            connection->set_status(websocketpp::http::status_code::service_unavailable);
            this->report(CloseReason::Overloaded, connection, "too many connections");
            return false;
        }
        for (const auto &wanted : connection->get_requested_subprotocols()) {
            for (const Subprotocol known : this->accepted) {
                if (wanted == nameOf(known)) {
                    connection->select_subprotocol(wanted);
                    return true;
                }
            }
        }
        connection->set_status(websocketpp::http::status_code::bad_request);
        this->report(CloseReason::UnsupportedVersion, connection, "no known subprotocol");
        return false;
    }

    void opened(const ServerEndpoint::connection_ptr &raw)
    {
        const auto subprotocol = enumFromName<Subprotocol>(raw->get_subprotocol());
        auto connection = std::make_shared<WebSocketConnection<ServerEndpoint>>(
            raw, subprotocol.value_or(Subprotocol::Caller), this->hooks.fault);
        connection->attach();
        connection->keepAlive(this->loop, this->timeouts.pingInterval, this->timeouts.pongTimeout);
        ++this->openConnections;
        connection->released = [this] {
            --this->openConnections;
        };
        this->hooks.accepted(connection, subprotocol.value_or(Subprotocol::Caller));
    }

    void answerGet(const ServerEndpoint::connection_ptr &connection)
    {
        const HttpReply reply =
            this->hooks.get ? this->hooks.get(connection->get_resource()) : HttpReply{};
        connection->set_status(static_cast<websocketpp::http::status_code::value>(reply.status));
        connection->replace_header("Content-Type", reply.contentType);
        connection->set_body(reply.body);
    }

    void handshakeFailed(const ServerEndpoint::connection_ptr &connection)
    {
        if (const std::optional<CloseReason> reason = faultBehind(connection->get_ec()))
            this->report(*reason, connection, connection->get_ec().message());
    }

    void report(CloseReason reason, const ServerEndpoint::connection_ptr &connection,
                const std::string &detail)
    {
        if (this->hooks.fault)
            this->hooks.fault(reason, connection->get_remote_endpoint(), detail);
    }
};

WebSocketServer::WebSocketServer(EventLoop &loop, std::string address,
                                 std::vector<Subprotocol> accepted, std::size_t maxConnections,
                                 ServerHooks hooks, ConnectionTimeouts timeouts)
    : parts(std::make_shared<Parts>(loop, std::move(address), std::move(accepted), maxConnections,
                                    std::move(hooks), timeouts))
{
}

WebSocketServer::~WebSocketServer()
{
    this->stopListening();
}

absl::Status WebSocketServer::listen()
{
    Parts &p = *this->parts;
    const auto hostPort = parseHostPort(p.address);
    if (!hostPort.ok())
        return hostPort.status();
    websocketpp::lib::error_code error;
    quiet(p.endpoint, p.timeouts.handshake);
    p.endpoint.init_asio(&p.loop.context(), error);
    if (error)
        return absl::InternalError(error.message());
    p.endpoint.set_reuse_addr(true);
    p.endpoint.set_tcp_post_init_handler(
        [&p](const auto &handle) { disableNagle(p.endpoint.get_con_from_hdl(handle)); });
    p.endpoint.set_validate_handler(
        [&p](const auto &handle) { return p.validate(p.endpoint.get_con_from_hdl(handle)); });
    p.endpoint.set_open_handler(
        [&p](const auto &handle) { p.opened(p.endpoint.get_con_from_hdl(handle)); });
    p.endpoint.set_fail_handler(
        [&p](const auto &handle) { p.handshakeFailed(p.endpoint.get_con_from_hdl(handle)); });
    p.endpoint.set_http_handler(
        [&p](const auto &handle) { p.answerGet(p.endpoint.get_con_from_hdl(handle)); });
    p.endpoint.listen(hostPort->host, std::to_string(hostPort->port), error);
    if (error)
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", p.address, ": ", error.message()));
    p.endpoint.start_accept(error);
    return error ? absl::UnavailableError(error.message()) : absl::OkStatus();
}

void WebSocketServer::stopListening()
{
    websocketpp::lib::error_code ignored;
    if (this->parts->endpoint.is_listening())
        this->parts->endpoint.stop_listening(ignored);
}

struct WebSocketClient::Parts
{
    explicit Parts(EventLoop &eventLoop)
        : loop(eventLoop)
    {
        quiet(this->endpoint, ConnectionTimeouts{}.handshake);
        this->endpoint.init_asio(&eventLoop.context());
        this->endpoint.set_tcp_post_init_handler(
            [this](const auto &handle) { disableNagle(this->endpoint.get_con_from_hdl(handle)); });
    }

    EventLoop &loop;
    ClientEndpoint endpoint;
};

WebSocketClient::WebSocketClient(EventLoop &loop)
    : parts(std::make_shared<Parts>(loop))
{
}

WebSocketClient::~WebSocketClient() = default;

void WebSocketClient::connect(const std::string &address, Subprotocol subprotocol,
                              TimePoint deadline, Connected connected)
{
    websocketpp::lib::error_code error;
    auto raw = this->parts->endpoint.get_connection(absl::StrCat("ws://", address, "/"), error);
    if (error) {
        connected(absl::InvalidArgumentError(error.message()));
        return;
    }
    raw->add_subprotocol(std::string(nameOf(subprotocol)));
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - EventLoop::now());
    raw->set_open_handshake_timeout(std::max<long>(1, left.count()));
    // Empty once it was called.
    auto shared = std::make_shared<Connected>(std::move(connected));
    const auto finish = [shared](absl::StatusOr<ConnectionPtr> result) {
        if (const Connected handler = std::exchange(*shared, nullptr))
            handler(std::move(result));
    };
    // Handlers that held the attempt would keep it, and its buffers, for ever.
    const std::weak_ptr weak = raw;
    raw->set_open_handler([weak, subprotocol, finish](const auto &) {
        auto connection = std::make_shared<WebSocketConnection<ClientEndpoint>>(
            weak.lock(), subprotocol, Fault{});
        connection->attach();
        finish(ConnectionPtr(connection));
    });
    raw->set_fail_handler([weak, finish](const auto &) {
        const auto reason = weak.lock()->get_ec();
        finish(reason == websocketpp::error::open_handshake_timeout
                   ? absl::DeadlineExceededError(reason.message())
                   : absl::UnavailableError(reason.message()));
    });
    // The library's own timeout covers the handshake, not the connect before it.
    this->parts->loop.schedule(deadline, [shared, finish, weak] {
        if (!*shared)
            return;
        asio::error_code ignored;
        if (const auto attempt = weak.lock())
            attempt->get_raw_socket().close(ignored);
        finish(absl::DeadlineExceededError("no connection in time"));
    });
    this->parts->endpoint.connect(raw);
}

} // namespace rhubarbweir
