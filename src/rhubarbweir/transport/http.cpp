// See http.hpp.
#include "rhubarbweir/transport/http.hpp"

#include "rhubarbweir/transport/event_loop.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <deque>
#include <http_parser.h>
#include <optional>
#include <utility>

namespace rhubarbweir {

namespace {

// Maximum size of a request body, in bytes. A configuration with 1,000 routes takes a sixteenth of
// it.
constexpr std::size_t MaxBodyBytes = 4 << 20;
constexpr std::size_t MaxTargetBytes = 4096;
// A connection is not closed to make room for others while its request arrives, for at most this
// long. A large configuration takes several round trips.
constexpr std::chrono::seconds ReceiveTimeout{2};

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 307:
        return "Temporary Redirect";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 413:
        return "Payload Too Large";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

std::string encodeResponse(const HttpResponse &response, bool keepAlive)
{
    std::string text =
        absl::StrCat("HTTP/1.1 ", response.status, " ", reasonPhrase(response.status),
                     "\r\nContent-Type: ", response.contentType,
                     "\r\nContent-Length: ", response.body.size(), "\r\n");
    for (const auto &[name, value] : response.headers)
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    absl::StrAppend(&text, keepAlive ? "" : "Connection: close\r\n", "\r\n", response.body);
    return text;
}

// Server side of a connection. Pipelined requests are handled one at a time, in order.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(ByteStreamPtr byteStream, HttpListener::Handler requestHandler,
                         HttpListener::GivesWay givesWayHook)
        : stream(std::move(byteStream))
        , handler(std::move(requestHandler))
        , givesWay(std::move(givesWayHook))
    {
        http_parser_init(&this->parser, HTTP_REQUEST);
        this->parser.data = this;
    }

    bool isIdle() const
    {
        return !this->isHandlingRequest && this->pendingRequests.empty() && !this->isReceiving();
    }
    // Whether a part of a request has arrived, and the rest is not overdue.
    bool isReceiving() const { return this->completeBy && EventLoop::now() < *this->completeBy; }
    // Whether the handler has a request that gives way, and none waits behind it.
    bool mayGiveWay() const
    {
        return this->isHandlingRequest && this->handledGivesWay && this->pendingRequests.empty();
    }
    TimePoint lastUsedAt() const { return this->usedAt; }
    bool isOpen() const { return this->stream->isOpen(); }
    void close()
    {
        this->isFinished = true;
        this->stream->close();
    }

    void giveWay()
    {
        HttpResponse refusal;
        refusal.status = 503;
        this->answer(refusal, false);
    }

    void start()
    {
        // The stream's hooks keep this object alive until the stream is closed.
        this->stream->onBytes = [self = this->shared_from_this()](std::string_view bytes) {
            self->received(bytes);
        };
        this->stream->onClosed = [self = this->shared_from_this()](bool) {
            self->isFinished = true;
        };
    }

private:
    void received(std::string_view bytes)
    {
        static const http_parser_settings callbacks = makeCallbacks();
        const std::size_t parsed =
            http_parser_execute(&this->parser, &callbacks, bytes.data(), bytes.size());
        if (this->parser.upgrade != 0 || parsed != bytes.size()) {
            this->isFinished = true;
            HttpResponse refusal;
            refusal.status = this->tooLarge ? 413 : 400;
            this->stream->send(encodeResponse(refusal, false));
            this->stream->close();
            return;
        }
        this->handleWaitingRequests();
        this->updateHeld();
    }

    void updateHeld()
    {
        if (!this->isFinished)
            this->stream->holdInput(this->current.body.size() + this->pendingBytes
                                    + this->handledBytes);
    }

