// One database of a stand-in group and the statements of its connections, as PROTOCOL.md has them.
#pragma once

#include "soak_teams.hpp"
#include "unit/support/standin_log.hpp"

#include <cstdint>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbweir::test {

class StandinTarget
{
public:
    struct Connection
    {
        bool isStarted = false;
        // Second word of its start: a team or the name of an instance.
        std::string caller;
        bool inTransaction = false;
        bool isReadOnly = false;
        bool hasFailed = false;
        // Term in which the transaction began.
        unsigned long term = 0;
        std::vector<StandinLog::Write> writes;
        // Name to whether it reads.
        std::map<std::string, bool> prepared;
    };

    // Answers one line; false if the connection ends.
    bool answer(Connection &connection, const std::string &line, std::string &output, int open)
    {
        std::istringstream words(line);
        std::string word;
        words >> word;
        if (word == "STARTUP") {
            std::string service;
            std::string caller;
            std::string expected;
            words >> service >> caller >> expected;
            const bool isOther =
                service != this->group || (!expected.empty() && expected != this->id);
            if (isOther || open > MaxConnections) {
                output += isOther ? "ERROR WRONGNODE " + this->id + "\r\n" : "ERROR TOOMANY -\r\n";
                return false;
            }
            connection.isStarted = true;
            connection.caller = caller;
            if (this->teams != nullptr)
                this->teams->told(caller);
            output += "READY I " + this->position() + "\r\n";
            return true;
        }
        std::string statement;
        words >> statement;
        std::string text;
        std::getline(words >> std::ws, text);
        if (word != "QUERY" || !connection.isStarted)
            return false;
        output += this->run(connection, statement, text, open);
        const char *state = connection.hasFailed ? "E" : connection.inTransaction ? "T" : "I";
        output += std::string("READY ") + state + " " + this->position() + "\r\n";
        return true;
    }

    std::string position() const { return this->log.position(this->term); }

    static constexpr int MaxConnections = 112;

    std::string group;
    std::string id;
    std::string host;
    std::string zone;
    long long born = 0;
    unsigned long sequence = 0;
    bool isRunning = false;
    bool isDark = false;
    bool isPrimary = false;
    // A PAUSE of this term keeps it from receiving; 0 for none.
    unsigned long pausedTerm = 0;
    unsigned long term = 1;
    StandinLog log;
    int listener = -1;
    // Judges what is told and run; null for nobody.
    SoakTeams *teams = nullptr;

private:
    static std::string fail(Connection &connection, const std::string &code)
    {
        connection.hasFailed = connection.inTransaction;
        return "ERROR " + code + "\r\n";
    }

    std::string row(int open) const
    {
        return std::string("DATAROW ") + (this->isPrimary ? "primary " : "replica ")
               + std::to_string(this->term) + " " + this->position() + " "
               + std::to_string(this->pausedTerm) + " 0 0 " + std::to_string(open)
               + "\r\nCOMPLETE -\r\n";
    }

    std::string run(Connection &connection, const std::string &statement, const std::string &text,
                    int open)
    {
        std::istringstream words(text);
        std::string verb;
        std::string first;
        std::string second;
        words >> verb;
        if (verb == "AFTER") {
            words >> first >> verb;
            if (!this->log.holds(first))
                return fail(connection, "LAGGING -");
        }
        first.clear();
        words >> first >> second;
        const auto argument = std::strtoul(first.c_str(), nullptr, 10);
        if (verb == "PAUSE" && !this->isPrimary && argument > this->term)
            this->pausedTerm = argument;
        if (verb == "RESUME")
            this->pausedTerm = 0;
        if (verb == "STEPDOWN" && argument > this->term)
            this->isPrimary = false;
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN")
            return this->row(open);
        if (verb == "ROLLBACK" || (verb == "COMMIT" && connection.hasFailed)) {
            const bool isAborted = verb == "COMMIT";
            connection.inTransaction = connection.hasFailed = false;
            connection.writes.clear();
            return isAborted ? "ERROR ABORTED -\r\n" : "COMPLETE -\r\n";
        }
        if (connection.hasFailed)
            return "ERROR MALFORMED -\r\n";
        if (verb == "BEGIN") {
            if (first != "READ" && !this->isPrimary)
                return "ERROR READONLY " + this->id + "\r\n";
            connection.inTransaction = true;
            connection.isReadOnly = first == "READ";
            connection.term = this->term;
            return "COMPLETE -\r\n";
        }
        if (verb == "PREPARE")
            connection.prepared[first] = second == "READ";
        if (verb == "DISCARD")
            connection.prepared.clear();
        if (verb == "DEALLOCATE")
            connection.prepared.erase(first);
        if (verb == "SET" || verb == "PREPARE" || verb == "DISCARD" || verb == "DEALLOCATE")
            return "COMPLETE -\r\n";
        if (verb == "EXECUTE") {
            const auto found = connection.prepared.find(first);
            if (found == connection.prepared.end())
                return fail(connection, "NOSUCHNAME -");
            verb = found->second ? "READ" : "WRITE";
            first = second;
            words >> second;
        }
        return this->runItem(connection, statement, verb, {first, second});
    }

    std::string runItem(Connection &connection, const std::string &statement,
                        const std::string &verb, const StandinLog::Write &item)
    {
        if (this->teams != nullptr)
            this->teams->ran(statement, connection.caller);
        std::string complete = "COMPLETE 7." + this->id + "." + statement + "\r\n";
        const bool hasLostLead = connection.inTransaction && !connection.isReadOnly
                                 && (!this->isPrimary || connection.term != this->term);
        if (verb == "COMMIT") {
            connection.inTransaction = false;
            const auto writes = std::exchange(connection.writes, {});
            if (hasLostLead && !writes.empty())
                return "ERROR READONLY " + this->id + "\r\n";
            if (!writes.empty())
                this->log.append(this->term, writes);
            return complete;
        }
        if (hasLostLead || (verb == "WRITE" && (!this->isPrimary || connection.isReadOnly)))
            return fail(connection, "READONLY " + this->id);
        if (verb == "READ") {
            std::string value = this->log.value(item.first);
            for (const auto &[key, data] : connection.writes)
                value = key == item.first ? data : value;
            return "DATAROW " + value + "\r\n" + complete;
        }
        if (verb != "WRITE")
            return fail(connection, "MALFORMED -");
        if (connection.inTransaction)
            connection.writes.push_back(item);
        else
            this->log.append(this->term, {item});
        return complete;
    }
};

} // namespace rhubarbweir::test
