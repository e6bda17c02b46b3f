// A caller that keeps its session with a pooler until that ends, and checks what it is told.
#pragma once

#include "soak_operator.hpp"
#include "standin_group.hpp"
#include "unit/support/loopback_socket.hpp"
#include "unit/support/soak_findings.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rhubarbweir::test {

class SoakCaller
{
public:
    using Clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    static constexpr milliseconds StartTimeout{2000};
    static constexpr milliseconds AnswerTimeout{4000};
    static constexpr milliseconds LongestPause{60};

    // `number` tells its key in `soakTeams`.
    SoakCaller(std::vector<std::string> poolerHosts, int port, StandinGroup &standinGroup,
               std::size_t number, std::uint64_t seed, SoakFindings &soakFindings,
               SoakTeams &soakTeams)
        : hosts(std::move(poolerHosts))
        , poolerPort(port)
        , group(standinGroup)
        , item("item" + std::to_string(number))
        , caller(number)
        , random(seed)
        , findings(soakFindings)
        , teams(soakTeams)
        , thread([this] { this->run(); })
    {
    }
    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;
    ~SoakCaller()
    {
        this->isEnding = true;
        this->thread.join();
    }

    bool hasWrittenSince(Clock::time_point since) const { return this->written.load() > since; }

private:
    // The last line before READY; nothing if the session ended.
    std::optional<std::string> query(const std::string &text)
    {
        const auto deadline = Clock::now() + AnswerTimeout;
        this->statement = this->item + "q" + std::to_string(++this->statements);
        this->row.clear();
        const auto asked = Clock::now();
        this->teams.sending(this->statement, this->key);
        if (!this->session.send("QUERY " + this->statement + " " + text + "\r\n", deadline))
            return std::nullopt;
        std::string last;
        while (auto line = this->session.line(deadline)) {
            if (line->rfind("READY ", 0) == 0) {
                this->state = line->substr(6, 1);
                if (last.rfind("ERROR DENIED", 0) == 0)
                    this->denied(asked);
                return last;
            }
            if (line->rfind("DATAROW ", 0) == 0)
                this->row = line->substr(8);
            last = *line;
        }
        this->session.close();
        return std::nullopt;
    }

    // Goes on with its newest key.
    void denied(Clock::time_point asked)
    {
        this->teams.denied(this->key, asked);
        this->session.close();
        this->newestKey = this->teams.keyOf(this->caller);
    }

    bool succeeds(const std::string &text)
    {
        const auto answer = this->query(text);
        return answer && answer->rfind("COMPLETE ", 0) == 0;
    }

    // A success has the signature of a database for this statement.
    bool isSigned(const std::string &text)
    {
        const auto answer = this->query(text);
        if (!answer || answer->rfind("COMPLETE ", 0) != 0)
            return false;
        const std::string end = "." + this->statement;
        if (answer->size() < end.size()
            || answer->compare(answer->size() - end.size(), end.size(), end) != 0)
            this->findings.add("success without the database's signature", text + ": " + *answer);
        return true;
    }

    bool connect()
    {
        const std::string &host = this->hosts[this->random() % this->hosts.size()];
        const std::vector<std::string> kinds{"primary", "primary", "read_your_writes",
                                             "bounded_staleness"};
        this->kind = kinds[this->random() % kinds.size()];
        this->hasPrepared = false;
        const auto asked = Clock::now();
        const auto deadline = asked + StartTimeout;
        if (this->newestKey.empty())
            this->newestKey = this->teams.keyOf(this->caller);
        this->key = SoakOperator::isPublic(this->kind) ? "" : this->newestKey;
        if (!this->session.open(host, this->poolerPort, StartTimeout)
            || !this->session.send(
                "STARTUP " + SoakOperator::routeHost(this->kind, this->group.groupName()) + " "
                    + (this->key.empty() ? this->item : this->key) + "\r\n",
                deadline))
            return false;
        const auto line = this->session.line(deadline);
        if (line && line->rfind("ERROR DENIED", 0) == 0)
            this->denied(asked);
        return (line && line->rfind("READY", 0) == 0) || this->session.close();
    }

    // Later reads show an acknowledged value, or one whose fate is unknown: it may come late.
    void finishWrite(bool isAcked, const std::string &value, unsigned losses)
    {
        if (!isAcked) {
            this->doubtful.push_back(value);
            return;
        }
        this->written = Clock::now();
        this->acked.clear();
        if (this->group.leadsWith(this->item, value) && losses == this->group.losses()) {
            this->ackedLosses = losses;
            this->acked = value;
        }
    }

    void write()
    {
        const unsigned losses = this->group.losses();
        const std::string value = "v" + std::to_string(++this->values);
        switch (this->random() % 3) {
        case 0:
            this->finishWrite(this->isSigned("WRITE " + this->item + " " + value), value, losses);
            return;
        case 1:
            if (!this->hasPrepared)
                this->hasPrepared = this->succeeds("PREPARE s1 WRITE shape");
            if (this->hasPrepared)
                this->finishWrite(this->execute(value), value, losses);
            return;
        default:
            break;
        }
        if (!this->succeeds("BEGIN"))
            return;
        const bool isWritten = this->isSigned("READ " + this->item)
                               && this->isSigned("WRITE " + this->item + " " + value);
        const auto end = this->random() % 8;
        if (end == 0)
            this->session.close();
        else if (end == 1 || !isWritten)
            this->query("ROLLBACK");
        else
            this->finishWrite(this->isSigned("COMMIT"), value, losses);
    }

    bool execute(const std::string &value)
    {
        const auto answer = this->query("EXECUTE s1 " + this->item + " " + value);
        if (answer && answer->rfind("ERROR NOSUCHNAME", 0) == 0)
            this->findings.add("acknowledged prepared name is unknown", this->item);
        return answer && answer->rfind("COMPLETE ", 0) == 0;
    }

    void read()
    {
        const unsigned losses = this->group.losses();
        if (!this->isSigned("READ " + this->item) || this->kind != "primary" || this->acked.empty()
            || losses != this->ackedLosses || losses != this->group.losses()
            || this->row == this->acked
            || std::count(this->doubtful.begin(), this->doubtful.end(), this->row) > 0)
            return;
        this->findings.add("acknowledged write missing from a primary read",
                           this->item + " is " + this->row + ", acknowledged " + this->acked);
    }

    void run()
    {
        while (!this->isEnding) {
            std::this_thread::sleep_for(
                milliseconds(this->random() % static_cast<unsigned>(LongestPause.count())));
            if (!this->session.isOpen() && !this->connect())
                continue;
            if (this->random() % 3 == 0)
                this->write();
            else
                this->read();
            if (this->session.isOpen() && this->state != "I")
                this->query("ROLLBACK");
        }
    }

    std::vector<std::string> hosts;
    int poolerPort;
    StandinGroup &group;
    // Nobody else writes it.
    std::string item;
    std::size_t caller;
    std::mt19937_64 random;
    SoakFindings &findings;
    SoakTeams &teams;
    // Key of the session, empty on a public route, and the one for the next session.
    std::string key;
    std::string newestKey;
    LoopbackSocket session;
    std::string kind;
    bool hasPrepared = false;
    unsigned long statements = 0;
    unsigned long values = 0;
    std::string statement;
    std::string row;
    std::string state = "I";
    // Empty if the newest acknowledged value may have been lost.
    std::string acked;
    std::vector<std::string> doubtful;
    unsigned ackedLosses = 0;
    std::atomic<Clock::time_point> written{Clock::time_point::min()};
    std::atomic<bool> isEnding{false};
    std::thread thread;
};

} // namespace rhubarbweir::test
