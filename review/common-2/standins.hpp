// Stand-ins of this review: databases, the platform, an operator, clients and the processes of the
// project, all on loopback addresses. Written after PROTOCOL.md and DEPLOY.md; where these are
// silent the stand-ins do what a sound server, client or platform does.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The record of a run.

class Record
{
public:
    explicit Record(const std::string &file)
        : out(file)
    {
    }
    void add(const std::string &line)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const std::chrono::duration<double> at = Clock::now() - this->start;
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", at.count());
        this->out << time << line << "\n" << std::flush;
    }

private:
    std::mutex mutex;
    std::ofstream out;
    const Clock::time_point start = Clock::now();
};

inline void pause(milliseconds time) { std::this_thread::sleep_for(time); }

inline long long unixMs()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Sockets.

struct Address
{
    std::string host;
    int port = 0;
    std::string text() const { return this->host + ":" + std::to_string(this->port); }
};

inline Address addressOf(const std::string &text)
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), std::atoi(text.substr(colon + 1).c_str())};
}

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &to.sin_addr);
    return to;
}

inline void setTimeouts(int socket, milliseconds time)
{
    timeval limit{};
    limit.tv_sec = time.count() / 1000;
    limit.tv_usec = time.count() % 1000 * 1000;
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

inline int listenAt(const Address &address, int backlog = 256)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = socketAddress(address);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0
        || ::listen(listener, backlog) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

inline int connectTo(const Address &address, milliseconds timeout)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setTimeouts(socket, timeout);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in to = socketAddress(address);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads lines that end with CR LF.
class Lines
{
public:
    explicit Lines(int fromSocket)
        : socket(fromSocket)
    {
    }
    std::optional<std::string> next()
    {
        while (true) {
            const auto end = this->buffer.find("\r\n", this->scanned);
            if (end != std::string::npos) {
                std::string line = this->buffer.substr(0, end);
                this->buffer.erase(0, end + 2);
                this->scanned = 0;
                return line;
            }
            this->scanned = this->buffer.empty() ? 0 : this->buffer.size() - 1;
            char bytes[16384];
            const ssize_t count = ::recv(this->socket, bytes, sizeof bytes, 0);
            if (count <= 0)
                return std::nullopt;
            this->buffer.append(bytes, static_cast<std::size_t>(count));
        }
    }
    std::optional<std::string> exactly(std::size_t length)
    {
        while (this->buffer.size() < length) {
            char bytes[16384];
            const ssize_t count = ::recv(this->socket, bytes, sizeof bytes, 0);
            if (count <= 0)
                return std::nullopt;
            this->buffer.append(bytes, static_cast<std::size_t>(count));
        }
        std::string taken = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        this->scanned = 0;
        return taken;
    }

private:
    int socket;
    std::string buffer;
    std::size_t scanned = 0;
};

// HTTP.

struct Reply
{
    // 0 without a whole answer in time.
    int status = 0;
    std::string body;
    std::string location;
};

struct Head
{
    std::string first;
    std::map<std::string, std::string> fields;
};

inline std::optional<Head> readHead(Lines &lines)
{
    Head head;
    const auto first = lines.next();
    if (!first)
        return std::nullopt;
    head.first = *first;
    while (const auto line = lines.next()) {
        if (line->empty())
            return head;
        const auto colon = line->find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line->substr(0, colon);
        for (char &letter : name)
            letter = static_cast<char>(std::tolower(letter));
        const auto begin = line->find_first_not_of(' ', colon + 1);
        head.fields[name] = begin == std::string::npos ? "" : line->substr(begin);
    }
    return std::nullopt;
}

inline std::string httpRequest(const std::string &method, const std::string &path,
                               const Address &to, const std::string &body, bool keepAlive = false)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + to.text()
           + (keepAlive ? "" : "\r\nConnection: close") + "\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline Reply callOnce(const Address &to, const std::string &method, const std::string &path,
                      const std::string &body, milliseconds timeout)
{
    Reply reply;
    const int socket = connectTo(to, timeout);
    if (socket < 0)
        return reply;
    Lines lines(socket);
    if (sendAll(socket, httpRequest(method, path, to, body))) {
        if (const auto head = readHead(lines)) {
            const auto length = head->fields.find("content-length");
            const auto content =
                lines.exactly(length == head->fields.end() ? 0 : std::stoul(length->second));
            if (content && head->first.size() > 12) {
                reply.status = std::atoi(head->first.c_str() + 9);
                reply.body = *content;
                const auto location = head->fields.find("location");
                if (location != head->fields.end())
                    reply.location = location->second;
            }
        }
    }
    ::close(socket);
    return reply;
}

// A connection that stays open between calls.
class KeptConnection
{
public:
    explicit KeptConnection(Address address)
        : to(std::move(address))
        , socket(connectTo(this->to, milliseconds(1000)))
        , lines(this->socket)
    {
    }
    ~KeptConnection() { ::close(this->socket); }
    KeptConnection(const KeptConnection &) = delete;
    KeptConnection &operator=(const KeptConnection &) = delete;

