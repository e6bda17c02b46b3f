// Sockets and timers of one stand-in database: serves proxies, replicates to the other
// databases of its group, announces itself to control. Runs on one event loop.
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

    // Restores the journal, then listens and announces.
    // Errors: those of Journal::open() and WebSocketServer::listen().
    absl::Status start();
    // Writes the last report.
    void stop();

private:
    // An outgoing connection that is dialled again after it is lost.
    struct Link
    {
        std::string address;
        ConnectionPtr connection;
        bool isDialling = false;
    };

    void accepted(const ConnectionPtr &connection);
    void receiveOnTargetPort(std::uint64_t number, const ConnectionPtr &connection,
                             const Message &message);
    HttpReply answerGet(const std::string &path);

    void dialControl(std::size_t index);
    void receiveFromControl(const ConnectionPtr &connection, const Message &message);
    void announce();

    void dialMember(const TargetId &member, const std::string &address);
    void receiveFromMember(const Message &message);
    void sendToMember(const TargetId &member, const Message &message);
    void follow(const FollowPrimary &message);

    // Runs what is due, publishes a changed status and plans the next wake-up.
    void settle();
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
    TargetStatus published;
    bool isPushPlanned = false;
    // No status is pushed before.
    TimePoint nextPushAt{};
    // The earliest wake-up that is planned; TimePoint::max() when there is none.
    TimePoint wakeAt = TimePoint::max();
};

} // namespace rhubarbweir