    static http_parser_settings makeCallbacks()
    {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = [](http_parser *raw) {
            connectionOf(raw).current = {};
            connectionOf(raw).completeBy = EventLoop::now() + ReceiveTimeout;
            return 0;
        };
        callbacks.on_url = [](http_parser *raw, const char *at, std::size_t length) {
            connectionOf(raw).current.target.append(at, length);
            return connectionOf(raw).current.target.size() > MaxTargetBytes ? 1 : 0;
        };
        callbacks.on_body = [](http_parser *raw, const char *at, std::size_t length) {
            HttpServerConnection &self = connectionOf(raw);
            self.current.body.append(at, length);
            self.tooLarge = self.current.body.size() > MaxBodyBytes;
            return self.tooLarge ? 1 : 0;
        };
        callbacks.on_message_complete = [](http_parser *raw) {
            HttpServerConnection &self = connectionOf(raw);
            self.completeBy.reset();
            self.current.method = http_method_str(static_cast<http_method>(raw->method));
            self.pendingBytes += sizeOf(self.current);
            self.pendingRequests.emplace_back(std::move(self.current),
                                              http_should_keep_alive(raw) != 0);
            return 0;
        };
        return callbacks;
    }

    static HttpServerConnection &connectionOf(http_parser *raw)
    {
        return *static_cast<HttpServerConnection *>(raw->data);
    }

    static std::size_t sizeOf(const HttpRequest &request)
    {
        return sizeof(HttpRequest) + request.target.size() + request.body.size();
    }

    // A loop and not a recursion through answer(): a handler often answers within its call, and a
    // peer decides how many requests wait.
    void handleWaitingRequests()
    {
        if (this->isInHandlingLoop)
            return;
        this->isInHandlingLoop = true;
        while (!this->isHandlingRequest && !this->isFinished && !this->pendingRequests.empty()) {
            auto [request, keepAlive] = std::move(this->pendingRequests.front());
            this->pendingRequests.pop_front();
            this->isHandlingRequest = true;
            this->handledBytes = sizeOf(request);
            this->pendingBytes -= this->handledBytes;
            this->handledGivesWay = this->givesWay && this->givesWay(request);
            this->usedAt = EventLoop::now();
            this->handler(std::move(request),
                          [self = this->shared_from_this(), keep = keepAlive](
                              const HttpResponse &response) { self->answer(response, keep); });
        }
        this->isInHandlingLoop = false;
    }

    void answer(const HttpResponse &response, bool keepAlive)
    {
        if (!this->isHandlingRequest || this->isFinished)
            return;
        this->isHandlingRequest = false;
        this->handledBytes = 0;
        this->stream->send(encodeResponse(response, keepAlive));
        if (!keepAlive) {
            this->isFinished = true;
            this->stream->close();
            return;
        }
        this->handleWaitingRequests();
        this->updateHeld();
    }

    ByteStreamPtr stream;
    HttpListener::Handler handler;
    HttpListener::GivesWay givesWay;
    http_parser parser{};
    HttpRequest current;
    std::deque<std::pair<HttpRequest, bool>> pendingRequests;
    std::size_t pendingBytes = 0;
    // Size of the request that the handler has.
    std::size_t handledBytes = 0;
    TimePoint usedAt = EventLoop::now();
    // While a request is being received.
    std::optional<TimePoint> completeBy;
    bool isHandlingRequest = false;
    bool handledGivesWay = false;
    bool isInHandlingLoop = false;
    bool tooLarge = false;
    bool isFinished = false;
};

// A client call, from connecting to the response.
class HttpClientCall : public std::enable_shared_from_this<HttpClientCall>
{
public:
    explicit HttpClientCall(std::function<void(absl::StatusOr<int>)> doneHook)
        : done(std::move(doneHook))
    {
        http_parser_init(&this->parser, HTTP_RESPONSE);
        this->parser.data = this;
    }

    void start(EventLoop &loop, const HttpCall &call)
    {
        std::string text =
            absl::StrCat(call.method, " ", call.target, " HTTP/1.1\r\nHost: ", call.address,
                         "\r\nConnection: close\r\n");
        for (const auto &[name, value] : call.headers)
            absl::StrAppend(&text, name, ": ", value, "\r\n");
        absl::StrAppend(&text,
                        "Content-Type: application/json\r\nContent-Length: ", call.body.size(),
                        "\r\n\r\n", call.body);
        loop.schedule(call.deadline, [self = this->shared_from_this()] {
            self->finish(absl::DeadlineExceededError("no HTTP response before the deadline"));
        });
        connectStream(loop, call.address, std::min(call.deadline, call.connectDeadline),
                      [self = this->shared_from_this(),
                       text = std::move(text)](absl::StatusOr<ByteStreamPtr> connected) {
                          if (connected.ok())
                              self->connected(*connected, text);
                          else
                              self->finish(
                                  absl::FailedPreconditionError(connected.status().ToString()));
                      });
    }

private:
    void connected(const ByteStreamPtr &byteStream, const std::string &text)
    {
        if (!this->done) {
            byteStream->abort();
            return;
        }
        this->stream = byteStream;
        this->stream->onBytes = [self = this->shared_from_this()](std::string_view bytes) {
            self->received(bytes);
        };
        this->stream->onClosed = [self = this->shared_from_this()](bool) {
            self->finish(absl::UnavailableError("connection lost"));
        };
        this->stream->send(text);
    }

