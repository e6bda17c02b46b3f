// Sockets and timers of a stand-in database: serves proxies, replicates to the other databases of
// its group, announces itself to the control instances. Runs on one event loop.
#pragma once

#include "programs/standin/database.hpp"
#include "programs/standin/database_report.hpp"
#include "programs/standin/journal.hpp"
#include "programs/support/standin_program_settings.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <map>
#include <memory>
#include <string>

namespace rhubarbweir {

class StandinServer
{
public:
    StandinServer(EventLoop &eventLoop, StandinProgramSettings standinSettings);

    // Has to succeed before start(): the port keeps other processes from the journal.
    // Errors: those of WebSocketServer::listen().
    absl::Status listen() { return this->server.listen(); }
    // Replays the journal, then announces the database.
    // Errors: those of Journal::open().
    absl::Status start();
    // Writes the last report.
    void stop();

private:
    // An outgoing connection that is re-established after a loss.
    struct Link
    {
        std::string address;
        ConnectionPtr connection;
        bool isConnecting = false;
    };

    void accepted(const ConnectionPtr &connection);
    void receiveOnTargetPort(std::uint64_t number, const ConnectionPtr &connection,
                             const Message &message);
    HttpReply handleGet(const std::string &path);

    void connectToControl(std::size_t index);
    void receiveFromControl(const ConnectionPtr &connection, const Message &message);
    void announce();

    void connectToMember(const TargetId &member, const std::string &address);
    void receiveFromMember(const Message &message);
    void sendToMember(const TargetId &member, const Message &message);
    void follow(const FollowPrimary &message);

    // Performs due work, schedules the push of a changed status and the next wake-up.
    void runDueWork();
    void pushStatus();
    void writeReport();

    EventLoop &loop;
    StandinProgramSettings settings;
    Journal journal;
    Database database;
    DatabaseReport report;
    WebSocketServer server;
    WebSocketClient client;
    std::map<std::uint64_t, ConnectionPtr> connections;
    std::uint64_t lastConnection = 0;
    std::vector<Link> controls;
    std::map<TargetId, Link> members;
    TargetStatus publishedStatus;
    bool isPushPlanned = false;
    // No status is pushed before this time.
    TimePoint nextPushAt{};
    // The earliest scheduled wake-up; TimePoint::max() if there is none.
    TimePoint wakeAt = TimePoint::max();
};

} // namespace rhubarbweir
