// An operator that changes the configuration in the ways of the platform's days and reads it back.
#pragma once

#include "soak_teams.hpp"
#include "unit/support/http_call.hpp"
#include "unit/support/soak_findings.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rhubarbweir::test {

class SoakOperator
{
public:
    using Clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;
    using json = nlohmann::json;

    // From the pages: an answered read is no older than what was acknowledged this long before.
    static constexpr milliseconds ConfigurationDeadline{3000};
    static constexpr milliseconds CallTimeout{1000};
    static constexpr milliseconds LargeCallTimeout{3000};
    static constexpr const char *ReadPath = "/api/Configuration.Get";
    static constexpr std::size_t MaxBytes = 262144;
    static constexpr std::size_t RoutesAtATime = 350;

    SoakOperator(std::vector<std::string> controlHosts, int port,
                 std::vector<std::string> groupNames, std::uint64_t seed,
                 SoakFindings &soakFindings, SoakTeams &soakTeams)
        : hosts(std::move(controlHosts))
        , controlPort(port)
        , groups(std::move(groupNames))
        , random(seed)
        , findings(soakFindings)
        , teams(soakTeams)
        , thread([this] { this->run(); })
    {
    }
    SoakOperator(const SoakOperator &) = delete;
    SoakOperator &operator=(const SoakOperator &) = delete;
    ~SoakOperator()
    {
        this->isEnding = true;
        this->thread.join();
    }

    bool hasAckedSince(Clock::time_point since) const { return this->acked.load() > since; }
    // An answered read that shows the newest acknowledged version.
    bool hasReadSince(Clock::time_point since) const { return this->wasRead.load() > since; }

    static std::string routeHost(const std::string &kind, const std::string &group)
    {
        return kind + "." + group;
    }

