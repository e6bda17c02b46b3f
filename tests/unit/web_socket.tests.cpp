// Tests of the WebSocket client's deadlines over loopback.
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

// A listener whose queue of new connections is full: further connects get no answer.
class DeafListener
{
public:
    DeafListener()
        : acceptor(this->context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0), true)
    {
        this->acceptor.listen(0);
        for (int filler = 0; filler < 4; ++filler) {
            tcp::socket &socket = this->fillers.emplace_back(this->context);
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
    std::list<tcp::socket> fillers;
};

} // namespace

Test(web_socket, silent_connect,
     .description = "An attempt to connect ends at its deadline when nobody answers")
{
    const DeafListener listener;
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
    cr_assert(result.has_value(), "no result in two seconds");
    cr_assert(absl::IsDeadlineExceeded(*result));
    cr_assert(EventLoop::now() - start < milliseconds(1500));
}

Test(web_socket, refused_connect, .description = "A refused connect is told at once, and only once")
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
