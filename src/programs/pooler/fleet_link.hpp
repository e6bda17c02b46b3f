// A pooler's connection to the control instance that leads: renews the lease and receives views.
// Follows redirects and tries the other control instances when the one it has falls silent.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbweir {

class EventLoop;

struct FleetLinkHooks
{
    // The renewal to send; the link fills in its sequence.
    std::function<RenewLease()> renewal;
    // `sentAt` is when the renewal that this answers was sent; absent for an unasked message.
    std::function<void(const FleetLease &, std::optional<TimePoint> sentAt)> received;
};

class FleetLink
{
public:
    FleetLink(EventLoop &loop, std::vector<std::string> seeds, FleetLinkHooks hooks);

    void start();
    // Adds internal addresses of control instances that a view named.
    void learn(const std::vector<std::string> &controls);
    // Seeds of settings that were read again.
    void setSeeds(std::vector<std::string> seeds);
    // Sends a renewal at once.
    void renewNow();

private:
    void tick();
    void connectNext();
    void connect(const std::string &address);
    void connected(const ConnectionPtr &connection, const std::string &address);
    void receive(const Message &message);
    void redirect(const std::string &leader);
    void drop(const std::string &cause);
    std::vector<std::string> knownControls() const;

    EventLoop &loop;
    WebSocketClient client;
    std::vector<std::string> seeds;
    std::vector<std::string> learned;
    FleetLinkHooks hooks;
    ConnectionPtr connection;
    std::string address;
    std::size_t nextControl = 0;
    std::uint64_t attempt = 0;
    bool isConnecting = false;
    std::uint64_t sequence = 0;
    // Renewals that were not answered, by sequence.
    std::map<std::uint64_t, TimePoint> sentAt;
    TimePoint heardAt;
    // Answers in a row that named no leader.
    unsigned leaderlessPolls = 0;
};

} // namespace rhubarbweir