    // The status of the answer; 0 for none.
    int call(const std::string &method, const std::string &path, const std::string &body)
    {
        if (!sendAll(this->socket, httpRequest(method, path, this->to, body, true)))
            return 0;
        const auto head = readHead(this->lines);
        if (!head || head->first.size() <= 12)
            return 0;
        const auto length = head->fields.find("content-length");
        if (length != head->fields.end())
            (void)this->lines.exactly(std::stoul(length->second));
        return std::atoi(head->first.c_str() + 9);
    }

private:
    const Address to;
    int socket;
    Lines lines;
};

// Follows a 307 twice.
inline Reply call(Address to, const std::string &method, const std::string &path,
                  const std::string &body, milliseconds timeout = milliseconds(1000))
{
    Reply reply;
    for (int hop = 0; hop < 3; ++hop) {
        reply = callOnce(to, method, path, body, timeout);
        if (reply.status != 307 || reply.location.rfind("http://", 0) != 0)
            return reply;
        const std::string rest = reply.location.substr(7);
        to = addressOf(rest.substr(0, rest.find('/')));
    }
    return reply;
}

// Calls one address after the other until one gives a 2xx, or until `tries` calls were made.
inline Reply callAny(const std::vector<Address> &addresses, const std::string &method,
                     const std::string &path, const std::string &body, std::size_t tries)
{
    Reply reply;
    for (std::size_t number = 0; number < tries; ++number) {
        reply = call(addresses[number % addresses.size()], method, path, body);
        if (reply.status / 100 == 2 || (reply.status >= 400 && reply.status < 408))
            return reply;
        pause(milliseconds(100));
    }
    return reply;
}

// A listener with a thread for each connection.
class Server
{
public:
    using Handler = std::function<void(int socket)>;

    Server(Address at, Handler connectionHandler, int queueLength = 256)
        : address(std::move(at))
        , handler(std::move(connectionHandler))
        , backlog(queueLength)
    {
    }
    ~Server() { this->stop(); }

    // While it is cut off, the opening packets of new connections are dropped. The kernel of the
    // sender sends them again after 1, 3 and 7 s. Needs a queue length of 0.
    void setCutOff(bool cutOff)
    {
        this->isCutOff = cutOff;
        if (!cutOff) {
            for (const int socket : this->fillers)
                ::close(socket);
            this->fillers.clear();
            return;
        }
        pause(milliseconds(50));
        // Fill the queue of connections that wait to be accepted.
        for (int number = 0; number < 2; ++number) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            const sockaddr_in to = socketAddress(this->address);
            (void)::connect(socket, reinterpret_cast<const sockaddr *>(&to), sizeof to);
            this->fillers.push_back(socket);
        }
    }

    bool start()
    {
        this->listener = listenAt(this->address, this->backlog);
        if (this->listener < 0)
            return false;
        this->isRunning = true;
        this->acceptor = std::thread([this] { this->acceptAll(); });
        return true;
    }

    // Ends as a process that is killed: connections are closed.
    void stop()
    {
        if (!this->isRunning.exchange(false))
            return;
        ::shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->listener);
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            for (const int socket : this->open)
                ::shutdown(socket, SHUT_RDWR);
        }
        for (std::thread &each : this->threads)
            each.join();
        this->threads.clear();
    }

    std::size_t openCount()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->open.size();
    }

private:
    void acceptAll()
    {
        while (this->isRunning) {
            pollfd waiting{this->listener, POLLIN, 0};
            if (this->isCutOff || ::poll(&waiting, 1, 20) <= 0) {
                if (this->isCutOff)
                    pause(milliseconds(5));
                continue;
            }
            if (this->isCutOff)
                continue;
            const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                if (this->isRunning)
                    pause(milliseconds(5));
                continue;
            }
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->open.insert(socket);
            this->threads.emplace_back([this, socket] {
                this->handler(socket);
                const std::lock_guard<std::mutex> inner(this->mutex);
                this->open.erase(socket);
                ::close(socket);
            });
        }
    }

    const Address address;
    Handler handler;
    const int backlog;
    int listener = -1;
    std::atomic<bool> isRunning{false};
    std::atomic<bool> isCutOff{false};
    std::vector<int> fillers;
    std::thread acceptor;
    std::mutex mutex;
    std::set<int> open;
    std::vector<std::thread> threads;
};

// Databases.

struct Position
{
    unsigned long term = 1;
    unsigned long number = 0;
    bool operator<(const Position &other) const
    {
        return this->term != other.term ? this->term < other.term : this->number < other.number;
    }
    std::string text() const
    {
        return std::to_string(this->term) + "." + std::to_string(this->number);
    }
};

struct Commit
{
    Position at;
    std::vector<std::pair<std::string, std::string>> writes;
};

class Group;

// One database. Its state is guarded by the mutex of its group.
class Database
{
public:
    Database(Group &ofGroup, std::string ownId, Address at, std::string inZone)
        : group(ofGroup)
        , id(std::move(ownId))
        , address(std::move(at))
        , zone(std::move(inZone))
        , server(this->address, [this](int socket) { this->serve(socket); })
    {
    }
    ~Database() { this->stop(); }

