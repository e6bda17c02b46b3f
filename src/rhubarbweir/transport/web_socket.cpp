// See web_socket.hpp. The only source file that includes websocketpp, because it is slow to
// compile.
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

// Maximum number of bytes queued for one peer. A peer that exceeds it is a slow reader.
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

// The protocol fault that made the library fail a handshake or close a connection by itself. Absent
// if the peer disconnected or if the fault has already been reported.
std::optional<CloseReason> faultReason(const websocketpp::lib::error_code &error)
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

std::optional<CloseReason> faultReason(websocketpp::close::status::value code)
{
    if (code == websocketpp::close::status::message_too_big)
        return CloseReason::MessageTooLarge;
    if (code == websocketpp::close::status::protocol_error
        || code == websocketpp::close::status::invalid_payload
        || code == websocketpp::close::status::internal_endpoint_error)
        return CloseReason::MalformedMessage;
    return std::nullopt;
}

using FaultHook = std::function<void(CloseReason, const std::string &, const std::string &)>;

// Connection of a server or client endpoint.
template<typename Endpoint>
class WebSocketConnection : public Connection
{
public:
    using RawConnection = typename Endpoint::connection_ptr;

    WebSocketConnection(RawConnection connection, Subprotocol protocol, FaultHook faultHook)
        : rawConnection(std::move(connection))
        , subprotocol(protocol)
        , fault(std::move(faultHook))
    {
    }

    void send(const Message &message) override
    {
        if (!this->isOpen())
            return;
        if (this->rawConnection->get_buffered_amount() > MaxQueuedBytes) {
            this->fail(CloseReason::SlowReader, "send queue is full");
            return;
        }
        const auto opcode = this->encoding == Encoding::Json ? websocketpp::frame::opcode::text
                                                             : websocketpp::frame::opcode::binary;
        this->rawConnection->send(encode(message, this->encoding), opcode);
    }

    void close(CloseReason reason) override
    {
        websocketpp::lib::error_code ignored;
        this->rawConnection->close(closeCode(reason), std::string(nameOf(reason)), ignored);
    }

    bool isOpen() const override
    {
        return this->rawConnection->get_state() == websocketpp::session::state::open;
    }

    std::size_t queuedBytes() const override { return this->rawConnection->get_buffered_amount(); }

    std::string peerAddress() const override { return this->rawConnection->get_remote_endpoint(); }

    // Called once when the connection has ended.
    std::function<void()> onReleased;

    // Registers this object for the connection's events, which keep it alive.
    void registerHandlers()
    {
        auto self = std::static_pointer_cast<WebSocketConnection>(this->shared_from_this());
        this->rawConnection->set_message_handler(
            [self](const auto &, const typename Endpoint::message_ptr &frame) {
                self->handleFrame(frame->get_opcode(), frame->get_payload());
            });
        // Only the message handler keeps this object alive; handleClosed() removes it.
        std::weak_ptr<WebSocketConnection> weak = self;
        const auto ended = [weak](const auto &) {
            if (const auto connection = weak.lock())
                connection->handleClosed();
        };
        this->rawConnection->set_close_handler(ended);
        this->rawConnection->set_fail_handler(ended);
    }

    // Pings the peer periodically and closes the connection if a pong does not arrive in time.
    void startPings(EventLoop &loop, Duration interval, Duration pongTimeout)
    {
        this->rawConnection->set_pong_timeout(
            std::chrono::duration_cast<std::chrono::milliseconds>(pongTimeout).count());
        std::weak_ptr<Connection> weak = this->weak_from_this();
        this->rawConnection->set_pong_timeout_handler([weak](const auto &, const std::string &) {
            if (const auto self = std::static_pointer_cast<WebSocketConnection>(weak.lock()))
                self->fail(CloseReason::SlowSender, "no pong received in time");
        });
        this->schedulePing(loop, interval);
    }

private:
    void handleFrame(websocketpp::frame::opcode::value opcode, const std::string &payload)
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
            self->rawConnection->ping("", ignored);
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

