// A group of stand-in databases that replicate, announce themselves to the control instances and
// follow the promotions that the platform is asked for.
#pragma once

#include "standin_target.hpp"
#include "unit/support/http_call.hpp"
#include "unit/support/poll_server.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rhubarbweir::test {

class StandinGroup
{
public:
    using Clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    static constexpr int TargetPort = 8080;
    static constexpr milliseconds HeartbeatInterval{1200};
    // Each so many heartbeats another writer sends an entry as well.
    static constexpr unsigned OddEntryInterval = 4;
    static constexpr milliseconds CallTimeout{1000};
    static constexpr milliseconds PromotionDelay{300};
    // How long a former primary leads on once it reaches the new one.
    static constexpr milliseconds DemotionDelay{1000};

    // `controlHosts` serve the control port; `hosts` are the addresses of the databases. `teams`
    // judges what these are told, if it is not null.
    StandinGroup(PollServer &pollServer, std::string groupName,
                 const std::vector<std::string> &hosts, std::vector<std::string> controlHosts,
                 int control, SoakTeams *teams = nullptr)
        : server(pollServer)
        , name(std::move(groupName))
        , controls(std::move(controlHosts))
        , controlPort(control)
    {
        const std::lock_guard<std::mutex> lock(this->server.mutex);
        for (std::size_t number = 0; number < hosts.size(); ++number) {
            auto target = std::make_unique<StandinTarget>();
            target->group = this->name;
            target->id = "i-" + this->name + "-" + std::to_string(number);
            target->host = hosts[number];
            target->zone = "zone-" + std::string(1, static_cast<char>('a' + number % 3));
            target->isPrimary = number == 0;
            target->teams = teams;
            this->start(*target);
            this->targets.push_back(std::move(target));
        }
        for (const auto &target : this->targets)
            this->beats.emplace_back([this, &each = *target] { this->beat(each); });
    }
    StandinGroup(const StandinGroup &) = delete;
    StandinGroup &operator=(const StandinGroup &) = delete;
    ~StandinGroup()
    {
        this->isStopping = true;
        for (std::thread &beat : this->beats)
            beat.join();
        const std::lock_guard<std::mutex> lock(this->server.mutex);
        for (const auto &target : this->targets) {
            if (target->isRunning)
                this->server.close(target->listener);
        }
    }

    // All public functions lock the server's mutex, except replicate() and promote(), which are
    // called under it.

    // Replication and what is due; called at every turn of the server.
    void replicate()
    {
        const auto now = Clock::now();
        if (this->promotionDue && now >= *this->promotionDue)
            this->lead(*this->promoted);
        const StandinTarget *newest = this->newestPrimary();
        for (const auto &target : this->targets) {
            if (newest == nullptr || target.get() == newest || !target->isRunning || target->isDark
                || target->pausedTerm > newest->term)
                continue;
            if (target->isPrimary) {
                if (!this->demotionDue)
                    this->demotionDue = now + DemotionDelay;
                if (now < *this->demotionDue)
                    continue;
                this->demotionDue.reset();
                target->isPrimary = false;
            }
            if (!newest->log.holdsAllOf(target->log))
                ++this->lossCount;
            target->term = newest->term;
            target->pausedTerm = 0;
            target->log.follow(newest->log);
        }
    }

    // The status of POST /promotion.
    int promote(const std::string &id)
    {
        for (const auto &target : this->targets) {
            if (target->id != id || !target->isRunning || target->isDark)
                continue;
            if (target.get() != this->newestPrimary() && !this->promotionDue) {
                this->promotionDue = Clock::now() + PromotionDelay;
                this->promoted = target.get();
            }
            return 200;
        }
        return 409;
    }

    // Ends a database; its connections are reset.
    void crash(std::size_t number)
    {
        const std::lock_guard<std::mutex> lock(this->server.mutex);
        StandinTarget &target = *this->targets[number];
        if (!std::exchange(target.isRunning, false))
            return;
        this->server.close(target.listener);
    }

    // A crashed database comes back, with its log or with nothing. Without its log it waits for a
    // primary to follow.
    void restart(std::size_t number, bool isEmpty)
    {
        const std::lock_guard<std::mutex> lock(this->server.mutex);
        StandinTarget &target = *this->targets[number];
        if (target.isRunning)
            return;
        const StandinTarget *newest = this->newestPrimary();
        if (isEmpty) {
            this->lossCount += target.isPrimary ? 1 : 0;
            target.log = StandinLog();
        }
        if (isEmpty || (newest != nullptr && newest->term > target.term))
            target.isPrimary = false;
        this->start(target);
    }

    void setDark(std::size_t number, bool isDark)
    {
        const std::lock_guard<std::mutex> lock(this->server.mutex);
        StandinTarget &target = *this->targets[number];
        target.isDark = isDark && target.isRunning;
        this->server.setDark(target.listener, target.isDark);
    }

    void resetConnections(std::size_t number)
    {
        const std::lock_guard<std::mutex> lock(this->server.mutex);
        if (this->targets[number]->isRunning)
            this->server.resetPeers(this->targets[number]->listener);
    }

    // Changes whenever commits may have been lost.
    unsigned losses()
    {
        const std::lock_guard<std::mutex> lock(this->server.mutex);
        return this->lossCount;
    }

    // Whether the newest primary has this value.
    bool leadsWith(const std::string &item, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(this->server.mutex);
        const StandinTarget *newest = this->newestPrimary();
        return newest != nullptr && newest->log.value(item) == value;
    }

