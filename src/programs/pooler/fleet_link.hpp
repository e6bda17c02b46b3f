// A pooler's connection to the leading control instance: renews the lease and receives views.
// Follows redirects, and switches to another control instance when the current one is silent.
#pragma once

#include "programs/support/seed_reader.hpp"
#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/coordination/sessions/leader_monitor.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbweir {

class EventLoop;

struct FleetLinkHooks
{
    // Returns the renewal to send; the link sets its sequences.
    std::function<RenewLease()> renewal;
    // `sentAt` is when the answered renewal was sent; empty for an unsolicited message.
    std::function<void(const FleetLease &, std::optional<TimePoint> sentAt)> received;
    // Positions to report after an answer; may be empty.
    std::function<std::vector<GroupPosition>()> positions;
    // Returns the request to send on requestTokens(); may be empty, as the next two.
    std::function<std::optional<TokenRequest>()> tokenRequest;
    std::function<void(const TokenAnswer &)> tokensAnswered;
    // Reports of tokens so far will not be answered; the next one goes to another instance.
    // `isRefused` if the instance does not lead, and has counted none.
    std::function<void(bool isRefused)> tokensUnanswered;
    // May be empty.
    std::function<void(const AnnouncementAnswers &)> announcementsAnswered;
    // An observer gets answers without a lease.
    bool isObserver = false;
};

class FleetLink
{
public:
    FleetLink(EventLoop &loop, std::vector<std::string> seeds, FleetLinkHooks hooks);

    void start();
    // Sets the internal addresses of control instances from a view. They are tried before the
    // seeds.
    void setControls(const std::vector<std::string> &controls);
    // Replaces the seeds after the settings were reloaded.
    void setSeeds(std::vector<std::string> seeds);
    // Keeps this link's seeds up to date; the link has to outlive their user.
    SeedReader::Hooks seedHooks();
    // Sends a renewal at once.
    void renewNow();
    // Sends FleetLinkHooks::tokenRequest() if connected to a leader.
    void requestTokens();
    // Sends the batch if connected to a leader.
    void sendAnnouncements(const AnnouncementBatch &batch);
    // Connects to the leader at the internal address, unless it is the connected instance.
    void follow(const std::string &leader);
    // Internal address of the connected instance while it answers as the leader; else empty.
    std::string leader() const { return this->isAnswered ? this->address : std::string(); }

private:
    void renewOrReconnect();
    void connectNext();
    void connect(const std::string &address);
    void planAttempt(Duration delay);
    void connected(const ConnectionPtr &connection, const std::string &address);
    void receive(const Message &message);
    void receivePacked(const FleetLease &lease);
    void reportPositions();
    void forgetTokenReports(bool isRefused = false);
    void tokensReported();
    void watchAnswers();
    void redirect(const std::string &leader);
    void drop(const std::string &cause);
    void retryLater();
    Duration attemptInterval() const;
    std::vector<std::string> knownControls() const;

    EventLoop &loop;
    WebSocketClient client;
    std::vector<std::string> seeds;
    std::vector<std::string> viewControls;
    FleetLinkHooks hooks;
    ConnectionPtr connection;
    std::string address;
    std::size_t nextControl = 0;
    // Left for its silence, until a leader has answered; empty otherwise. The next attempt passes
    // over it, and redirections to it are followed only after a few polls.
    std::string lostControl;
    // Addresses to which connections are being opened.
    std::set<std::string> attempts;
    // When the next attempt begins unless one has succeeded by then; max() if none is planned.
    TimePoint nextAttemptAt = TimePoint::max();
    // Whether the connected instance has answered a renewal.
    bool isAnswered = false;
    // Consecutive attempts without an answer of a leader.
    unsigned failures = 0;
    std::mt19937_64 random;
    std::uint64_t sequence = 0;
    // Sequence of the last answer received on the connection.
    std::uint64_t answered = 0;
    // Send times of unanswered renewals, by sequence.
    std::map<std::uint64_t, TimePoint> sentAt;
    TimePoint lastMessageAt;
    // Of answers to reports of tokens. Its alarm is checked by at most one timer.
    LeaderMonitor monitor;
    bool isWatching = false;
    // Poolers of the fleet, as the last answer told; 0 before.
    std::uint32_t poolers = 0;
    // Consecutive answers without the address of another instance that leads.
    unsigned leaderlessPolls = 0;
};

} // namespace rhubarbweir
