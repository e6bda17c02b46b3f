// Tests that a WebSocket server reports invalid input as a typed fault and closes the connection,
// without disturbing its other connections.
#include "rhubarbweir/protocol/codec.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <asio.hpp>
#include <criterion/criterion.h>

#include <condition_variable>
#include <future>
#include <mutex>
#include <random>
#include <thread>

using namespace rhubarbweir;
using namespace std::chrono_literals;

namespace {

std::uint16_t freePort()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

// A server that echoes messages and runs on its own thread.
class EchoServer
{
public:
    explicit EchoServer(std::size_t maxConnections = 100, ConnectionTimeouts timeouts = {})
        : port(freePort())
        , address("127.0.0.1:" + std::to_string(this->port))
        , server(this->loop, this->address, {Subprotocol::Caller, Subprotocol::Peer},
                 maxConnections, this->hooks(), timeouts)
    {
        cr_assert(this->server.listen().ok());
        this->thread = std::thread([this] { this->loop.run(); });
    }
    ~EchoServer()
    {
        this->loop.stop();
        this->thread.join();
    }

    // Waits for the next reported fault. Fails the test after 20 s without one.
    CloseReason nextFault()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        const bool arrived =
            this->changed.wait_for(lock, 20s, [this] { return !this->faults.empty(); });
        cr_assert(arrived, "no fault was reported");
        const CloseReason reason = this->faults.front();
        this->faults.erase(this->faults.begin());
        return reason;
    }

    const std::uint16_t port;
    const std::string address;

private:
    ServerHooks hooks()
    {
        ServerHooks result;
        result.accepted = [](const ConnectionPtr &connection, Subprotocol) {
            std::weak_ptr<Connection> weak = connection;
            connection->onMessage = [weak](const Message &message) {
                // PeerHello makes the server send more than the send queue of a peer may hold.
                const bool floodsPeer = std::holds_alternative<PeerHello>(message);
                for (int copy = 0; copy < (floodsPeer ? 64 : 1); ++copy)
                    weak.lock()->send(message);
            };
        };
        result.fault = [this](CloseReason reason, const std::string &, const std::string &) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->faults.push_back(reason);
            this->changed.notify_all();
        };
        return result;
    }

    EventLoop loop;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<CloseReason> faults;
    WebSocketServer server;
    std::thread thread;
};

// A caller that follows the protocol. The server must keep serving it whatever other peers send.
class ConformingCaller
{
public:
    explicit ConformingCaller(const EchoServer &server)
        : client(this->loop)
    {
        this->client.connect(server.address, Subprotocol::Caller, EventLoop::now() + 5s,
                             [this](absl::StatusOr<ConnectionPtr> result) {
                                 cr_assert(result.ok());
                                 this->connection = *result;
                                 this->loop.stop();
                             });
        this->loop.run();
    }

    void assertServed()
    {
        bool answered = false;
        this->connection->onMessage = [&](const Message &message) {
            answered = std::holds_alternative<MoveSession>(message);
            this->loop.stop();
        };
        this->connection->onClosed = [&] {
            this->loop.stop();
        };
        this->connection->send(MoveSession{});
        this->loop.run();
        cr_assert(answered, "invalid input on another connection disturbed this one");
    }

private:
    EventLoop loop;
    WebSocketClient client;
    ConnectionPtr connection;
};

constexpr char TextFrame = 0x1;
constexpr char BinaryFrame = 0x2;

// A peer that sends arbitrary bytes.
class RawPeer
{
public:
    explicit RawPeer(const EchoServer &server)
        : socket(this->context)
    {
        this->socket.connect({asio::ip::make_address("127.0.0.1"), server.port});
    }

    // Errors are ignored because the server may already have closed the connection.
    void send(const std::string &bytes)
    {
        asio::error_code ignored;
        asio::write(this->socket, asio::buffer(bytes), ignored);
    }