    // Starts the process. It announces itself as long as it runs.
    void start();
    // Ends it at once.
    void stop();

    Position last() const { return this->log.empty() ? Position{} : this->log.back().at; }

    Group &group;
    const std::string id;
    const Address address;
    const std::string zone;
    long long born = 0;
    unsigned long sequence = 0;
    std::string state = "ready";
    bool isRunning = false;
    bool isPrimary = false;
    // Receives nothing from the primary.
    bool isDeaf = false;
    // Its calls reach no control instance.
    bool isCutFromControl = false;
    // When an old primary that reaches the new one follows it.
    std::optional<Clock::time_point> demoteAt;
    unsigned long term = 1;
    std::vector<Commit> log;
    std::atomic<unsigned long> statements{0};

    std::string announcement();

private:
    struct Connection;
    void serve(int socket);
    std::string run(Connection &connection, const std::string &statement, const std::string &text,
                    std::unique_lock<std::mutex> &lock);
    std::string runItem(Connection &connection, const std::string &statement,
                        const std::string &verb, const std::string &item, const std::string &data,
                        std::unique_lock<std::mutex> &lock);
    std::string commit(std::vector<std::pair<std::string, std::string>> writes,
                       const std::string &signature, std::unique_lock<std::mutex> &lock);
    void beat();

    Server server;
    std::thread beats;
};

// A service: its databases and the platform's promotions.
class Group
{
public:
    Group(Record &runRecord, std::string groupName, std::vector<Address> controlAddresses)
        : record(runRecord)
        , name(std::move(groupName))
        , controls(std::move(controlAddresses))
        , ticker([this] {
            while (!this->isEnding) {
                pause(milliseconds(20));
                const std::lock_guard<std::mutex> lock(this->mutex);
                this->replicate();
            }
        })
    {
    }
    ~Group()
    {
        this->isEnding = true;
        this->ticker.join();
        for (const auto &each : this->databases)
            each->stop();
        if (this->promoter.joinable())
            this->promoter.join();
    }

    Database &add(const std::string &id, const Address &address, const std::string &zone)
    {
        this->databases.push_back(std::make_unique<Database>(*this, id, address, zone));
        return *this->databases.back();
    }

    Database *find(const std::string &id)
    {
        for (const auto &each : this->databases) {
            if (each->id == id)
                return each.get();
        }
        return nullptr;
    }

    // Under the mutex. The running primary of the newest term.
    Database *newestPrimary()
    {
        Database *newest = nullptr;
        for (const auto &each : this->databases) {
            if (each->isRunning && each->isPrimary
                && (newest == nullptr || newest->term < each->term))
                newest = each.get();
        }
        return newest;
    }

    // Under the mutex. Replicas receive what they lack.
    void replicate()
    {
        Database *primary = this->newestPrimary();
        if (primary == nullptr)
            return;
        for (const auto &each : this->databases) {
            if (each.get() == primary || !each->isRunning || each->isDeaf)
                continue;
            if (each->isPrimary) {
                if (!each->demoteAt)
                    each->demoteAt = Clock::now() + DemotionDelay;
                if (Clock::now() < *each->demoteAt)
                    continue;
                this->record.add("database " + each->id + ": with log " + each->last().text()
                                 + ", follows " + each->group.newestPrimary()->id);
            }
            each->demoteAt.reset();
            each->isPrimary = false;
            each->term = primary->term;
            each->log = primary->log;
        }
        this->changed.notify_all();
    }

    // Items that a primary wrote after another one led a later term.
    std::vector<std::string> writesAtOldPrimaries()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->oldPrimaryWrites;
    }

    // Under the mutex.
    void recordCommit(const Database &primary, const std::string &item)
    {
        if (this->newestPrimary() != &primary)
            this->oldPrimaryWrites.push_back(item);
    }

    // Under the mutex.
    unsigned holdersOf(const Position &position, const Database &except) const
    {
        unsigned holders = 0;
        for (const auto &each : this->databases) {
            if (each.get() == &except || !each->isRunning || each->isDeaf)
                continue;
            holders += each->last() < position ? 0 : 1;
        }
        return holders;
    }

    // POST /promotion: takes effect 300 ms later. 409 if the database does not run.
    int promote(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Database *chosen = this->find(id);
        if (chosen == nullptr || !chosen->isRunning)
            return 409;
        if (chosen == this->newestPrimary() || this->isPromoting)
            return 200;
        this->isPromoting = true;
        if (this->promoter.joinable())
            this->promoter.join();
        this->promoter = std::thread([this, chosen] {
            pause(milliseconds(300));
            const std::lock_guard<std::mutex> inner(this->mutex);
            this->isPromoting = false;
            if (!chosen->isRunning)
                return;
            unsigned long newest = 0;
            for (const auto &each : this->databases)
                newest = std::max(newest, each->term);
            chosen->term = newest + 1;
            chosen->isPrimary = true;
            this->record.add("platform: " + chosen->id + " leads term "
                             + std::to_string(chosen->term) + " with log " + chosen->last().text());
            if (this->onPromoted)
                this->onPromoted(*chosen);
            this->replicate();
        });
        return 200;
    }

    Record &record;
    const std::string name;
    const std::vector<Address> controls;
    unsigned syncReplicas = 0;
    // Each write that a database runs is recorded.
    bool recordsRuns = true;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::unique_ptr<Database>> databases;
    // Called under the mutex when a promotion takes effect, before replicas follow.
    std::function<void(Database &)> onPromoted;
    std::atomic<bool> isEnding{false};

