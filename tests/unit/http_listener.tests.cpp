// Tests of the HTTP listener's limit on connections, over loopback.
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/http.hpp"

#include <absl/strings/str_cat.h>
#include <asio.hpp>
#include <criterion/criterion.h>

using namespace rhubarbweir;

namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

std::string freeAddress()
{
    asio::io_context context;
    const tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return absl::StrCat("127.0.0.1:", acceptor.local_endpoint().port());
}

} // namespace

Test(http_listener, idle_connections_give_way,
     .description = "Connections that are kept open without a request do not keep others out")
{
    EventLoop loop;
    const std::string address = freeAddress();
    HttpListener listener(loop, address, 4, [](const HttpRequest &, const HttpResponder &respond) {
        HttpResponse response;
        response.status = 200;
        respond(response);
    });
    cr_assert(listener.listen().ok());
    std::vector<ByteStreamPtr> kept;
    for (int index = 0; index < 4; ++index)
        connectStream(loop, address, EventLoop::now() + std::chrono::seconds(2),
                      [&kept](const absl::StatusOr<ByteStreamPtr> &stream) {
                          (*stream)->send("GET / HTTP/1.1\r\n\r\n");
                          kept.push_back(*stream);
                      });
    absl::StatusOr<int> status = absl::UnknownError("not called");
    loop.schedule(EventLoop::now() + milliseconds(300), [&] {
        HttpCall call;
        call.address = address;
        call.target = "/";
        call.deadline = EventLoop::now() + std::chrono::seconds(2);
        callHttp(loop, call, [&](absl::StatusOr<int> result) {
            status = std::move(result);
            loop.stop();
        });
    });
    loop.run();
    cr_assert_eq(kept.size(), 4);
    cr_assert(status.ok(), "%s", status.status().ToString().c_str());
    cr_assert_eq(*status, 200);
    for (const ByteStreamPtr &stream : kept)
        stream->abort();
}

Test(http_listener, waiting_announcements_give_way,
     .description = "Announcements that all wait for a commit do not keep an operator's call out")
{
    EventLoop loop;
    const std::string address = freeAddress();
    std::vector<HttpResponder> waiting;
    HttpListener listener(
        loop, address, 4,
        [&waiting](const HttpRequest &request, const HttpResponder &respond) {
            HttpResponse response;
            response.status = 200;
            if (request.target == "/announce")
                waiting.push_back(respond);
            else
                respond(response);
        },
        [](const HttpRequest &request) { return request.target == "/announce"; });
    cr_assert(listener.listen().ok());
    std::vector<int> announced;
    const auto call = [&loop, &address](const std::string &target,
                                        std::function<void(absl::StatusOr<int>)> done) {
        HttpCall made;
        made.address = address;
        made.target = target;
        made.deadline = EventLoop::now() + std::chrono::seconds(2);
        callHttp(loop, made, std::move(done));
    };
    for (int index = 0; index < 4; ++index)
        call("/announce", [&announced](const absl::StatusOr<int> &result) {
            announced.push_back(result.value_or(0));
        });
    absl::StatusOr<int> status = absl::UnknownError("not called");
    loop.schedule(EventLoop::now() + milliseconds(300), [&] {
        call("/change", [&](absl::StatusOr<int> result) {
            status = std::move(result);
            loop.schedule(EventLoop::now() + milliseconds(100), [&loop] { loop.stop(); });
        });
    });
    loop.run();
    cr_assert_eq(waiting.size(), 4);
    cr_assert(status.ok(), "%s", status.status().ToString().c_str());
    cr_assert_eq(*status, 200);
    cr_assert_eq(announced.size(), 1);
    cr_assert_eq(announced.front(), 503);
}

Test(http_listener, partial_requests_are_kept,
     .description = "Newer connections do not end a call whose body is still arriving")
{
    EventLoop loop;
    const std::string address = freeAddress();
    std::size_t received = 0;
    HttpListener listener(loop, address, 4,
                          [&received](const HttpRequest &request, const HttpResponder &respond) {
                              received += request.body.size();
                              HttpResponse response;
                              response.status = 200;
                              respond(response);
                          });
    cr_assert(listener.listen().ok());
    std::vector<ByteStreamPtr> streams;
    const auto connect = [&](const std::string &text) {
        connectStream(loop, address, EventLoop::now() + std::chrono::seconds(2),
                      [&streams, text](const absl::StatusOr<ByteStreamPtr> &stream) {
                          (*stream)->send(text);
                          streams.push_back(*stream);
                      });
    };
    connect("POST / HTTP/1.1\r\nContent-Length: 6\r\n\r\nabc");
    loop.schedule(EventLoop::now() + milliseconds(100), [&] {
        for (int index = 0; index < 8; ++index)
            connect("GET / HTTP/1.1\r\n\r\n");
    });
    loop.schedule(EventLoop::now() + milliseconds(300), [&] { streams.front()->send("def"); });
    loop.schedule(EventLoop::now() + milliseconds(500), [&loop] { loop.stop(); });
    loop.run();
    cr_assert_eq(received, 6);
    for (const ByteStreamPtr &stream : streams)
        stream->abort();
}
