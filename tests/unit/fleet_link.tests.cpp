// Tests of a pooler's connection to control over loopback: instances that accept connections and
// never complete a handshake, as one behind a partition or gone for good, beside one that serves.
#include "programs/pooler/fleet_link.hpp"

#include "rhubarbweir/transport/event_loop.hpp"
#include "unit/support/loopback_socket.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a pooler that serves an old configuration after a cut, as it waits for instances
// that are gone.
Test(fleet_link, return_beside_dead_instances, .timeout = 60,
     .description = "A pooler returns to control soon after an instance can be reached again")
{
    // A change of configuration has to be in force after 3 s.
    constexpr milliseconds limit{2500};
    constexpr int rounds = 6;
    constexpr int port = 7431;
    // Apart from other runs of this test.
    const std::string network = "127.43." + std::to_string(::getpid() % 250) + ".";
    const std::vector<std::string> hosts = {network + "1", network + "2", network + "3"};
    const auto addressOf = [](const std::string &host) {
        return host + ":" + std::to_string(port);
    };
    // Their queues take connections that nobody accepts.
    cr_assert_geq(test::LoopbackSocket::listenAt(hosts[0], port), 0);
    cr_assert_geq(test::LoopbackSocket::listenAt(hosts[1], port), 0);
    const std::string address = addressOf(hosts[2]);
    for (int round = 0; round < rounds; ++round) {
        EventLoop loop;
        bool isReached = false;
        FleetLinkHooks hooks;
        hooks.renewal = [] {
            return RenewLease();
        };
        hooks.received = [](const FleetLease &, std::optional<TimePoint>) {
        };
        FleetLink link(loop, {addressOf(hosts[0]), addressOf(hosts[1]), address}, hooks);
        ConnectionPtr accepted;
        ServerHooks serverHooks;
        serverHooks.accepted = [&](const ConnectionPtr &connection, Subprotocol) {
            accepted = connection;
            connection->onMessage = [&](const Message &) {
                isReached = true;
                loop.stop();
            };
        };
        serverHooks.get = [](const std::string &) {
            return HttpReply();
        };
        serverHooks.fault = [](CloseReason, const std::string &, const std::string &) {
        };
        WebSocketServer server(loop, address, {Subprotocol::Control}, 16, serverHooks);
        link.start();
        // At different times in the link's attempts.
        const TimePoint backAt = EventLoop::now() + milliseconds(3500 + 400 * round);
        loop.schedule(backAt, [&server] { cr_assert(server.listen().ok()); });
        loop.schedule(backAt + limit, [&loop] { loop.stop(); });
        loop.run();
        cr_assert(isReached, "round %d", round);
    }
}