    // Sends a WebSocket handshake and returns the status line of the response.
    std::string performHandshake(const std::string &subprotocol)
    {
        this->send("GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                   "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
                   "Sec-WebSocket-Protocol: "
                   + subprotocol + "\r\n\r\n");
        asio::error_code ignored;
        asio::read_until(this->socket, asio::dynamic_buffer(this->received), "\r\n\r\n", ignored);
        const std::string line = this->received.substr(0, this->received.find("\r\n"));
        this->received.clear();
        return line;
    }

    // Sends a masked frame whose header declares `length` bytes, followed by `payload`.
    void sendFrame(char opcode, const std::string &payload, std::uint64_t length)
    {
        // The protocol requires the shortest encoding of the length.
        const int lengthBits = length < 126 ? 0 : length < 65536 ? 16 : 64;
        const std::uint64_t shortLength = lengthBits == 0 ? length : lengthBits == 16 ? 126 : 127;
        std::string frame{static_cast<char>(0x80 | opcode), static_cast<char>(0x80 | shortLength)};
        for (int shift = lengthBits - 8; shift >= 0; shift -= 8)
            frame += static_cast<char>(length >> shift & 0xff);
        frame.append(4, '\0');
        this->send(frame + payload);
    }
    void sendMessage(char opcode, const std::string &payload)
    {
        this->sendFrame(opcode, payload, payload.size());
    }

    // Returns all bytes received until the server closes the connection.
    std::string readToEnd()
    {
        asio::error_code ignored;
        asio::read(this->socket, asio::dynamic_buffer(this->received), ignored);
        return this->received;
    }

    // Reads the next frame and closes the connection. Returns the frame's close code, or 0 if it is
    // not a close frame.
    int closeCode()
    {
        asio::error_code ignored;
        asio::read(this->socket, asio::dynamic_buffer(this->received), asio::transfer_at_least(4),
                   ignored);
        this->close();
        const std::string &bytes = this->received;
        if (bytes.size() < 4 || static_cast<unsigned char>(bytes[0]) != 0x88)
            return 0;
        return static_cast<unsigned char>(bytes[2]) << 8 | static_cast<unsigned char>(bytes[3]);
    }

    void close() { this->socket.close(); }

private:
    asio::io_context context;
    asio::ip::tcp::socket socket;
    std::string received;
};

constexpr int PolicyViolation = 1008;
constexpr int MessageTooBig = 1009;
const std::string CallerName(nameOf(Subprotocol::Caller));
const std::string PeerName(nameOf(Subprotocol::Peer));
const std::string SwitchingProtocols = "HTTP/1.1 101 Switching Protocols";

// Sends a message that the server must refuse with `expected`.
void assertRefused(const std::string &subprotocol, char opcode, const std::string &payload,
                   CloseReason expected)
{
    EchoServer server;
    ConformingCaller caller(server);
    RawPeer peer(server);
    cr_assert(peer.performHandshake(subprotocol) == SwitchingProtocols);
    peer.sendMessage(opcode, payload);
    const int code = peer.closeCode();
    cr_assert(code == PolicyViolation, "close code %d", code);
    cr_assert(server.nextFault() == expected);
    caller.assertServed();
}

template<std::size_t Index = 0>
void addSamples(std::vector<Message> &samples)
{
    if constexpr (Index < std::variant_size_v<Message>) {
        samples.emplace_back(std::in_place_index<Index>);
        addSamples<Index + 1>(samples);
    }
}

// One default message of every type, and some messages with non-empty lists.
std::vector<Message> sampleMessages()
{
    std::vector<Message> samples;
    addSamples(samples);
    CallerRequest request;
    request.session = SessionId("s-1");
    request.group = GroupId("windlog-1");
    request.token.observe(request.group, {3, 77});
    samples.emplace_back(request);
    GroupView group;
    group.targets.resize(3);
    group.holders.resize(2);
    group.holders[0].grants.resize(3);
    samples.emplace_back(LeaseGranted{5, 2s, ViewDelta{1, 9, {group}, {GroupId("gone")}}});
    RowChange change;
    change.value = "7";
    samples.emplace_back(TableEdit{"edit-1", "operator", {change, change}});
    return samples;
}

