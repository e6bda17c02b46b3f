// HTTP/1.1 over byte streams: a small server, and client calls that use one connection each.
#pragma once

#include "rhubarbweir/transport/byte_stream.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbweir {

struct HttpRequest
{
    std::string method;
    // Path and query, unmodified.
    std::string target;
    std::string body;
};

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpResponse
{
    int status = 404;
    std::string contentType = "application/json";
    std::string body;
    HttpHeaders headers;
};

// Sends the response to a request. Must be called exactly once, immediately or later. Has no effect
// if the connection has been closed.
using HttpResponder = std::function<void(HttpResponse)>;

class HttpListener
{
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;
    // Whether a request is answered 503 to make room for another connection.
    using GivesWay = std::function<bool(const HttpRequest &)>;

    // At `maxConnections` a new connection takes the place of the one that has been without a
    // request for longest, or else of the one that has waited longest with a request that gives
    // way, or else of one whose request has not arrived completely. It is refused if there is none.
    HttpListener(EventLoop &loop, const std::string &address, std::size_t maxConnections,
                 Handler handler, GivesWay givesWay = {});

    // Errors: the same as for StreamListener::listen().
    absl::Status listen() { return this->listener.listen(); }
    void stop() { this->listener.stop(); }

private:
    struct Connections;

    void accepted(const ByteStreamPtr &stream);

    Handler handler;
    GivesWay givesWay;
    std::shared_ptr<Connections> connections;
    StreamListener listener;
};

struct HttpCall
{
    std::string address;
    std::string method = "POST";
    std::string target;
    HttpHeaders headers;
    std::string body;
    TimePoint deadline;
    // The connection has to be open by then.
    TimePoint connectDeadline = TimePoint::max();
};

// Sends a request on a new connection. `done` receives the HTTP status code, or an error:
// FailedPrecondition if there is no connection, so that nothing was sent, DeadlineExceeded without
// a response at the deadline, Unavailable if the connection is lost, DataLoss for a malformed
// response.
void callHttp(EventLoop &loop, const HttpCall &call, std::function<void(absl::StatusOr<int>)> done);

} // namespace rhubarbweir
