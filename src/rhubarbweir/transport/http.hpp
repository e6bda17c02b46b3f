// HTTP/1.1 over byte streams: a small server and single calls.
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
    // Path and query as received.
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

// Answers exactly once, at any time; ignored when the connection is gone.
using HttpAnswer = std::function<void(HttpResponse)>;

class HttpListener
{
public:
    using Handler = std::function<void(HttpRequest, HttpAnswer)>;

    HttpListener(EventLoop &loop, const std::string &address, std::size_t maxConnections,
                 Handler handler);

    // Errors: those of StreamListener::listen.
    absl::Status listen() { return this->listener.listen(); }
    void stop() { this->listener.stop(); }

private:
    Handler handler;
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
};

// Makes one call on a connection of its own. `done` gets the status, or why there is none.
void callHttp(EventLoop &loop, const HttpCall &call, std::function<void(absl::StatusOr<int>)> done);

} // namespace rhubarbweir
