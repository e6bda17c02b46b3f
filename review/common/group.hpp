// Stand-ins for a group of databases and for the platform, and a client of the text protocol, as
// PROTOCOL.md describes them.
#pragma once

#include "harness.hpp"

#include <algorithm>
#include <condition_variable>
#include <memory>

namespace review {

struct Position
{
    unsigned long term = 0;
    unsigned long number = 0;

    std::string text() const
    {
        return std::to_string(this->term) + "." + std::to_string(this->number);
    }
    friend bool operator<(const Position &a, const Position &b)
    {
        return std::make_pair(a.term, a.number) < std::make_pair(b.term, b.number);
    }
};

struct Commit
{
    Position position;
    // "id item data" of each write.
    std::vector<std::string> writes;
};

class Group;

// One database of a group. All of its state is guarded by the mutex of the group.
struct Database
{
    std::string id;
    std::string ip;
    std::string zone;
    long long born = 0;
    unsigned long sequence = 0;
    bool isRunning = true;
    bool isPrimary = false;
    bool isDraining = false;
    // Receives nothing from the primary.
    bool isDeaf = false;
    // Partitioned from everybody: neither hears nor says anything.
    bool isCut = false;
    // Counts the partitions; a connection from before one has ended is dropped.
    unsigned cuts = 0;
    // Since when it could reach a primary of a newer term.
    Clock::time_point reachesNewerSince = Clock::time_point::max();
    unsigned long term = 1;
    std::vector<Commit> log;
    int listener = -1;
    std::set<int> connections;
    std::string beatIp;

    Position received() const
    {
        return this->log.empty() ? Position{this->term, 0} : this->log.back().position;
    }
};

struct Promotion
{
    std::string holder;
    unsigned long token = 0;
    std::string target;
};

class Group
{
public:
    Group(Deployment &given, std::string groupName, unsigned syncReplicas)
        : deployment(given)
        , name(std::move(groupName))
        , sync(syncReplicas)
    {
        const char *zones[] = {"erie-south", "michigan-west", "huron-bay"};
        const long long now = std::chrono::duration_cast<std::chrono::milliseconds>(
                                  std::chrono::system_clock::now().time_since_epoch())
                                  .count();
        for (int number = 0; number < 3; ++number) {
            auto database = std::make_unique<Database>();
            database->id = "i-" + std::to_string(100001 + number);
            database->ip = given.ip(101 + number);
            database->zone = zones[number];
            database->born = now - 60000 + number;
            database->isPrimary = number == 0;
            this->databases.push_back(std::move(database));
        }
    }

    ~Group()
    {
        this->stopping = true;
        for (auto &database : this->databases)
            this->crash(*database, false);
        if (this->platformListener >= 0)
            shutdown(this->platformListener, SHUT_RDWR);
        for (std::thread &thread : this->threads)
            thread.join();
        // Connection threads end once their sockets are shut down.
        for (int tries = 0; this->openConnections > 0 && tries < 300; ++tries)
            sleepSeconds(0.01);
    }

    bool start()
    {
        this->threads.emplace_back([this] { this->followNewestPrimary(); });
        for (auto &database : this->databases) {
            database->listener = listenOn(database->ip, this->deployment.ports.server);
            if (database->listener < 0)
                return false;
            this->threads.emplace_back([this, &each = *database] { this->accept(each); });
            this->threads.emplace_back([this, &each = *database] { this->beat(each); });
        }
        return true;
    }

    // Disruptions and planned work.