private:
    // An old primary leads on for this long once it reaches the new one.
    static constexpr milliseconds DemotionDelay{1000};

    bool isPromoting = false;
    std::vector<std::string> oldPrimaryWrites;
    std::thread promoter;
    std::thread ticker;
};

struct Database::Connection
{
    bool isStarted = false;
    bool inTransaction = false;
    bool isReadOnly = false;
    bool hasFailed = false;
    unsigned long term = 0;
    std::vector<std::pair<std::string, std::string>> writes;
    // Name to whether it reads.
    std::map<std::string, bool> prepared;
};

inline void Database::start()
{
    {
        const std::lock_guard<std::mutex> lock(this->group.mutex);
        this->born = std::max(this->born + 1, unixMs());
        this->sequence = 0;
        this->state = "ready";
        this->isRunning = true;
        this->group.replicate();
    }
    if (!this->server.start())
        std::cerr << "cannot listen at " << this->address.text() << "\n";
    this->beats = std::thread([this] { this->beat(); });
}

inline void Database::stop()
{
    {
        const std::lock_guard<std::mutex> lock(this->group.mutex);
        if (!this->isRunning)
            return;
        this->isRunning = false;
        this->group.changed.notify_all();
    }
    this->server.stop();
    this->beats.join();
}

inline std::string Database::announcement()
{
    const std::lock_guard<std::mutex> lock(this->group.mutex);
    return "{\"service\":\"" + this->group.name + "\",\"address\":\"" + this->address.text()
           + "\",\"zone\":\"" + this->zone + "\",\"version\":\"v1\",\"slots\":3,\"state\":\""
           + this->state + "\",\"cold_remaining_ms\":0,\"database_role\":\""
           + (this->isPrimary ? "primary" : "replica")
           + "\",\"sequence\":" + std::to_string(++this->sequence)
           + ",\"born\":" + std::to_string(this->born) + "}";
}

inline void Database::beat()
{
    std::size_t next = 0;
    std::optional<Address> preferred;
    while (true) {
        bool wasPrimary = false;
        bool isCut = false;
        std::string wasState;
        {
            const std::lock_guard<std::mutex> lock(this->group.mutex);
            if (!this->isRunning || this->group.isEnding)
                return;
            wasPrimary = this->isPrimary;
            wasState = this->state;
            isCut = this->isCutFromControl;
        }
        if (isCut) {
            // One call after the other gets no answer within a second.
            pause(milliseconds(500));
            preferred.reset();
            continue;
        }
        const std::string body = this->announcement();
        for (std::size_t tries = 0; tries < this->group.controls.size(); ++tries) {
            const Address to = preferred ? *preferred : this->group.controls[next];
            preferred.reset();
            const Reply reply = call(to, "POST", "/api/Instances.Heartbeat/" + this->id, body);
            if (reply.status / 100 == 2) {
                const std::string key = "\"heartbeat_address\":\"";
                const auto begin = reply.body.find(key);
                if (begin != std::string::npos) {
                    const auto from = begin + key.size();
                    const std::string named =
                        reply.body.substr(from, reply.body.find('"', from) - from);
                    if (!named.empty())
                        preferred = addressOf(named);
                }
                break;
            }
            next = (next + 1) % this->group.controls.size();
        }
        const auto until = Clock::now() + milliseconds(1200);
        while (Clock::now() < until) {
            pause(milliseconds(20));
            const std::lock_guard<std::mutex> lock(this->group.mutex);
            if (!this->isRunning || this->group.isEnding)
                return;
            // A change is reported at once.
            if (this->isPrimary != wasPrimary || this->state != wasState)
                break;
        }
    }
}

inline void Database::serve(int socket)
{
    Connection connection;
    Lines lines(socket);
    while (const auto line = lines.next()) {
        std::istringstream words(*line);
        std::string word;
        words >> word;
        std::string output;
        if (word == "STARTUP") {
            std::string service;
            std::string caller;
            std::string expected;
            words >> service >> caller >> expected;
            if (service != this->group.name || (!expected.empty() && expected != this->id)) {
                sendAll(socket, "ERROR WRONGNODE " + this->id + "\r\n");
                return;
            }
            connection.isStarted = true;
            const std::lock_guard<std::mutex> lock(this->group.mutex);
            output = "READY I " + this->last().text() + "\r\n";
        } else if (word == "QUERY" && connection.isStarted) {
            std::string statement;
            words >> statement;
            std::string text;
            std::getline(words >> std::ws, text);
            std::unique_lock<std::mutex> lock(this->group.mutex);
            if (!this->isRunning)
                return;
            output = this->run(connection, statement, text, lock);
            if (!this->isRunning)
                return;
            const char *letter =
                connection.hasFailed ? "E" : connection.inTransaction ? "T" : "I";
            output += std::string("READY ") + letter + " " + this->last().text() + "\r\n";
        } else {
            return;
        }
        if (!sendAll(socket, output))
            return;
    }
}

