// See byte_stream.hpp.
#include "rhubarbweir/transport/byte_stream.hpp"

#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/internal/endpoint_address.hpp"
#include "rhubarbweir/transport/internal/socket_options.hpp"

#include <absl/strings/str_cat.h>
#include <asio.hpp>

#include <array>
#include <utility>

namespace rhubarbweir {

namespace {

using asio::ip::tcp;

// Maximum number of bytes queued for one peer. A peer that exceeds it is considered not to read.
constexpr std::size_t MaxQueuedBytes = 4 << 20;
// Maximum size of one read. All streams of a thread share the buffer, so that an idle stream needs
// none.
constexpr std::size_t ReadBufferBytes = 16 << 10;
// Delay before accepting again after an error, such as running out of file descriptors.
constexpr std::chrono::milliseconds AcceptPause{50};

std::array<char, ReadBufferBytes> &readBuffer()
{
    thread_local std::array<char, ReadBufferBytes> buffer;
    return buffer;
}

class TcpStream : public ByteStream, public std::enable_shared_from_this<TcpStream>
{
public:
    TcpStream(tcp::socket connected, const EventLoop &loop, std::shared_ptr<std::size_t> openCount)
        : socket(std::move(connected))
        , openCounter(std::move(openCount))
        , buffered(loop.bufferBudget(), [this] { this->evict(); })
    {
        if (this->openCounter)
            ++*this->openCounter;
    }

    ~TcpStream() override
    {
        if (this->openCounter)
            --*this->openCounter;
    }

    void start()
    {
        asio::error_code ignored;
        this->socket.set_option(tcp::no_delay(true), ignored);
        this->socket.non_blocking(true, ignored);
        enableDeadPeerDetection(this->socket.native_handle());
        this->waitReadable();
    }

    void send(std::string_view bytes) override
    {
        if (!this->isOpen() || this->closeWhenSent || this->isFailing)
            return;
        if (this->pending.empty())
            bytes.remove_prefix(this->writeSome(bytes));
        if (bytes.empty() || !this->isOpen())
            return;
        if (this->pending.size() + bytes.size() > MaxQueuedBytes) {
            this->postFailure();
            return;
        }
        const bool wasEmpty = this->pending.empty();
        this->pending.append(bytes);
        if (wasEmpty)
            this->waitWritable();
        this->updateBuffered();
    }

    void close() override
    {
        this->clearHooks();
        this->closeWhenSent = true;
        if (this->pending.empty())
            this->closeSocket();
    }

    void abort() override
    {
        this->clearHooks();
        this->closeSocket();
    }

    bool isOpen() const override { return this->socket.is_open(); }

    void holdInput(std::size_t bytes) override
    {
        this->heldInput = bytes;
        this->updateBuffered();
    }

private:
    void updateBuffered()
    {
        if (!this->isFailing)
            this->buffered.set(this->isOpen() ? this->pending.size() + this->heldInput : 0);
    }

    void evict()
    {
        std::string().swap(this->pending);
        this->postFailure();
    }

    void waitReadable()
    {
        this->socket.async_wait(tcp::socket::wait_read,
                                [self = this->shared_from_this()](const asio::error_code &error) {
                                    if (!error)
                                        self->readAvailable();
                                });
    }

    void readAvailable()
    {
        asio::error_code error;
        const std::size_t read = this->socket.read_some(asio::buffer(readBuffer()), error);
        if (error == asio::error::would_block) {
            this->waitReadable();
            return;
        }
        if (error) {
            this->fail(error != asio::error::eof);
            return;
        }
        // A copy, because the hook may close this stream, which clears onBytes.
        if (const auto hook = this->onBytes)
            hook(std::string_view(readBuffer().data(), read));
        if (this->isOpen())
            this->waitReadable();
    }

    std::size_t writeSome(std::string_view bytes)
    {
        asio::error_code error;
        const std::size_t written = this->socket.write_some(asio::buffer(bytes), error);
        if (error && error != asio::error::would_block) {
            this->postFailure();
            return bytes.size();
        }
        return error ? 0 : written;
    }

    void waitWritable()
    {
        this->socket.async_wait(tcp::socket::wait_write,
                                [self = this->shared_from_this()](const asio::error_code &error) {
                                    if (!error)
                                        self->writePending();
                                });
    }

    void writePending()
    {
        this->pending.erase(0, this->writeSome(this->pending));
        if (!this->isOpen())
            return;
        this->updateBuffered();
        if (!this->pending.empty())
            this->waitWritable();
        else if (this->closeWhenSent)
            this->closeSocket();
    }

    // Reports the failure from the event loop, because the owner may be in the middle of a send().
    void postFailure()
    {
        this->isFailing = true;
        asio::post(this->socket.get_executor(),
                   [self = this->shared_from_this()] { self->fail(true); });
    }

    void fail(bool wasReset)
    {
        if (!this->isOpen())
            return;
        this->closeSocket();
        const auto hook = std::move(this->onClosed);
        this->clearHooks();
        if (hook)
            hook(wasReset);
    }