class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : random(seed)
    {
    }

    std::string mutate(std::string bytes)
    {
        for (std::size_t step = this->below(4) + 1; step > 0 && !bytes.empty(); --step)
            this->mutateOnce(bytes);
        return bytes;
    }

private:
    std::size_t below(std::size_t bound) { return this->random() % bound; }

    void mutateOnce(std::string &bytes)
    {
        const std::size_t at = this->below(bytes.size());
        switch (this->below(5)) {
        case 0:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << this->below(8)));
            break;
        case 1:
            bytes[at] = static_cast<char>(this->random());
            break;
        case 2:
            bytes.resize(at);
            break;
        case 3:
            bytes.insert(at, bytes.substr(this->below(bytes.size()), 16));
            break;
        default:
            bytes.erase(at, this->below(8) + 1);
            break;
        }
    }

    std::mt19937_64 random;
};

} // namespace

Test(bad_input, wrong_subprotocol, .description = "an unknown subprotocol is refused with HTTP 400")
{
    EchoServer server;
    ConformingCaller caller(server);
    RawPeer peer(server);
    cr_assert(peer.performHandshake("rhubarbweir.v9") == "HTTP/1.1 400 Bad Request");
    cr_assert(server.nextFault() == CloseReason::UnsupportedVersion);
    caller.assertServed();
}

Test(bad_input, not_http, .description = "bytes that are not HTTP close the connection")
{
    EchoServer server;
    ConformingCaller caller(server);
    RawPeer peer(server);
    peer.send(std::string("\x16\x03\x01\x00\xff", 5) + " garbage\r\n\r\n");
    cr_assert(peer.readToEnd().find("101") == std::string::npos);
    cr_assert(server.nextFault() == CloseReason::MalformedMessage);
    caller.assertServed();
}

Test(bad_input, too_many, .description = "connections above the limit are refused with HTTP 503")
{
    EchoServer server(1);
    ConformingCaller caller(server);
    RawPeer peer(server);
    cr_assert(peer.performHandshake(CallerName) == "HTTP/1.1 503 Service Unavailable");
    cr_assert(server.nextFault() == CloseReason::Overloaded);
    caller.assertServed();
}

Test(bad_input, malformed,
     .description = "a frame that is not a valid message closes the connection")
{
    assertRefused(CallerName, BinaryFrame, "no CBOR", CloseReason::MalformedMessage);
    assertRefused(CallerName, TextFrame, R"({"v":1,"t":"caller_request","b":[]})",
                  CloseReason::MalformedMessage);
}

Test(bad_input, unknown_version, .description = "an unsupported wire version closes the connection")
{
    assertRefused(CallerName, TextFrame, R"({"v":9,"t":"caller_request","b":{}})",
                  CloseReason::UnsupportedVersion);
}

Test(bad_input, text_between_instances,
     .description = "a JSON message on a connection between instances is refused")
{
    assertRefused(PeerName, TextFrame, encode(MoveSession{}, Encoding::Json),
                  CloseReason::MalformedMessage);
}

Test(bad_input, oversized, .description = "a frame whose declared length is too large is not read")
{
    EchoServer server;
    ConformingCaller caller(server);
    RawPeer peer(server);
    cr_assert(peer.performHandshake(CallerName) == SwitchingProtocols);
    peer.sendFrame(BinaryFrame, "", MaxMessageBytes + 1);
    const int code = peer.closeCode();
    cr_assert(code == MessageTooBig, "close code %d", code);
    cr_assert(server.nextFault() == CloseReason::MessageTooLarge);
    caller.assertServed();
}