inline std::string Database::run(Connection &connection, const std::string &statement,
                                 const std::string &text, std::unique_lock<std::mutex> &lock)
{
    std::istringstream words(text);
    std::string verb;
    std::string first;
    words >> verb;
    const auto fail = [&connection](const std::string &code) {
        connection.hasFailed = connection.inTransaction;
        return "ERROR " + code + "\r\n";
    };
    if (verb == "AFTER") {
        words >> first >> verb;
        Position minimum;
        const auto dot = first.find('.');
        minimum.term = std::stoul(first.substr(0, dot));
        minimum.number = std::stoul(first.substr(dot + 1));
        if (this->last() < minimum)
            return fail("LAGGING -");
        first.clear();
    }
    if (verb == "STATUS")
        return std::string("DATAROW ") + (this->isPrimary ? "primary " : "replica ")
               + std::to_string(this->term) + " " + this->last().text() + " 0 0 0 "
               + std::to_string(this->server.openCount()) + "\r\nCOMPLETE -\r\n";
    words >> first;
    if (verb == "STEPDOWN") {
        if (this->isPrimary && std::stoul(first) > this->term)
            this->isPrimary = false;
        return "COMPLETE -\r\n";
    }
    if (verb == "ROLLBACK") {
        connection.inTransaction = connection.hasFailed = false;
        connection.writes.clear();
        return "COMPLETE -\r\n";
    }
    if (connection.hasFailed && verb == "COMMIT") {
        connection.inTransaction = connection.hasFailed = false;
        connection.writes.clear();
        return "ERROR ABORTED -\r\n";
    }
    if (connection.hasFailed)
        return "ERROR MALFORMED -\r\n";
    if (verb == "BEGIN") {
        if (first != "READ" && !this->isPrimary)
            return "ERROR READONLY " + this->id + "\r\n";
        connection.inTransaction = true;
        connection.isReadOnly = first == "READ";
        connection.term = this->term;
        connection.writes.clear();
        return "COMPLETE -\r\n";
    }
    if (verb == "PREPARE") {
        std::string access;
        words >> access;
        connection.prepared[first] = access == "READ";
    }
    if (verb == "DISCARD")
        connection.prepared.clear();
    if (verb == "PREPARE" || verb == "DISCARD" || verb == "SET" || verb == "DEALLOCATE")
        return "COMPLETE -\r\n";
    std::string data;
    if (verb == "EXECUTE") {
        const auto found = connection.prepared.find(first);
        if (found == connection.prepared.end())
            return fail("NOSUCHNAME -");
        verb = found->second ? "READ" : "WRITE";
        words >> first;
    }
    words >> data;
    return this->runItem(connection, statement, verb, first, data, lock);
}

inline std::string Database::runItem(Connection &connection, const std::string &statement,
                                     const std::string &verb, const std::string &item,
                                     const std::string &data, std::unique_lock<std::mutex> &lock)
{
    ++this->statements;
    const std::string complete = "COMPLETE 7." + this->id + "." + statement + "\r\n";
    const bool hasLostLead = connection.inTransaction && !connection.isReadOnly
                             && (!this->isPrimary || connection.term != this->term);
    if (verb == "COMMIT") {
        if (!connection.inTransaction)
            return "ERROR MALFORMED -\r\n";
        connection.inTransaction = false;
        const auto writes = std::exchange(connection.writes, {});
        if (writes.empty())
            return complete;
        if (hasLostLead)
            return "ERROR READONLY " + this->id + "\r\n";
        return this->commit(writes, complete, lock);
    }
    if (hasLostLead || (verb == "WRITE" && (!this->isPrimary || connection.isReadOnly))) {
        connection.hasFailed = connection.inTransaction;
        return "ERROR READONLY " + this->id + "\r\n";
    }
    if (verb == "READ") {
        std::string value = "-";
        for (const Commit &each : this->log) {
            for (const auto &[key, content] : each.writes)
                value = key == item ? content : value;
        }
        for (const auto &[key, content] : connection.writes)
            value = key == item ? content : value;
        return "DATAROW " + value + "\r\n" + complete;
    }
    if (verb != "WRITE")
        return "ERROR MALFORMED -\r\n";
    if (!connection.inTransaction)
        return this->commit({{item, data}}, complete, lock);
    connection.writes.emplace_back(item, data);
    return complete;
}

// With `syncReplicas`, a commit is confirmed once so many replicas have received it.
inline std::string Database::commit(std::vector<std::pair<std::string, std::string>> writes,
                                    const std::string &signature,
                                    std::unique_lock<std::mutex> &lock)
{
    const Position at{this->term, this->last().number + 1};
    if (this->group.recordsRuns)
        this->group.record.add("database " + this->id + ": runs the write of " + writes[0].first
                               + " as " + at.text());
    this->group.recordCommit(*this, writes[0].first);
    this->log.push_back({at, std::move(writes)});
    this->group.replicate();
    while (this->isRunning && !this->group.isEnding
           && this->group.holdersOf(at, *this) < this->group.syncReplicas)
        this->group.changed.wait_for(lock, milliseconds(50));
    return signature;
}