    void handleClosed()
    {
        const auto code = this->rawConnection->get_local_close_code();
        const std::optional<CloseReason> reason = faultReason(code);
        if (reason && this->fault && !this->faultReported)
            this->fault(*reason, this->peerAddress(),
                        this->rawConnection->get_local_close_reason());
        if (this->onClosed)
            this->onClosed();
        if (this->onReleased)
            this->onReleased();
        this->onMessage = nullptr;
        this->onClosed = nullptr;
        this->onReleased = nullptr;
        this->rawConnection->set_message_handler(nullptr);
    }

    RawConnection rawConnection;
    Subprotocol subprotocol;
    FaultHook fault;
    // Encoding of the last message received, also used for messages sent.
    Encoding encoding = Encoding::Cbor;
    // Ensures that only one fault is reported for a connection.
    bool faultReported = false;
};

template<typename RawConnection>
void setSocketOptions(const RawConnection &connection)
{
    websocketpp::lib::asio::error_code ignored;
    connection->get_raw_socket().set_option(websocketpp::lib::asio::ip::tcp::no_delay(true),
                                            ignored);
    enableDeadPeerDetection(connection->get_raw_socket().native_handle());
}

template<typename Endpoint>
void configureEndpoint(Endpoint &endpoint, Duration handshakeTimeout)
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

struct WebSocketServer::Impl
{
    Impl(EventLoop &eventLoop, std::string listenAddress, std::vector<Subprotocol> subprotocols,
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
    bool isConfigured = false;

    absl::Status configure()
    {
        if (std::exchange(this->isConfigured, true))
            return absl::OkStatus();
        websocketpp::lib::error_code error;
        configureEndpoint(this->endpoint, this->timeouts.handshake);
        this->endpoint.init_asio(&this->loop.context(), error);
        if (error)
            return absl::InternalError(error.message());
        this->endpoint.set_reuse_addr(true);
        this->endpoint.set_tcp_post_init_handler([this](const auto &handle) {
            setSocketOptions(this->endpoint.get_con_from_hdl(handle));
        });
        this->endpoint.set_validate_handler([this](const auto &handle) {
            return this->validate(this->endpoint.get_con_from_hdl(handle));
        });
        this->endpoint.set_open_handler(
            [this](const auto &handle) { this->opened(this->endpoint.get_con_from_hdl(handle)); });
        this->endpoint.set_fail_handler([this](const auto &handle) {
            this->handshakeFailed(this->endpoint.get_con_from_hdl(handle));
        });
        this->endpoint.set_http_handler([this](const auto &handle) {
            this->answerGet(this->endpoint.get_con_from_hdl(handle));
        });
        return absl::OkStatus();
    }

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
        this->report(CloseReason::UnsupportedVersion, connection, "no supported subprotocol");
        return false;
    }