    const std::string &groupName() const { return this->name; }
    std::size_t size() const { return this->targets.size(); }

private:
    void start(StandinTarget &target)
    {
        using std::chrono::system_clock;
        target.listener =
            this->server.listen(target.host, TargetPort, [this, &target](PollServer::Peer &peer) {
                return this->serve(target, peer);
            });
        target.isRunning = target.listener >= 0;
        target.isDark = false;
        target.pausedTerm = 0;
        target.sequence = 0;
        const auto now =
            std::chrono::duration_cast<milliseconds>(system_clock::now().time_since_epoch());
        target.born = std::max<long long>(target.born + 1, now.count());
    }

    bool serve(StandinTarget &target, PollServer::Peer &peer)
    {
        if (peer.state == nullptr)
            peer.state = std::make_shared<StandinTarget::Connection>();
        auto &connection = *std::static_pointer_cast<StandinTarget::Connection>(peer.state);
        if (peer.input.rfind("GET ", 0) == 0) {
            if (peer.input.find("\r\n\r\n") == std::string::npos)
                return true;
            peer.output +=
                "HTTP/1.1 200 OK\r\nX-Instance-Id: " + target.id + "\r\nContent-Length: 0\r\n\r\n";
            peer.input.clear();
            return true;
        }
        for (std::size_t end = 0; (end = peer.input.find("\r\n")) != std::string::npos;) {
            const std::string line = peer.input.substr(0, end);
            peer.input.erase(0, end + 2);
            const int open = this->server.peersOf(target.listener);
            if (!target.answer(connection, line, peer.output, open))
                return false;
        }
        return true;
    }

    void lead(StandinTarget &target)
    {
        this->promotionDue.reset();
        if (!target.isRunning || target.isDark)
            return;
        unsigned long newest = 0;
        for (const auto &each : this->targets) {
            newest = std::max(newest, each->term);
            if (each->isPrimary && !target.log.holdsAllOf(each->log))
                ++this->lossCount;
        }
        target.term = newest + 1;
        target.pausedTerm = 0;
        target.isPrimary = true;
    }

    StandinTarget *newestPrimary() const
    {
        StandinTarget *newest = nullptr;
        for (const auto &target : this->targets) {
            if (target->isPrimary && target->isRunning && !target->isDark
                && (newest == nullptr || newest->term < target->term))
                newest = target.get();
        }
        return newest;
    }

    // An entry of another writer, or a Leave of a former start. None of them names a target.
    void sendOddEntry(const std::string &id, nlohmann::json body, unsigned kind,
                      const std::string &control) const
    {
        std::string path = "/api/Instances.Heartbeat/" + id;
        body["born"] = body["born"].get<std::int64_t>() + 1000;
        switch (kind % 6) {
        case 0:
            path += "-other";
            body["service"] = "unnamed";
            break;
        case 1:
            body["service"] = "unnamed";
            body["sequence"] = 1000000;
            break;
        case 2:
            path += "-other";
            body.erase("version");
            break;
        case 3:
            body["cold_remaining_ms"] = "0";
            body["sequence"] = 1000000;
            break;
        case 4:
            path = "/api/Instances.Leave/" + id;
            body["born"] = body["born"].get<std::int64_t>() - 1001;
            break;
        default:
            HttpCall("POST", path, "{\"service\":").send(control, this->controlPort, CallTimeout);
            return;
        }
        HttpCall("POST", path, body.dump()).send(control, this->controlPort, CallTimeout);
    }

    void beat(StandinTarget &target)
    {
        std::string preferred;
        std::size_t next = 0;
        unsigned beatCount = 0;
        while (!this->isStopping) {
            nlohmann::json body;
            bool isSilent = false;
            bool isPrimary = false;
            {
                const std::lock_guard<std::mutex> lock(this->server.mutex);
                isSilent = !target.isRunning || target.isDark;
                isPrimary = target.isPrimary;
                body = {{"service", this->name},
                        {"address", target.host + ":" + std::to_string(TargetPort)},
                        {"zone", target.zone},
                        {"version", "v1"},
                        {"slots", 3},
                        {"state", "ready"},
                        {"cold_remaining_ms", 0},
                        {"database_role", isPrimary ? "primary" : "replica"},
                        {"sequence", ++target.sequence},
                        {"born", target.born}};
            }
            if (++beatCount % OddEntryInterval == 0)
                this->sendOddEntry(target.id, body, beatCount / OddEntryInterval,
                                   this->controls[next]);
            for (std::size_t tries = 0; !isSilent && tries < this->controls.size(); ++tries) {
                HttpCall call("POST", "/api/Instances.Heartbeat/" + target.id, body.dump());
                const std::string &host = preferred.empty() ? this->controls[next] : preferred;
                const int status = call.send(host, this->controlPort, CallTimeout);
                preferred.clear();
                if (status / 100 == 2) {
                    const auto answer = nlohmann::json::parse(call.content(), nullptr, false);
                    const std::string address =
                        answer.is_object() ? answer.value("heartbeat_address", "") : "";
                    preferred = address.substr(0, address.find(':'));
                    break;
                }
                next = (next + 1) % this->controls.size();
            }
            // A change of the role is told at once.
            const auto until = Clock::now() + HeartbeatInterval;
            bool hasChanged = false;
            while (!this->isStopping && !hasChanged && Clock::now() < until) {
                std::this_thread::sleep_for(milliseconds(25));
                const std::lock_guard<std::mutex> lock(this->server.mutex);
                hasChanged = target.isRunning && target.isPrimary != isPrimary;
            }
        }
    }

    PollServer &server;
    std::string name;
    std::vector<std::string> controls;
    int controlPort;
    std::vector<std::unique_ptr<StandinTarget>> targets;
    std::optional<Clock::time_point> promotionDue;
    StandinTarget *promoted = nullptr;
    std::optional<Clock::time_point> demotionDue;
    unsigned lossCount = 0;
    std::atomic<bool> isStopping{false};
    std::vector<std::thread> beats;
};

} // namespace rhubarbweir::test