// The platform's own interface.
class Platform
{
public:
    Platform(Record &runRecord, const Address &at, Group &ofGroup)
        : record(runRecord)
        , group(ofGroup)
        , server(at, [this](int socket) { this->serve(socket); }, 0)
    {
    }
    bool start() { return this->server.start(); }
    void setCutOff(bool cutOff) { this->server.setCutOff(cutOff); }

    // A fencing token of each call of a duty, in the order in which they arrived.
    std::vector<unsigned long> tokens()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->seen;
    }

private:
    void serve(int socket)
    {
        Lines lines(socket);
        const auto head = readHead(lines);
        if (!head)
            return;
        const auto length = head->fields.find("content-length");
        const auto body =
            lines.exactly(length == head->fields.end() ? 0 : std::stoul(length->second));
        if (!body)
            return;
        const std::string key = "\"instance_id\":\"";
        const auto begin = body->find(key);
        int status = 404;
        if (begin != std::string::npos && head->first.rfind("POST /promotion", 0) == 0) {
            const auto from = begin + key.size();
            const std::string id = body->substr(from, body->find('"', from) - from);
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                this->seen.push_back(std::stoul(head->fields.at("x-fencing-token")));
            }
            status = this->group.promote(id);
            this->record.add("platform: " + head->fields.at("x-duty-holder") + " asks with token "
                             + head->fields.at("x-fencing-token") + " to promote " + id + ": "
                             + std::to_string(status));
        }
        sendAll(socket, "HTTP/1.1 " + std::to_string(status)
                            + " Answer\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }

    Record &record;
    Group &group;
    std::mutex mutex;
    std::vector<unsigned long> seen;
    Server server;
};

// Clients.

struct Answer
{
    // Empty if the connection ended first.
    std::string outcome;
    std::string detail;
    std::vector<std::string> rows;
    char state = '?';
    bool isSuccess() const { return this->outcome == "COMPLETE"; }
};

class Session
{
public:
    Session(const Address &front, const std::string &database, milliseconds timeout)
        : socket(connectTo(front, timeout))
        , lines(this->socket)
    {
        if (this->socket < 0)
            return;
        const auto sent = sendAll(this->socket, "STARTUP " + database + "\r\n");
        const auto line = sent ? this->lines.next() : std::nullopt;
        this->opened = line && line->rfind("READY ", 0) == 0;
        this->greeting = line.value_or("");
    }
    ~Session()
    {
        if (this->socket >= 0)
            ::close(this->socket);
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    bool isOpen() const { return this->opened; }
    const std::string &answerToStart() const { return this->greeting; }

    bool send(const std::string &id, const std::string &text)
    {
        return sendAll(this->socket, "QUERY " + id + " " + text + "\r\n");
    }
    Answer receive()
    {
        Answer answer;
        while (const auto line = this->lines.next()) {
            std::istringstream words(*line);
            std::string word;
            words >> word;
            std::string rest;
            std::getline(words >> std::ws, rest);
            if (word == "DATAROW") {
                answer.rows.push_back(rest);
            } else if (word == "READY") {
                answer.state = rest.empty() ? '?' : rest[0];
                return answer;
            } else {
                answer.outcome = word;
                answer.detail = rest;
            }
        }
        return Answer{};
    }
    Answer query(const std::string &id, const std::string &text)
    {
        return this->send(id, text) ? this->receive() : Answer{};
    }

private:
    int socket;
    Lines lines;
    bool opened = false;
    std::string greeting;
};

// Processes of the project.

class Process
{
public:
    Process(std::string program, std::string settingsFile, std::string logFile)
        : path(std::move(program))
        , settings(std::move(settingsFile))
        , log(std::move(logFile))
    {
    }
    ~Process() { this->kill(); }

    void start()
    {
        this->id = ::fork();
        if (this->id != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        const char *path = std::getenv("PATH");
        const std::string pathEntry = std::string("PATH=") + (path ? path : "/usr/bin:/bin");
        const std::string settingsEntry = "RHUBARBWEIR_CONFIG=" + this->settings;
        char *const arguments[] = {const_cast<char *>(this->path.c_str()), nullptr};
        char *const environment[] = {const_cast<char *>(pathEntry.c_str()),
                                     const_cast<char *>(settingsEntry.c_str()), nullptr};
        ::execve(this->path.c_str(), arguments, environment);
        ::_exit(127);
    }
    void signal(int number) const
    {
        if (this->id > 0)
            ::kill(this->id, number);
    }
    bool isRunning()
    {
        if (this->id <= 0)
            return false;
        if (::waitpid(this->id, &this->status, WNOHANG) == this->id)
            this->id = 0;
        return this->id > 0;
    }
    void kill()
    {
        if (this->id <= 0)
            return;
        ::kill(this->id, SIGKILL);
        ::waitpid(this->id, &this->status, 0);
        this->id = 0;
    }
    // Resident memory, and the most that it was.
    long memoryKb() const { return this->statusKb("VmRSS:"); }
    long peakMemoryKb() const { return this->statusKb("VmHWM:"); }

    const std::string path;
    const std::string settings;
    const std::string log;
    pid_t id = 0;
    int status = 0;

private:
    long statusKb(const std::string &field) const
    {
        std::ifstream file("/proc/" + std::to_string(this->id) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.rfind(field, 0) == 0)
                return std::atol(line.c_str() + field.size());
        }
        return 0;
    }
};

// A small deployment: control instances with disks, poolers, one service and the platform.
class Deployment
{
public:
    struct Shape
    {
        unsigned controls = 3;
        unsigned poolers = 2;
        unsigned databases = 3;
        unsigned syncReplicas = 0;
        unsigned maxConnections = 44;
        // Of a machine without a disk, and of one with a disk.
        unsigned memoryMb = 182;
        unsigned controlMemoryMb = 260;
    };

