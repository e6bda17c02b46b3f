// Tests of the WebSocket client's connect deadlines over loopback.
#include "rhubarbweir/transport/web_socket.hpp"

#include "rhubarbweir/transport/event_loop.hpp"

#include <absl/strings/str_cat.h>
#include <asio.hpp>
#include <criterion/criterion.h>

#include <list>
#include <optional>

using namespace rhubarbweir;

namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

// A listener whose backlog is full, so that further connection attempts get no response.
class UnresponsiveListener
{
public:
    UnresponsiveListener()
        : acceptor(this->context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0), true)
    {
        this->acceptor.listen(0);
        for (int index = 0; index < 4; ++index) {
            tcp::socket &socket = this->backlogSockets.emplace_back(this->context);
            socket.async_connect(this->acceptor.local_endpoint(), [](const asio::error_code &) {});
        }
        this->context.poll();
    }

    std::string address() const
    {
        return absl::StrCat("127.0.0.1:", this->acceptor.local_endpoint().port());
    }

private:
    asio::io_context context;
    tcp::acceptor acceptor;
    std::list<tcp::socket> backlogSockets;
};

} // namespace

Test(web_socket, silent_connect,
     .description = "A connection attempt without a response fails at its deadline")
{
    const UnresponsiveListener listener;
    EventLoop loop;
    WebSocketClient client(loop);
    std::optional<absl::Status> result;
    const TimePoint start = EventLoop::now();
    client.connect(listener.address(), Subprotocol::Control, start + milliseconds(200),
                   [&](const absl::StatusOr<ConnectionPtr> &connected) {
                       result = connected.status();
                       loop.stop();
                   });
    loop.schedule(start + milliseconds(2000), [&loop] { loop.stop(); });
    loop.run();
    cr_assert(result.has_value(), "no result within two seconds");
    cr_assert(absl::IsDeadlineExceeded(*result));
    cr_assert(EventLoop::now() - start < milliseconds(1500));
}

Test(web_socket, refused_connect,
     .description = "A refused connection is reported immediately and only once")
{
    EventLoop loop;
    WebSocketClient client(loop);
    int calls = 0;
    const TimePoint start = EventLoop::now();
    client.connect("127.0.0.1:1", Subprotocol::Control, start + milliseconds(100),
                   [&](const absl::StatusOr<ConnectionPtr> &connected) {
                       ++calls;
                       cr_assert(absl::IsUnavailable(connected.status()));
                   });
    loop.schedule(start + milliseconds(400), [&loop] { loop.stop(); });
    loop.run();
    cr_assert_eq(calls, 1);
}
