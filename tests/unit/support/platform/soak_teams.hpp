// The teams and keys of a soak: which key is valid when, and whether targets are told and run only
// what these allow.
#pragma once

#include "unit/support/soak_findings.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rhubarbweir::test {

class SoakTeams
{
public:
    using Clock = std::chrono::steady_clock;

    // The bound of the settings: a key that was taken away runs nothing later than this.
    static constexpr std::chrono::milliseconds RevokeWithin{5000};
    // A new key is valid everywhere from then on.
    static constexpr std::chrono::milliseconds ConfigurationDeadline{3000};
    // Part of every key and of nothing else.
    static constexpr const char *Secret = "secret";

    // Each caller has a key of its own. Callers take teams in turn.
    SoakTeams(std::size_t callerCount, SoakFindings &soakFindings)
        : findings(soakFindings)
    {
        for (std::size_t caller = 0; caller < callerCount; ++caller)
            this->issue(caller);
    }

    // The list of teams for the next document. Some of them take a key away and issue another one.
    nlohmann::json nextDocument(std::mt19937_64 &random)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (random() % 4 == 0) {
            const std::size_t caller = random() % this->current.size();
            this->keys.at(this->current[caller]).isEnding = true;
            this->issue(caller);
        }
        std::map<std::string, std::vector<std::string>> keysOf;
        for (std::size_t team = 0; team < TeamCount; ++team)
            keysOf[teamName(team)];
        for (const std::string &key : this->current)
            keysOf[this->keys.at(key).team].push_back(key);
        nlohmann::json teams = nlohmann::json::array();
        for (const auto &[name, held] : keysOf)
            teams.push_back({{"name", name}, {"api_keys", held}, {"priority", 1}});
        return teams;
    }

    // The document of the latest nextDocument() was acknowledged.
    void acknowledged()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (auto &[text, key] : this->keys) {
            if (key.isEnding && !key.revokedAt)
                key.revokedAt = Clock::now();
            if (!key.issuedAt)
                key.issuedAt = Clock::now();
        }
    }

    // The newest key of the caller that an acknowledged document holds; empty before the first one.
    std::string keyOf(std::size_t caller)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::string newest;
        for (std::size_t number = 0; number < this->history[caller].size(); ++number) {
            const std::string &key = this->history[caller][number];
            if (this->keys.at(key).issuedAt)
                newest = key;
        }
        return newest;
    }

    // The caller sends the statement now. The key is empty on a public route.
    void sending(const std::string &statement, const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sent[statement] = {key, Clock::now()};
    }

    // What the caller asked for at `asked` was denied just now.
    void denied(const std::string &key, Clock::time_point asked)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto found = this->keys.find(key);
        if (found == this->keys.end() || found->second.isEnding)
            return;
        const Key &held = found->second;
        if (held.issuedAt && *held.issuedAt + ConfigurationDeadline <= asked)
            this->findings.add("valid key denied", key);
    }

    // A target was told this word as a connection began.
    void told(const std::string &word)
    {
        if (word.find(Secret) != std::string::npos)
            this->findings.add("target was told a key", word);
    }

    // A target runs the statement on a connection whose word is `team`.
    void ran(const std::string &statement, const std::string &team)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto found = this->sent.find(statement);
        if (found == this->sent.end())
            return;
        const auto &[text, at] = found->second;
        const std::string detail = statement + " with " + text + " as " + team;
        if (text.empty()) {
            if (team.rfind(TeamPrefix, 0) == 0)
                this->findings.add("statement without a key ran as a team", detail);
            return;
        }
        const Key &key = this->keys.at(text);
        if (key.team != team)
            this->findings.add("statement ran as a wrong team", detail);
        if (key.revokedAt && *key.revokedAt + RevokeWithin < at)
            this->findings.add("statement ran with a revoked key", detail);
        ++this->runs;
    }

    // Statements that ran with a key.
    unsigned long runCount()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->runs;
    }

private:
    static constexpr std::size_t TeamCount = 3;
    static constexpr const char *TeamPrefix = "team-";

    struct Key
    {
        std::string team;
        // A document that takes it away was sent.
        bool isEnding = false;
        // When documents with and without it were acknowledged.
        std::optional<Clock::time_point> issuedAt;
        std::optional<Clock::time_point> revokedAt;
    };
    struct Sent
    {
        std::string key;
        Clock::time_point at;
    };

    static std::string teamName(std::size_t number) { return TeamPrefix + std::to_string(number); }

    void issue(std::size_t caller)
    {
        const std::string key = std::string(Secret) + "-" + std::to_string(this->keys.size());
        this->keys[key].team = teamName(caller % TeamCount);
        this->history[caller].push_back(key);
        this->current.resize(std::max(this->current.size(), caller + 1));
        this->current[caller] = key;
    }

    SoakFindings &findings;
    std::mutex mutex;
    std::map<std::string, Key> keys;
    // The key of each caller in the next document, and all that it had.
    std::vector<std::string> current;
    std::map<std::size_t, std::vector<std::string>> history;
    std::map<std::string, Sent> sent;
    unsigned long runs = 0;
};

} // namespace rhubarbweir::test