    void crash(Database &database, bool recorded = true)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!database.isRunning)
            return;
        database.isRunning = false;
        shutdown(database.listener, SHUT_RDWR);
        close(database.listener);
        for (const int connection : database.connections)
            shutdown(connection, SHUT_RDWR);
        if (recorded)
            this->deployment.record.line("database %s crashes at %s", database.id.c_str(),
                                         database.received().text().c_str());
    }

    void setDeaf(Database &database, bool isDeaf)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        database.isDeaf = isDeaf;
        this->deployment.record.line("database %s receives %s from now on, holds %s",
                                     database.id.c_str(), isDeaf ? "nothing" : "again",
                                     database.received().text().c_str());
    }

    void setCut(Database &database, bool isCut)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        database.isCut = isCut;
        // What was held up by the partition is lost.
        if (!isCut) {
            ++database.cuts;
            for (const int connection : database.connections)
                shutdown(connection, SHUT_RDWR);
        }
        this->deployment.record.line("database %s %s, holds %s", database.id.c_str(),
                                     isCut ? "is partitioned from everybody" : "is back",
                                     database.received().text().c_str());
    }

    // A database that crashed comes back with its log, as a replica if another one was promoted.
    bool restart(Database &database)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (auto &other : this->databases) {
            if (other->term > database.term)
                database.isPrimary = false;
        }
        database.listener = listenOn(database.ip, this->deployment.ports.server);
        if (database.listener < 0)
            return false;
        ++database.born;
        database.sequence = 0;
        database.isRunning = true;
        this->threads.emplace_back([this, &database] { this->accept(database); });
        this->threads.emplace_back([this, &database] { this->beat(database); });
        this->deployment.record.line("database %s is back as %s with %s", database.id.c_str(),
                                     database.isPrimary ? "primary" : "replica",
                                     database.received().text().c_str());
        return true;
    }

    // Reports `draining`; true once that was acknowledged.
    bool drain(Database &database)
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            database.isDraining = true;
        }
        const bool acknowledged = this->sendBeat(database);
        this->deployment.record.line("database %s reports draining: %s", database.id.c_str(),
                                     acknowledged ? "acknowledged" : "not acknowledged");
        return acknowledged;
    }

    // The platform's POST /promotion. `backlog` 0 with no accepting thread fills the queue of new
    // connections.
    bool startPlatform()
    {
        this->platformListener =
            listenOn(this->deployment.platformIp(), this->deployment.ports.platform, 0);
        if (this->platformListener < 0)
            return false;
        this->threads.emplace_back([this] { this->servePlatform(); });
        return true;
    }

    // While the platform does not accept, its queue of new connections fills up and further opening
    // packets are dropped.
    void stallPlatform(bool stalls)
    {
        this->platformStalls = stalls;
        if (stalls) {
            for (int number = 0; number < 2; ++number)
                this->fillers.push_back(connectTo(this->deployment.platformIp(),
                                                  this->deployment.ports.platform, 0.2));
        } else {
            for (const int filler : this->fillers) {
                if (filler >= 0)
                    close(filler);
            }
            this->fillers.clear();
        }
        this->deployment.record.line("the platform %s new connections",
                                     stalls ? "accepts no" : "accepts");
    }

    Database &primary()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Database *newest = this->databases.front().get();
        for (auto &database : this->databases) {
            if (database->isPrimary && database->isRunning && newest->term <= database->term)
                newest = database.get();
        }
        return *newest;
    }

    std::vector<Promotion> promotions()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->requests;
    }

    std::mutex mutex;
    std::vector<std::unique_ptr<Database>> databases;
    // Called under the mutex when a promotion takes effect.
    std::function<void(const Database &)> promoted;