    // Whether callers of routes of this kind need no key.
    static bool isPublic(const std::string &kind) { return kind == "bounded_staleness"; }

private:
    json document(std::int64_t version) const
    {
        json routes = json::array();
        const auto add = [&](const std::string &name, const std::string &host,
                             const std::string &kind, const std::string &group) {
            json route = {{"name", name},
                          {"host", host},
                          {"path_prefix", "/"},
                          {"kind", kind},
                          {"timeout_ms", 800 + version % 100},
                          {"target_latency_ms", 250},
                          {"priority", 1},
                          {"service", group},
                          {"max_attempts", 2}};
            if (kind != "primary")
                route["max_staleness_ms"] = 2500;
            if (isPublic(kind))
                route["public"] = true;
            routes.push_back(std::move(route));
        };
        json services = json::array();
        for (const std::string &group : this->groups) {
            for (const char *kind : {"primary", "bounded_staleness", "read_your_writes"})
                add(std::string("r-") + kind + group, routeHost(kind, group), kind, group);
            services.push_back({{"name", group},
                                {"health_path", "/health"},
                                {"max_connections", 112},
                                {"protocol", "h1"},
                                {"tls", false},
                                {"sync_replicas", 0}});
        }
        for (std::size_t number = 0; number < this->idleRoutes; ++number) {
            const std::string name = std::to_string(100000 + number);
            add("idle-" + name, "host" + name, "read_your_writes", this->groups.front());
        }
        return {{"version", version},
                {"tenants", this->tenants},
                {"routes", std::move(routes)},
                {"services", std::move(services)},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", MaxBytes},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000},
                  {"transaction_idle_ms", 3000}}}};
    }

    int send(const std::string &body)
    {
        HttpCall call("POST", "/api/Configuration.Replace", body);
        const std::string &host = this->hosts[this->random() % this->hosts.size()];
        return call.send(host, this->controlPort,
                         body.size() > MaxBytes / 8 ? LargeCallTimeout : CallTimeout);
    }

    void change()
    {
        if (this->pending.empty()) {
            this->sentVersion += 1 + static_cast<std::int64_t>(this->random() % 3);
            this->tenants = this->teams.nextDocument(this->random);
            this->pending = this->document(this->sentVersion).dump();
            if (this->pending.size() > MaxBytes) {
                this->idleRoutes = 0;
                this->pending = this->document(this->sentVersion).dump();
            }
        }
        const int status = this->send(this->pending);
        if (status >= 400 && status < 500 && status != 408 && status != 429)
            this->findings.add("valid configuration refused: " + std::to_string(status),
                               "version " + std::to_string(this->sentVersion));
        if (status != 200)
            return;
        this->teams.acknowledged();
        this->acked = Clock::now();
        this->acknowledged.emplace_back(this->acked, this->sentVersion);
        this->findings.event("operator: version " + std::to_string(this->sentVersion)
                             + " acknowledged, " + std::to_string(this->pending.size()) + " bytes");
        this->pending.clear();
    }

    void sendInvalid()
    {
        json body = this->document(this->sentVersion + 1);
        std::string text;
        switch (this->random() % 6) {
        case 4:
            body["tenants"][0]["name"] = body["tenants"][1]["name"];
            break;
        case 5:
            // A key of another team.
            body["tenants"][0]["api_keys"].push_back("shared");
            body["tenants"][1]["api_keys"].push_back("shared");
            break;
        case 0:
            body["routes"][0]["service"] = "unknown";
            break;
        case 1:
            body["routes"][0]["timeout_ms"] = 0;
            break;
        case 2:
            body["routes"][1]["host"] = body["routes"][0]["host"];
            break;
        default:
            text = body.dump().substr(0, 40);
            break;
        }
        if (this->send(text.empty() ? body.dump() : text) / 100 == 2)
            this->findings.add("invalid configuration acknowledged", text);
    }

    void read()
    {
        const auto sent = Clock::now();
        std::int64_t required = 0;
        for (const auto &[when, version] : this->acknowledged) {
            if (when + ConfigurationDeadline <= sent)
                required = version;
        }
        HttpCall call("GET", ReadPath);
        const std::string &host = this->hosts[this->random() % this->hosts.size()];
        if (call.send(host, this->controlPort, LargeCallTimeout) != 200)
            return;
        const json answer = json::parse(call.content(), nullptr, false);
        const std::int64_t version = answer.is_object() ? answer.value("version", -1) : -1;
        if (version < required)
            this->findings.add("configuration read older than acknowledged",
                               host + " answers " + std::to_string(version) + " for "
                                   + std::to_string(required));
        if (this->acknowledged.empty() || version >= this->acknowledged.back().second)
            this->wasRead = sent;
    }

    void run()
    {
        milliseconds pause{0};
        while (!this->isEnding) {
            // A new pace every few seconds.
            const auto until = Clock::now() + milliseconds(1500 + this->random() % 2500);
            switch (this->random() % 3) {
            case 0:
                pause = milliseconds(80);
                break;
            case 1:
                pause = milliseconds(330);
                break;
            default:
                pause = milliseconds(900);
                break;
            }
            if (this->random() % 2 == 0)
                this->idleRoutes += RoutesAtATime;
            while (!this->isEnding && Clock::now() < until) {
                this->change();
                if (this->random() % 8 == 0)
                    this->sendInvalid();
                this->read();
                std::this_thread::sleep_for(pause);
            }
        }
    }

    std::vector<std::string> hosts;
    int controlPort;
    std::vector<std::string> groups;
    std::mt19937_64 random;
    SoakFindings &findings;
    SoakTeams &teams;
    // List of teams in the newest document.
    json tenants = json::array();
    std::int64_t sentVersion = 0;
    std::size_t idleRoutes = 8;
    // The newest change, until it is acknowledged.
    std::string pending;
    std::vector<std::pair<Clock::time_point, std::int64_t>> acknowledged;
    std::atomic<Clock::time_point> acked{Clock::time_point::min()};
    std::atomic<Clock::time_point> wasRead{Clock::time_point::min()};
    std::atomic<bool> isEnding{false};
    std::thread thread;
};

} // namespace rhubarbweir::test