    Deployment(Record &runRecord, std::string temporaryFolder, Shape deploymentShape)
        : shape(deploymentShape)
        , record(runRecord)
        , folder(std::move(temporaryFolder))
        , network("127." + std::to_string(16 + ::getpid() / 250 % 200) + "."
                  + std::to_string(1 + ::getpid() % 250) + ".")
        , base(this->freePorts())
        , group(runRecord, "svc1", this->controlAddresses())
        , platform(runRecord, {this->network + "200", this->base + 3}, this->group)
    {
        this->group.syncReplicas = this->shape.syncReplicas;
        for (unsigned number = 0; number < this->shape.controls; ++number)
            this->addProcess("rhubarb-fleet", this->controlHost(number), number, true);
        for (unsigned number = 0; number < this->shape.poolers; ++number)
            this->addProcess("rhubarb-pooler", this->poolerHost(number), number, false);
        for (unsigned number = 0; number < this->shape.databases; ++number)
            this->group.add("i-db" + std::to_string(number),
                            {this->network + std::to_string(100 + number), this->base + 4},
                            this->zone(number));
        this->group.databases[0]->isPrimary = true;
    }
    ~Deployment()
    {
        for (const auto &each : this->poolers)
            each->kill();
        for (const auto &each : this->controls)
            each->kill();
    }

    // False if the deployment did not get ready within 20 s.
    bool start()
    {
        if (!this->platform.start())
            return false;
        for (const auto &each : this->controls)
            each->start();
        for (const auto &each : this->poolers)
            each->start();
        for (const auto &each : this->group.databases)
            each->start();
        const Reply accepted = callAny(this->controlAddresses(), "POST",
                                       "/api/Configuration.Replace", this->configuration(7), 100);
        this->record.add("operator: version 7 is answered " + std::to_string(accepted.status));
        const auto until = Clock::now() + seconds(20);
        while (Clock::now() < until) {
            bool isReady = accepted.status == 200;
            for (unsigned number = 0; number < this->shape.poolers; ++number) {
                Session session(this->front(number), "db1", milliseconds(2000));
                isReady = isReady && session.isOpen()
                          && session.query("warm" + std::to_string(number), "WRITE warm 1")
                                 .isSuccess();
            }
            if (isReady)
                return true;
            pause(milliseconds(200));
        }
        return false;
    }

    std::string configuration(unsigned version) const
    {
        return "{\"version\":" + std::to_string(version)
               + ",\"routes\":[{\"name\":\"r1\",\"host\":\"db1\",\"path_prefix\":\"/\",\"kind\":"
                 "\"primary\",\"timeout_ms\":1000,\"target_latency_ms\":200,\"priority\":1,"
                 "\"service\":\"svc1\",\"max_attempts\":2},{\"name\":\"r2\",\"host\":\"db2\","
                 "\"path_prefix\":\"/\",\"kind\":\"read_your_writes\",\"timeout_ms\":1000,"
                 "\"target_latency_ms\":400,\"priority\":2,\"service\":\"svc1\",\"max_attempts\":2,"
                 "\"max_staleness_ms\":2500}],\"services\":[{\"name\":\"svc1\",\"health_path\":"
                 "\"/health\",\"max_connections\":"
               + std::to_string(this->shape.maxConnections)
               + ",\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":"
               + std::to_string(this->shape.syncReplicas)
               + "}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                 "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
                 "\"transaction_idle_ms\":3000}}";
    }

    std::vector<Address> controlAddresses() const
    {
        std::vector<Address> addresses;
        for (unsigned number = 0; number < this->shape.controls; ++number)
            addresses.push_back({this->controlHost(number), this->base});
        return addresses;
    }
    // After the first start of the whole system.
    void endBootstrap()
    {
        for (unsigned number = 0; number < this->controls.size(); ++number)
            this->writeSettings("rhubarb-fleet", this->controlHost(number), number, true, false);
        for (unsigned number = 0; number < this->poolers.size(); ++number)
            this->writeSettings("rhubarb-pooler", this->poolerHost(number), number, false, false);
    }

    // Another control instance with an empty disk, at a new address. It is not among the seeds.
    Process &addControl()
    {
        const auto number = static_cast<unsigned>(this->controls.size());
        this->addProcess("rhubarb-fleet", this->controlHost(number), number, true);
        this->writeSettings("rhubarb-fleet", this->controlHost(number), number, true, false);
        return *this->controls.back();
    }