    void opened(const ServerEndpoint::connection_ptr &rawConnection)
    {
        const auto subprotocol = enumFromName<Subprotocol>(rawConnection->get_subprotocol());
        auto connection = std::make_shared<WebSocketConnection<ServerEndpoint>>(
            rawConnection, subprotocol.value_or(Subprotocol::Caller), this->hooks.fault);
        connection->registerHandlers();
        connection->startPings(this->loop, this->timeouts.pingInterval, this->timeouts.pongTimeout);
        ++this->openConnections;
        connection->onReleased = [this] {
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
        if (const std::optional<CloseReason> reason = faultReason(connection->get_ec()))
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
    : impl(std::make_shared<Impl>(loop, std::move(address), std::move(accepted), maxConnections,
                                  std::move(hooks), timeouts))
{
}

WebSocketServer::~WebSocketServer()
{
    this->stopListening();
}

absl::Status WebSocketServer::listen()
{
    Impl &listener = *this->impl;
    const auto hostPort = parseHostPort(listener.address);
    if (!hostPort.ok())
        return hostPort.status();
    // The host is numeric, so that no name has to be resolved.
    asio::error_code error;
    const auto host = asio::ip::make_address(hostPort->host, error);
    if (error)
        return absl::InvalidArgumentError(absl::StrCat("not an IP address: ", hostPort->host));
    if (absl::Status configured = listener.configure(); !configured.ok())
        return configured;
    websocketpp::lib::error_code failure;
    listener.endpoint.listen(asio::ip::tcp::endpoint(host, hostPort->port), failure);
    if (!failure)
        listener.endpoint.start_accept(failure);
    if (!failure)
        return absl::OkStatus();
    this->stopListening();
    return listenStatus(listener.address, failure);
}

void WebSocketServer::stopListening()
{
    websocketpp::lib::error_code ignored;
    if (this->impl->endpoint.is_listening())
        this->impl->endpoint.stop_listening(ignored);
}

struct WebSocketClient::Impl
{
    explicit Impl(EventLoop &eventLoop)
        : loop(eventLoop)
    {
        configureEndpoint(this->endpoint, ConnectionTimeouts{}.handshake);
        this->endpoint.init_asio(&eventLoop.context());
        this->endpoint.set_tcp_post_init_handler([this](const auto &handle) {
            setSocketOptions(this->endpoint.get_con_from_hdl(handle));
        });
    }

    EventLoop &loop;
    ClientEndpoint endpoint;
};

WebSocketClient::WebSocketClient(EventLoop &loop)
    : impl(std::make_shared<Impl>(loop))
{
}

WebSocketClient::~WebSocketClient() = default;

void WebSocketClient::connect(const std::string &address, Subprotocol subprotocol,
                              TimePoint deadline, Connected connected)
{
    websocketpp::lib::error_code error;
    auto rawConnection =
        this->impl->endpoint.get_connection(absl::StrCat("ws://", address, "/"), error);
    if (error) {
        connected(absl::InvalidArgumentError(error.message()));
        return;
    }
    rawConnection->add_subprotocol(std::string(nameOf(subprotocol)));
    const auto timeLeft =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - EventLoop::now());
    rawConnection->set_open_handshake_timeout(std::max<long>(1, timeLeft.count()));
    // Reset when called, so that it is called only once.
    auto pendingCallback = std::make_shared<Connected>(std::move(connected));
    const auto complete = [pendingCallback](absl::StatusOr<ConnectionPtr> result) {
        if (const Connected handler = std::exchange(*pendingCallback, nullptr))
            handler(std::move(result));
    };
    // Handlers that owned the connection they are registered on would form a reference cycle, and a
    // failed attempt with its buffers would never be freed.
    const std::weak_ptr weak = rawConnection;
    rawConnection->set_open_handler([weak, subprotocol, complete](const auto &) {
        auto connection = std::make_shared<WebSocketConnection<ClientEndpoint>>(
            weak.lock(), subprotocol, FaultHook{});
        connection->registerHandlers();
        complete(ConnectionPtr(connection));
    });
    rawConnection->set_fail_handler([weak, complete](const auto &) {
        const auto reason = weak.lock()->get_ec();
        complete(reason == websocketpp::error::open_handshake_timeout
                     ? absl::DeadlineExceededError(reason.message())
                     : absl::UnavailableError(reason.message()));
    });
    // The library's own timeout covers the handshake but not the TCP connect before it.
    this->impl->loop.schedule(deadline, [pendingCallback, complete, weak] {
        if (!*pendingCallback)
            return;
        asio::error_code ignored;
        if (const auto pendingConnection = weak.lock())
            pendingConnection->get_raw_socket().close(ignored);
        complete(absl::DeadlineExceededError("no connection in time"));
    });
    this->impl->endpoint.connect(rawConnection);
}

} // namespace rhubarbweir