    void closeSocket()
    {
        asio::error_code ignored;
        if (this->socket.is_open())
            this->socket.close(ignored);
        this->buffered.set(0);
    }

    void clearHooks()
    {
        this->onBytes = nullptr;
        this->onClosed = nullptr;
    }

    tcp::socket socket;
    std::shared_ptr<std::size_t> openCounter;
    std::string pending;
    // Bytes that the owner keeps for the peer.
    std::size_t heldInput = 0;
    BufferBudget::Account buffered;
    bool closeWhenSent = false;
    // A failure will be reported. What is sent from now on would follow a gap.
    bool isFailing = false;
};

absl::StatusOr<tcp::endpoint> endpointOf(const std::string &address)
{
    const auto hostPort = parseHostPort(address);
    if (!hostPort.ok())
        return hostPort.status();
    asio::error_code error;
    const auto host = asio::ip::make_address(hostPort->host, error);
    if (error)
        return absl::InvalidArgumentError(absl::StrCat("not an IP address: ", hostPort->host));
    return tcp::endpoint(host, hostPort->port);
}

} // namespace

struct StreamListener::Impl : std::enable_shared_from_this<Impl>
{
    Impl(EventLoop &eventLoop, std::string listenAddress, std::size_t connectionLimit,
         Accepted acceptedHook, MakeRoom makeRoomHook)
        : loop(eventLoop)
        , address(std::move(listenAddress))
        , maxConnections(connectionLimit)
        , accepted(std::move(acceptedHook))
        , makeRoom(std::move(makeRoomHook))
        , acceptor(eventLoop.context())
    {
    }

    void acceptNext()
    {
        this->acceptor.async_accept([self = this->shared_from_this()](const asio::error_code &error,
                                                                      tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (error) {
                self->loop.schedule(EventLoop::now() + AcceptPause, [self] { self->acceptNext(); });
                return;
            }
            self->handleAccepted(std::move(socket));
            self->acceptNext();
        });
    }

    void handleAccepted(tcp::socket socket)
    {
        const bool isFull = *this->open >= this->maxConnections;
        if (isFull && (!this->makeRoom || !this->makeRoom()))
            return;
        auto stream = std::make_shared<TcpStream>(std::move(socket), this->loop, this->open);
        this->accepted(stream);
        if (stream->isOpen())
            stream->start();
    }

    EventLoop &loop;
    std::string address;
    std::size_t maxConnections;
    Accepted accepted;
    MakeRoom makeRoom;
    tcp::acceptor acceptor;
    std::shared_ptr<std::size_t> open = std::make_shared<std::size_t>(0);
};

StreamListener::StreamListener(EventLoop &loop, std::string address, std::size_t maxConnections,
                               Accepted accepted, MakeRoom makeRoom)
    : impl(std::make_shared<Impl>(loop, std::move(address), maxConnections, std::move(accepted),
                                  std::move(makeRoom)))
{
}

StreamListener::~StreamListener()
{
    this->stop();
}

absl::Status StreamListener::listen()
{
    const auto endpoint = endpointOf(this->impl->address);
    if (!endpoint.ok())
        return endpoint.status();
    asio::error_code error;
    tcp::acceptor &acceptor = this->impl->acceptor;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        // Allows another call.
        asio::error_code ignored;
        acceptor.close(ignored);
        return listenStatus(this->impl->address, error);
    }
    this->impl->acceptNext();
    return absl::OkStatus();
}

void StreamListener::stop()
{
    asio::error_code ignored;
    this->impl->acceptor.close(ignored);
}

void connectStream(EventLoop &loop, const std::string &address, TimePoint deadline,
                   std::function<void(absl::StatusOr<ByteStreamPtr>)> connected)
{
    const auto endpoint = endpointOf(address);
    if (!endpoint.ok()) {
        loop.post(
            [connected = std::move(connected), status = endpoint.status()] { connected(status); });
        return;
    }
    struct Attempt
    {
        explicit Attempt(asio::io_context &context)
            : socket(context)
            , timer(context)
        {
        }
        tcp::socket socket;
        asio::steady_timer timer;
        bool isFinished = false;
    };
    auto attempt = std::make_shared<Attempt>(loop.context());
    const auto finish = [attempt, &loop, connected = std::move(connected)](
                            const asio::error_code &error, bool timedOut) {
        if (attempt->isFinished)
            return;
        attempt->isFinished = true;
        attempt->timer.cancel();
        if (timedOut || error) {
            asio::error_code ignored;
            attempt->socket.close(ignored);
            connected(timedOut ? absl::DeadlineExceededError("no connection in time")
                               : absl::UnavailableError(error.message()));
            return;
        }
        auto stream = std::make_shared<TcpStream>(std::move(attempt->socket), loop, nullptr);
        connected(ByteStreamPtr(stream));
        if (stream->isOpen())
            stream->start();
    };
    attempt->timer.expires_after(deadline - EventLoop::now());
    attempt->timer.async_wait([finish](const asio::error_code &error) {
        if (!error)
            finish({}, true);
    });
    attempt->socket.async_connect(
        *endpoint, [finish](const asio::error_code &error) { finish(error, false); });
}

} // namespace rhubarbweir