    // The folder with the data of a control instance.
    std::string dataFolder(unsigned control) const
    {
        return this->folderOf("rhubarb-fleet", control) + "/data";
    }

    Address front(unsigned pooler) const { return {this->poolerHost(pooler), this->base + 1}; }
    std::string controlHost(unsigned number) const
    {
        return this->network + std::to_string(1 + number);
    }
    std::string poolerHost(unsigned number) const
    {
        return this->network + std::to_string(20 + number);
    }
    std::string zone(unsigned number) const
    {
        return std::string("zone-") + static_cast<char>('a' + number % 3);
    }
    Address spareAddress(unsigned number) const
    {
        return {this->network + std::to_string(210 + number), this->base};
    }

    const Shape shape;
    Record &record;
    const std::string folder;
    const std::string network;
    const int base;
    Group group;
    Platform platform;
    std::vector<std::unique_ptr<Process>> controls;
    std::vector<std::unique_ptr<Process>> poolers;

private:
    // The first of 24 ports that are free.
    int freePorts() const
    {
        for (int first = 20000 + ::getpid() % 4000; first < 32000; first += 24) {
            bool areFree = true;
            for (int port = first; port < first + 24 && areFree; ++port) {
                const int listener = listenAt({this->network + "1", port});
                areFree = listener >= 0;
                if (listener >= 0)
                    ::close(listener);
            }
            if (areFree)
                return first;
        }
        return 20000;
    }

    void addProcess(const std::string &program, const std::string &host, unsigned number,
                    bool isControl)
    {
        const std::string own = this->folderOf(program, number);
        ::mkdir(own.c_str(), 0755);
        this->writeSettings(program, host, number, isControl, true);
        auto process = std::make_unique<Process>("target/" + program, own + "/node.json",
                                                 own + "/log");
        (isControl ? this->controls : this->poolers).push_back(std::move(process));
    }

    std::string folderOf(const std::string &program, unsigned number) const
    {
        return this->folder + "/" + program + "-" + std::to_string(number);
    }

    void writeSettings(const std::string &program, const std::string &host, unsigned number,
                       bool isControl, bool bootstrap)
    {
        const std::string own = this->folderOf(program, number);
        std::string seeds;
        for (unsigned seed = 0; seed < this->shape.controls; ++seed)
            seeds += (seed == 0 ? "\"" : ",\"") + this->controlHost(seed) + ":"
                     + std::to_string(this->base) + "\"";
        const std::string at = "\"" + host + ":";
        std::ofstream settings(own + "/node.json");
        settings << "{\"node_name\":\"" << program << "-" << number
                 << "\",\"role\":\"r\",\"machine_class\":\"front\",\"serves\":["
                 << (isControl ? "\"control\"" : "\"front\"") << "],\"ip_address\":\"" << host
                 << "\",\"zone\":\"" << this->zone(number)
                 << "\",\"region\":\"r\",\"zones\":{\"zone-a\":\"r\",\"zone-b\":\"r\",\"zone-c\":"
                    "\"r\"},\"listen_addresses\":{\"front\":"
                 << at << this->base + 1 << "\",\"ready\":" << at << this->base + 2
                 << "\",\"control\":" << at << this->base << "\"},\"internal_port_range\":["
                 << this->base + 5 << "," << this->base + 20 << "],\"seed_nodes\":[" << seeds
                 << "],\"bootstrap\":" << (bootstrap ? "true" : "false")
                 << ",\"in_tolerance\":" << (isControl ? "true" : "false")
                 << ",\"limits\":{\"cpu_share\":0.17,\"cpu_cores\":1,\"memory_mb\":"
                 << (isControl ? this->shape.controlMemoryMb : this->shape.memoryMb)
                 << ",\"file_descriptors\":2940,\"link_mbps\":700.0,\"disk_mb\":"
                 << (isControl ? 64 : 0) << "},"
                 << (isControl ? "\"data_directory\":\"" + own + "/data\"," : "")
                 << "\"discovery\":\"registry\",\"entry\":\"virtual_ip\",\"heartbeat_interval_ms\":"
                    "1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\","
                    "\"sql\"],\"fault_tolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},"
                    "\"bounds\":{\"seed_lag_s\":3,\"address_reuse_s\":2,\"contact_ms\":4000,"
                    "\"ack_timeout_ms\":5000,\"catch_up_s\":4,\"drain_ms\":7000,\"grace_s\":6,"
                    "\"loss_slack_ms\":200,\"config_deadline_ms\":3000,\"regression_slack_ms\":250,"
                    "\"max_stretch_ms\":12000,\"recovery_s\":12,\"fencing_required\":false,"
                    "\"thaw_slack_ms\":300},\"config_mode\":\"highest\",\"cloud_api\":{\"address\":"
                    "\""
                 << this->network << "200:" << this->base + 3
                 << "\",\"rate_per_s\":50.0,\"duties\":[\"promotion\"],\"duty_per_s\":50.0}}\n";
    }
};

} // namespace review