private:
    struct Session
    {
        bool isOpen = false;
        bool inTransaction = false;
        bool isReadOnly = false;
        bool hasFailed = false;
        unsigned long beganInTerm = 0;
        std::vector<std::string> writes;
        std::map<std::string, std::string> values;
        std::map<std::string, std::pair<bool, std::string>> prepared;
    };

    // A primary of an older term becomes a replica a second after it can reach the newest primary. A
    // replica follows it at once, unless it receives nothing.
    void followNewestPrimary()
    {
        while (!this->stopping) {
            sleepSeconds(0.02);
            const std::lock_guard<std::mutex> lock(this->mutex);
            const Database *newest = nullptr;
            for (auto &database : this->databases) {
                if (database->isRunning && !database->isCut && database->isPrimary
                    && (newest == nullptr || newest->term < database->term))
                    newest = database.get();
            }
            for (auto &database : this->databases) {
                const bool hears = newest != nullptr && database.get() != newest
                                   && database->isRunning && !database->isCut && !database->isDeaf;
                // What it missed while it received nothing.
                if (hears && database->term == newest->term && !database->isPrimary
                    && database->received() < newest->received())
                    database->log = newest->log;
                if (!hears || database->term >= newest->term) {
                    database->reachesNewerSince = Clock::time_point::max();
                    continue;
                }
                database->reachesNewerSince = std::min(database->reachesNewerSince, Clock::now());
                if (database->isPrimary
                    && secondsSince(database->reachesNewerSince) < 1)
                    continue;
                this->deployment.record.line(
                    "database %s follows %s into term %lu, its log ended at %s",
                    database->id.c_str(), newest->id.c_str(), newest->term,
                    database->received().text().c_str());
                database->isPrimary = false;
                database->term = newest->term;
                database->log = newest->log;
            }
        }
    }

    // Heartbeats.

    bool sendBeat(Database &database)
    {
        std::ostringstream body;
        std::string first;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            body << "{\"service\":\"" << this->name << "\",\"address\":\"" << database.ip << ":"
                 << this->deployment.ports.server << "\",\"zone\":\"" << database.zone
                 << "\",\"version\":\"v1\",\"slots\":3,\"state\":\""
                 << (database.isDraining ? "draining" : "ready")
                 << "\",\"cold_remaining_ms\":0,\"database_role\":\""
                 << (database.isPrimary ? "primary" : "replica")
                 << "\",\"sequence\":" << ++database.sequence << ",\"born\":" << database.born
                 << "}";
            first = database.beatIp;
        }
        std::vector<std::string> nodes;
        if (!first.empty())
            nodes.push_back(first);
        for (const Machine &machine : this->deployment.machines) {
            if (machine.hasDisk && machine.ip != first)
                nodes.push_back(machine.ip);
        }
        for (const std::string &node : nodes) {
            const HttpAnswer answer =
                http(node, this->deployment.ports.control, "POST",
                     "/api/Instances.Heartbeat/" + database.id, body.str(), 1.0);
            if (answer.status < 200 || answer.status >= 300)
                continue;
            const auto at = answer.body.find("\"heartbeat_address\":\"");
            const std::lock_guard<std::mutex> lock(this->mutex);
            database.beatIp.clear();
            if (at != std::string::npos) {
                const std::string address = answer.body.substr(at + 21);
                database.beatIp = address.substr(0, address.find(':'));
            }
            return true;
        }
        return false;
    }

    void beat(Database &database)
    {
        while (!this->stopping) {
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                if (!database.isRunning)
                    return;
            }
            bool isCut = false;
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                isCut = database.isCut;
            }
            if (!isCut)
                this->sendBeat(database);
            for (int slept = 0; slept < 24 && !this->stopping; ++slept)
                sleepSeconds(0.05);
        }
    }

    // Text protocol.

    void accept(Database &database)
    {
        while (!this->stopping) {
            const int connection = accept4(database.listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0) {
                const std::lock_guard<std::mutex> lock(this->mutex);
                if (!database.isRunning || this->stopping)
                    return;
                continue;
            }
            const int on = 1;
            setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                if (!database.isRunning) {
                    close(connection);
                    return;
                }
                database.connections.insert(connection);
            }
            ++this->openConnections;
            std::thread([this, &database, connection] {
                this->serve(database, connection);
                {
                    const std::lock_guard<std::mutex> lock(this->mutex);
                    database.connections.erase(connection);
                }
                close(connection);
                --this->openConnections;
            }).detach();
        }
    }

    void serve(Database &database, int connection)
    {
        Session session;
        std::string buffer;
        std::optional<unsigned> cuts;
        while (!this->stopping) {
            bool isCut = false;
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                if (!cuts)
                    cuts = database.cuts;
                if (!database.isRunning || *cuts != database.cuts)
                    return;
                isCut = database.isCut;
            }
            if (isCut) {
                sleepSeconds(0.02);
                continue;
            }
            const auto line = readLine(connection, buffer, 0.2);
            if (!line) {
                // A time-out keeps the connection, an end or an error does not.
                char byte = 0;
                const ssize_t count = recv(connection, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
                    return;
                continue;
            }
            if (!this->handle(database, connection, session, *line))
                return;
        }
    }

    bool handle(Database &database, int connection, Session &session, const std::string &line)
    {
        std::istringstream words(line);
        std::string word;
        words >> word;
        if (word == "TERMINATE")
            return false;
        if (word == "STARTUP") {
            std::string service;
            std::string caller;
            std::string expected;
            words >> service >> caller >> expected;
            if (service != this->name || (!expected.empty() && expected != database.id)) {
                sendAll(connection, "ERROR WRONGNODE " + database.id + "\r\n");
                return false;
            }
            session.isOpen = true;
            const std::lock_guard<std::mutex> lock(this->mutex);
            return sendAll(connection, "READY I " + database.received().text() + "\r\n");
        }
        if (word != "QUERY" || !session.isOpen)
            return false;
        std::string id;
        words >> id;
        std::string text = line.substr(std::min(line.size(), 6 + id.size() + 1));
        // The work of a statement.
        if (id != "-")
            sleepSeconds(0.004);
        std::string answer;
        {
            std::unique_lock<std::mutex> lock(this->mutex);
            if (!database.isRunning || database.isCut)
                return false;
            answer = this->run(database, session, id, text);
            const char state = session.hasFailed ? 'E' : session.inTransaction ? 'T' : 'I';
            answer += std::string("READY ") + state + " " + database.received().text() + "\r\n";
        }
        return sendAll(connection, answer);
    }

    static std::string fault(Session &session, const std::string &code)
    {
        if (session.inTransaction)
            session.hasFailed = true;
        return "ERROR " + code + " -\r\n";
    }

    std::string signature(const Database &database, const std::string &id) const
    {
        return "7." + database.id + "." + id;
    }

    // One query text; under the mutex.
    std::string run(Database &database, Session &session, const std::string &id, std::string text)
    {
        const auto word = [&text] {
            const auto blank = text.find(' ');
            std::string first = text.substr(0, blank);
            text = blank == std::string::npos ? "" : text.substr(blank + 1);
            return first;
        };
        std::string first = word();
        if (first == "AFTER") {
            const std::string needed = word();
            Position position;
            sscanf(needed.c_str(), "%lu.%lu", &position.term, &position.number);
            const bool holds =
                position.number == 0
                || std::any_of(database.log.begin(), database.log.end(),
                               [&position](const Commit &commit) {
                                   return !(commit.position < position)
                                          && !(position < commit.position);
                               });
            if (!holds)
                return fault(session, "LAGGING");
            first = word();
        }
        if (first == "STATUS" || first == "STEPDOWN") {
            if (first == "STEPDOWN" && std::strtoul(text.c_str(), nullptr, 10) > database.term)
                database.isPrimary = false;
            return std::string("DATAROW ") + (database.isPrimary ? "primary " : "replica ")
                   + std::to_string(database.term) + " " + database.received().text()
                   + " 0 0 0 0\r\nCOMPLETE -\r\n";
        }
        if (first == "ROLLBACK") {
            session.inTransaction = session.hasFailed = false;
            session.writes.clear();
            return "COMPLETE -\r\n";
        }
        if (session.hasFailed && first == "COMMIT") {
            session.inTransaction = session.hasFailed = false;
            session.writes.clear();
            return "ERROR ABORTED -\r\n";
        }
        if (session.hasFailed)
            return "ERROR MALFORMED -\r\n";
        if (first == "BEGIN") {
            const bool readOnly = text == "READ";
            if (!readOnly && !database.isPrimary)
                return "ERROR READONLY " + database.id + "\r\n";
            session.inTransaction = true;
            session.isReadOnly = readOnly;
            session.beganInTerm = database.term;
            return "COMPLETE -\r\n";
        }
        if (first == "DISCARD") {
            session.values.clear();
            session.prepared.clear();
            return "COMPLETE -\r\n";
        }
        if (first == "SET") {
            const std::string key = word();
            session.values[key] = text;
            return "COMPLETE -\r\n";
        }
        if (first == "PREPARE") {
            const std::string key = word();
            const std::string access = word();
            session.prepared[key] = {access == "READ", text};
            return "COMPLETE -\r\n";
        }
        if (first == "EXECUTE") {
            const std::string key = word();
            const auto found = session.prepared.find(key);
            if (found == session.prepared.end())
                return fault(session, "NOSUCHNAME");
            first = found->second.first ? "READ" : "WRITE";
        }
        const bool lostLead = session.inTransaction && !session.isReadOnly
                              && (!database.isPrimary || database.term != session.beganInTerm);
        if (first == "READ") {
            if (lostLead)
                return fault(session, "READONLY");
            return "DATAROW " + this->value(database, session, text) + "\r\nCOMPLETE "
                   + this->signature(database, id) + "\r\n";
        }
        if (first == "WRITE") {
            if (!database.isPrimary || lostLead || session.isReadOnly)
                return fault(session, "READONLY");
            session.writes.push_back(id + " " + text);
            if (!session.inTransaction)
                this->commit(database, session);
            return "COMPLETE " + this->signature(database, id) + "\r\n";
        }
        if (first == "COMMIT") {
            if (lostLead && !session.writes.empty()) {
                session.inTransaction = false;
                session.writes.clear();
                return "ERROR READONLY " + database.id + "\r\n";
            }
            if (!session.writes.empty())
                this->commit(database, session);
            session.inTransaction = false;
            return "COMPLETE " + this->signature(database, id) + "\r\n";
        }
        return fault(session, "MALFORMED");
    }

    static std::string value(const Database &database, const Session &session,
                             const std::string &item)
    {
        std::string found = "-";
        const auto look = [&](const std::string &write) {
            std::istringstream words(write);
            std::string id;
            std::string key;
            std::string data;
            words >> id >> key >> data;
            if (key == item)
                found = data;
        };
        for (const Commit &commit : database.log)
            std::for_each(commit.writes.begin(), commit.writes.end(), look);
        std::for_each(session.writes.begin(), session.writes.end(), look);
        return found;
    }

    // Appends a commit and hands it to the replicas that receive. With sync_replicas 1 at least one
    // of them does in every case of this folder, so the commit is acknowledged at once.
    void commit(Database &database, Session &session)
    {
        Commit commit;
        commit.position = {database.term, database.received().number + 1};
        commit.writes = std::move(session.writes);
        session.writes.clear();
        database.log.push_back(commit);
        unsigned holders = 0;
        for (auto &other : this->databases) {
            if (other.get() == &database || !other->isRunning || other->isDeaf || other->isCut
                || database.isCut || other->isPrimary || other->term != database.term)
                continue;
            other->log.push_back(commit);
            ++holders;
        }
        if (holders < this->sync)
            this->deployment.record.line("stand-in: a commit was held by %u replicas only", holders);
        this->deployment.record.line("database %s commits %s, held by %u replicas: %s",
                                     database.id.c_str(), commit.position.text().c_str(), holders,
                                     commit.writes.front().c_str());
    }

    // Platform.

    void servePlatform()
    {
        while (!this->stopping) {
            if (this->platformStalls) {
                sleepSeconds(0.005);
                continue;
            }
            pollfd waiting{this->platformListener, POLLIN, 0};
            if (poll(&waiting, 1, 5) != 1 || this->platformStalls)
                continue;
            const int connection =
                accept4(this->platformListener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                continue;
            ++this->openConnections;
            std::thread([this, connection] {
                this->servePromotion(connection);
                close(connection);
                --this->openConnections;
            }).detach();
        }
        close(this->platformListener);
    }

    void servePromotion(int connection)
    {
        std::string buffer;
        while (buffer.find("\r\n\r\n") == std::string::npos
               || buffer.size() < buffer.find("\r\n\r\n") + 4 + lengthOf(buffer)) {
            if (this->stopping || !readMore(connection, buffer, 30))
                return;
        }
        Promotion promotion;
        promotion.holder = headerOf(buffer, "X-Duty-Holder");
        promotion.token = std::strtoul(headerOf(buffer, "X-Fencing-Token").c_str(), nullptr, 10);
        const auto at = buffer.find("\"instance_id\":\"");
        promotion.target = buffer.substr(at + 15, buffer.find('"', at + 15) - at - 15);
        int status = 409;
        Database *target = nullptr;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            for (auto &database : this->databases) {
                if (database->id == promotion.target && database->isRunning && !database->isCut)
                    target = database.get();
            }
            status = target != nullptr ? 200 : 409;
            this->requests.push_back(promotion);
            this->deployment.record.line(
                "platform: POST /promotion of %s, holder %s, token %lu, answered %d",
                promotion.target.c_str(), promotion.holder.c_str(), promotion.token, status);
        }
        sendAll(connection, "HTTP/1.1 " + std::to_string(status)
                                + (status == 200 ? " OK" : " Conflict")
                                + "\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
        if (target == nullptr)
            return;
        // A promotion takes effect some hundred ms after the call.
        sleepSeconds(0.3);
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (target->isPrimary || !target->isRunning || target->isCut || this->stopping)
            return;
        unsigned long newest = 0;
        for (auto &database : this->databases)
            newest = std::max(newest, database->term);
        target->term = newest + 1;
        target->isPrimary = true;
        this->deployment.record.line("database %s leads term %lu with %s", target->id.c_str(),
                                     target->term, target->received().text().c_str());
        if (this->promoted)
            this->promoted(*target);
        // The others follow in followNewestPrimary().
    }

    static std::size_t lengthOf(const std::string &buffer)
    {
        return std::strtoul(headerOf(buffer, "Content-Length").c_str(), nullptr, 10);
    }

    static std::string headerOf(const std::string &buffer, const std::string &header)
    {
        const auto at = buffer.find(header + ": ");
        if (at == std::string::npos)
            return "";
        const auto begin = at + header.size() + 2;
        return buffer.substr(begin, buffer.find("\r\n", begin) - begin);
    }

    Deployment &deployment;
    std::string name;
    unsigned sync;
    std::atomic<bool> stopping{false};
    std::atomic<int> openConnections{0};
    std::atomic<bool> platformStalls{false};
    int platformListener = -1;
    std::vector<int> fillers;
    std::vector<Promotion> requests;
    std::vector<std::thread> threads;
};