Test(bad_input, unmasked, .description = "an unmasked frame violates the WebSocket protocol")
{
    EchoServer server;
    ConformingCaller caller(server);
    RawPeer peer(server);
    cr_assert(peer.performHandshake(CallerName) == SwitchingProtocols);
    peer.send("\x82\x05hello");
    peer.readToEnd();
    cr_assert(server.nextFault() == CloseReason::MalformedMessage);
    caller.assertServed();
}

Test(bad_input, truncated, .description = "a connection that ends within a frame is released")
{
    EchoServer server(2);
    ConformingCaller caller(server);
    for (int attempt = 0; attempt < 3; ++attempt) {
        auto peer = std::make_unique<RawPeer>(server);
        // The server answers 503 until it has noticed the end of the previous connection.
        while (peer->performHandshake(CallerName) != SwitchingProtocols)
            peer = std::make_unique<RawPeer>(server);
        peer->sendFrame(BinaryFrame, "0123456789", 1000);
        peer->close();
    }
    caller.assertServed();
}

Test(bad_input, slow_handshake,
     .description = "a connection whose handshake does not complete is closed")
{
    ConnectionTimeouts timeouts;
    timeouts.handshake = 100ms;
    EchoServer server(100, timeouts);
    ConformingCaller caller(server);
    RawPeer peer(server);
    peer.send("GET / HT");
    peer.readToEnd();
    cr_assert(server.nextFault() == CloseReason::SlowSender);
    caller.assertServed();
}

Test(bad_input, slow_sender, .description = "a connection whose frame does not complete is closed")
{
    ConnectionTimeouts timeouts;
    timeouts.pingInterval = 100ms;
    timeouts.pongTimeout = 100ms;
    EchoServer server(100, timeouts);
    RawPeer peer(server);
    cr_assert(peer.performHandshake(CallerName) == SwitchingProtocols);
    peer.sendFrame(BinaryFrame, "0123456789", 1000);
    peer.readToEnd();
    cr_assert(server.nextFault() == CloseReason::SlowSender);
}

Test(bad_input, slow_reader, .description = "a connection whose peer does not read is closed")
{
    EchoServer server;
    ConformingCaller caller(server);
    RawPeer peer(server);
    cr_assert(peer.performHandshake(PeerName) == SwitchingProtocols);
    peer.sendMessage(BinaryFrame, encode(PeerHello{InstanceId(std::string(1'000'000, 'x'))}));
    cr_assert(server.nextFault() == CloseReason::SlowReader);
    caller.assertServed();
}

Test(bad_input, deep_nesting,
     .description = "deeply nested input is refused instead of exhausting the stack")
{
    for (const char *opening : {"\x81", "\x9f", "\xa1\x61x"}) {
        std::string nested;
        while (nested.size() + 3 < MaxMessageBytes)
            nested += opening;
        cr_assert(absl::IsInvalidArgument(decode(nested).status()));
    }
    const std::string brackets(MaxMessageBytes, '[');
    cr_assert(absl::IsInvalidArgument(decode(brackets, Encoding::Json).status()));
}

Test(bad_input, mutated_messages,
     .description = "a mutated message decodes to a status or to a message that encodes again")
{
    Mutator mutator(20261204);
    std::size_t accepted = 0;
    for (const Encoding encoding : {Encoding::Cbor, Encoding::Json}) {
        for (const Message &sample : sampleMessages()) {
            const std::string bytes = encode(sample, encoding);
            cr_assert(decode(bytes, encoding).ok(), "%s", std::string(typeName(sample)).c_str());
            for (int round = 0; round < 300; ++round) {
                const auto decoded = decode(mutator.mutate(bytes), encoding);
                if (!decoded.ok())
                    continue;
                ++accepted;
                cr_assert(decode(encode(*decoded, encoding), encoding).ok());
            }
        }
    }
    cr_assert(accepted > 0);
}