    void received(std::string_view bytes)
    {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_message_complete = [](http_parser *raw) {
            static_cast<HttpClientCall *>(raw->data)->isComplete = true;
            return 0;
        };
        const std::size_t parsed =
            http_parser_execute(&this->parser, &callbacks, bytes.data(), bytes.size());
        if (this->isComplete)
            this->finish(static_cast<int>(this->parser.status_code));
        else if (parsed != bytes.size())
            this->finish(absl::DataLossError("malformed HTTP response"));
    }

    void finish(absl::StatusOr<int> result)
    {
        const auto hook = std::exchange(this->done, nullptr);
        if (this->stream)
            std::exchange(this->stream, nullptr)->abort();
        if (hook)
            hook(std::move(result));
    }

    std::function<void(absl::StatusOr<int>)> done;
    ByteStreamPtr stream;
    http_parser parser{};
    bool isComplete = false;
};

} // namespace

// Connections of a listener, some of which may have been closed.
struct HttpListener::Connections
{
    std::vector<std::weak_ptr<HttpServerConnection>> all;

    void add(const std::shared_ptr<HttpServerConnection> &connection)
    {
        const auto isGone = [](const auto &each) {
            return each.expired();
        };
        this->all.erase(std::remove_if(this->all.begin(), this->all.end(), isGone),
                        this->all.end());
        this->all.push_back(connection);
    }

    // The connection that was used longest ago of those that `mayClose`; null if there is none.
    std::shared_ptr<HttpServerConnection>
    longestUnused(const std::function<bool(const HttpServerConnection &)> &mayClose) const
    {
        std::shared_ptr<HttpServerConnection> longest;
        for (const auto &each : this->all) {
            const auto connection = each.lock();
            const bool isCandidate = connection && connection->isOpen() && mayClose(*connection);
            if (isCandidate && (!longest || connection->lastUsedAt() < longest->lastUsedAt()))
                longest = connection;
        }
        return longest;
    }

    // False if the handler has a request of every connection that does not give way.
    bool makeRoom()
    {
        const auto idle =
            this->longestUnused([](const HttpServerConnection &each) { return each.isIdle(); });
        if (idle) {
            idle->close();
            return true;
        }
        const auto waiting =
            this->longestUnused([](const HttpServerConnection &each) { return each.mayGiveWay(); });
        if (waiting) {
            waiting->giveWay();
            return true;
        }
        const auto receiving = this->longestUnused(
            [](const HttpServerConnection &each) { return each.isReceiving(); });
        if (receiving)
            receiving->close();
        return receiving != nullptr;
    }
};

HttpListener::HttpListener(EventLoop &loop, const std::string &address, std::size_t maxConnections,
                           Handler requestHandler, GivesWay givesWayHook)
    : handler(std::move(requestHandler))
    , givesWay(std::move(givesWayHook))
    , connections(std::make_shared<Connections>())
    , listener(
          loop, address, maxConnections,
          [this](const ByteStreamPtr &stream) { this->accepted(stream); },
          [known = this->connections] { return known->makeRoom(); })
{
}

void HttpListener::accepted(const ByteStreamPtr &stream)
{
    auto connection = std::make_shared<HttpServerConnection>(stream, this->handler, this->givesWay);
    this->connections->add(connection);
    connection->start();
}

void callHttp(EventLoop &loop, const HttpCall &call, std::function<void(absl::StatusOr<int>)> done)
{
    std::make_shared<HttpClientCall>(std::move(done))->start(loop, call);
}

} // namespace rhubarbweir