// A client's session with a pooler.
class Client
{
public:
    Client(Record &recordFile, std::string clientName)
        : record(recordFile)
        , name(std::move(clientName))
    {
    }
    ~Client() { this->disconnect(); }

    bool connect(const std::string &ip, int port, const std::string &database)
    {
        this->disconnect();
        this->connection = connectTo(ip, port, 1.0);
        if (this->connection < 0)
            return false;
        sendAll(this->connection, "STARTUP " + database + " " + this->name + "\r\n");
        const auto line = readLine(this->connection, this->buffer, 2.0);
        if (line && line->rfind("READY", 0) == 0)
            return true;
        this->disconnect();
        return false;
    }

    void disconnect()
    {
        if (this->connection >= 0)
            close(this->connection);
        this->connection = -1;
        this->buffer.clear();
    }

    // The lines of the answer before READY; empty if the connection ended or none came in time.
    std::vector<std::string> query(const std::string &id, const std::string &text,
                                   double timeout = 3.0)
    {
        std::vector<std::string> lines;
        if (this->connection < 0
            || !sendAll(this->connection, "QUERY " + id + " " + text + "\r\n")) {
            this->disconnect();
            return lines;
        }
        while (true) {
            const auto line = readLine(this->connection, this->buffer, timeout);
            if (!line) {
                this->disconnect();
                this->record.line("client %s: %s %s -> no answer", this->name.c_str(), id.c_str(),
                                  text.c_str());
                return {};
            }
            if (line->rfind("READY", 0) == 0)
                break;
            lines.push_back(*line);
        }
        std::string joined;
        for (const std::string &line : lines)
            joined += (joined.empty() ? "" : " | ") + line;
        this->record.line("client %s: %s %s -> %s", this->name.c_str(), id.c_str(), text.c_str(),
                          joined.c_str());
        return lines;
    }

    bool isConnected() const { return this->connection >= 0; }

    static bool succeeded(const std::vector<std::string> &lines)
    {
        return !lines.empty() && lines.back().rfind("COMPLETE ", 0) == 0;
    }

private:
    Record &record;
    std::string name;
    int connection = -1;
    std::string buffer;
};

} // namespace review
