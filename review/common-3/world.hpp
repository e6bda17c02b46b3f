// Stand-ins for the scripts of the third review: the databases of one service, the platform, the
// operator and clients; and the project's own programs as separate processes. All speak as the
// users' pages have it, on loopback addresses and the real clock.
#pragma once

#include <arpa/inet.h>
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <time.h>
#include <unistd.h>
#include <vector>

namespace world {

// Time and record.

inline double clockNow()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

inline const double &startTime()
{
    static const double start = clockNow();
    return start;
}

inline double now() { return clockNow() - startTime(); }

inline void sleepFor(double seconds)
{
    if (seconds > 0)
        usleep(static_cast<useconds_t>(seconds * 1e6));
}

inline void sleepUntil(double at) { sleepFor(at - now()); }

inline FILE *&recordFile()
{
    static FILE *file = nullptr;
    return file;
}

__attribute__((format(printf, 1, 2))) inline void record(const char *format, ...)
{
    static std::mutex mutex;
    const std::lock_guard<std::mutex> lock(mutex);
    for (FILE *file : {recordFile(), stdout}) {
        if (file == nullptr)
            continue;
        std::fprintf(file, "%8.3f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file, format, arguments);
        va_end(arguments);
        std::fputc('\n', file);
        std::fflush(file);
    }
}

// Only in the record, for what happens often.
__attribute__((format(printf, 1, 2))) inline void note(const char *format, ...)
{
    static std::mutex mutex;
    const std::lock_guard<std::mutex> lock(mutex);
    if (recordFile() == nullptr)
        return;
    std::fprintf(recordFile(), "%8.3f ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile(), format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile());
}

inline double uniform(double low, double high)
{
    static thread_local std::mt19937 random(std::random_device{}());
    return std::uniform_real_distribution<double>(low, high)(random);
}

// Sockets.

inline sockaddr_in endpoint(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline std::pair<std::string, int> splitAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};
}

inline int listenOn(const std::string &ip, int port, int backlog = 512)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = endpoint(ip, port);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(listener, backlog) != 0) {
        record("cannot listen on %s:%d: %s", ip.c_str(), port, std::strerror(errno));
        close(listener);
        return -1;
    }
    return listener;
}

inline void setTimeout(int file, double seconds)
{
    timeval time{};
    time.tv_sec = static_cast<time_t>(seconds);
    time.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(time.tv_sec)) * 1e6);
    setsockopt(file, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    setsockopt(file, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
}

inline int dial(const std::string &ip, int port, double timeout)
{
    const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setTimeout(file, timeout);
    const int one = 1;
    setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const sockaddr_in address = endpoint(ip, port);
    if (connect(file, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(file);
        return -1;
    }
    return file;
}

inline bool sendAll(int file, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(file, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

class Reader
{
public:
    explicit Reader(int source)
        : file(source)
    {
    }
    // False at the end, after an error or a timeout of the socket.
    bool line(std::string &text)
    {
        for (;;) {
            const auto end = this->buffer.find("\r\n");
            if (end != std::string::npos) {
                text = this->buffer.substr(0, end);
                this->buffer.erase(0, end + 2);
                return true;
            }
            if (!this->fill())
                return false;
        }
    }
    bool bytes(std::size_t count, std::string &text)
    {
        while (this->buffer.size() < count) {
            if (!this->fill())
                return false;
        }
        text = this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return true;
    }

private:
    bool fill()
    {
        char chunk[8192];
        const ssize_t count = recv(this->file, chunk, sizeof chunk, 0);
        if (count <= 0)
            return false;
        this->buffer.append(chunk, static_cast<std::size_t>(count));
        return true;
    }
    int file;
    std::string buffer;
};

inline std::vector<std::string> words(const std::string &text)
{
    std::vector<std::string> result;
    std::istringstream stream(text);
    std::string word;
    while (stream >> word)
        result.push_back(word);
    return result;
}

// HTTP.

struct HttpAnswer
{
    int status = 0;
    std::string location;
    std::string body;
};

inline bool readHttp(Reader &reader, std::string &first, std::map<std::string, std::string> &headers,
                     std::string &body)
{
    if (!reader.line(first))
        return false;
    std::string line;
    while (reader.line(line) && !line.empty()) {
        const auto colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        const auto value = line.find_first_not_of(' ', colon + 1);
        headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    const auto length = headers.find("content-length");
    return length == headers.end()
           || reader.bytes(static_cast<std::size_t>(std::atol(length->second.c_str())), body);
}

inline HttpAnswer callOnce(const std::string &address, const std::string &method,
                           const std::string &path, const std::string &body, double timeout)
{
    HttpAnswer answer;
    const auto [ip, port] = splitAddress(address);
    const int file = dial(ip, port, timeout);
    if (file < 0)
        return answer;
    std::ostringstream request;
    request << method << ' ' << path << " HTTP/1.1\r\nHost: " << address
            << "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
            << body.size() << "\r\n\r\n"
            << body;
    Reader reader(file);
    std::string first;
    std::map<std::string, std::string> headers;
    if (sendAll(file, request.str()) && readHttp(reader, first, headers, answer.body)) {
        const auto parts = words(first);
        answer.status = parts.size() > 1 ? std::atoi(parts[1].c_str()) : 0;
        answer.location = headers["location"];
    }
    close(file);
    return answer;
}

// Follows a 307 twice.
inline HttpAnswer call(std::string address, const std::string &method, std::string path,
                       const std::string &body, double timeout = 1)
{
    HttpAnswer answer;
    for (int hop = 0; hop < 3; ++hop) {
        answer = callOnce(address, method, path, body, timeout);
        if (answer.status != 307 || answer.location.rfind("http://", 0) != 0)
            return answer;
        const std::string rest = answer.location.substr(7);
        const auto slash = rest.find('/');
        address = rest.substr(0, slash);
        path = rest.substr(slash);
    }
    return answer;
}

// Commits.

struct Commit
{
    std::string operation;
    // Items and their data.
    std::vector<std::pair<std::string, std::string>> writes;
    std::string database;
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    double committedAt = 0;
    // When its client sent it.
    double sentAt = 0;
    double ackedAt = -1;
    // By a promote, or as the old primary stepped down.
    bool wasRolledBack = false;
};

// A read that ran: what it lacks is judged at the end.
struct ReadRun
{
    std::string operation;
    std::string database;
    double at = 0;
    std::string value;
    std::set<int> lacked;
};

// A statement of a client that a database ran, with the session values and the shape of the
// prepared statement under which it ran.
struct Run
{
    std::string operation;
    std::string database;
    std::string verb;
    std::string values;
    std::string shape;
    std::uint64_t connection = 0;
    char stateBefore = 'I';
    double at = 0;
};

struct Term
{
    std::uint64_t term = 0;
    std::string database;
    double since = 0;
};

class Group;

// One database.
class Database
{
public:
    Database(Group &owner, std::string name, std::string address, std::string place)
        : group(owner)
        , id(std::move(name))
        , ip(std::move(address))
        , zone(std::move(place))
    {
    }

    Group &group;
    const std::string id;
    const std::string ip;
    const std::string zone;
    static constexpr int Port = 8080;
    // Guarded by the group's mutex.
    bool isUp = false;
    bool isPrimary = false;
    bool isDraining = false;
    bool isDeaf = false;
    std::uint64_t term = 0;
    std::uint64_t knownTerm = 1;
    long long born = 0;
    std::uint64_t sequence = 0;
    std::vector<int> log;
    std::set<int> connections;
    int listener = -1;
    int busy = 0;
    int waiting = 0;
    std::uint64_t run = 0;
    std::condition_variable slotFree;
    std::condition_variable announce;
    bool hasNews = false;

    // What becomes of the answer to a statement that ran: 'l' it is lost with its connection, 's'
    // the connection falls silent, 'c' it is cut off, 'f' FAILED, 't' TIMEOUT; 0 it arrives.
    std::function<char(const std::string &verb)> fate = [](const std::string &) { return '\0'; };
    // Time that a statement takes, in seconds.
    std::function<double()> work = [] { return uniform(0.001, 0.008); };

    void start();
    // Without a word.
    void crash();
    std::string position(std::size_t count) const;

private:
    void acceptLoop(int accepting, std::uint64_t thisRun);
    void serve(int file, std::uint64_t thisRun);
    void heartbeats(std::uint64_t thisRun);
    bool takeSlot(std::unique_lock<std::mutex> &lock, std::uint64_t thisRun);
    void freeSlot();
};

// A service: its databases, and what clients and databases saw.
class Group
{
public:
    std::mutex mutex;
    std::string service;
    std::vector<std::shared_ptr<Database>> databases;
    std::vector<std::string> controls;
    int slots = 3;
    int queue = 24;
    int maxConnections = 44;
    int syncReplicas = 0;
    double heartbeatInterval = 1.2;
    double promoteTime = 0.3;
    std::vector<Commit> commits;
    std::vector<ReadRun> reads;
    std::vector<Run> runs;
    std::vector<Term> terms;
    std::map<std::string, int> runsOfWrites;
    // When clients sent what may write, by id.
    std::map<std::string, double> sentAt;
    std::atomic<bool> isOver{false};

    Database &add(const std::string &id, const std::string &ip, const std::string &zone)
    {
        this->databases.push_back(std::make_shared<Database>(*this, id, ip, zone));
        return *this->databases.back();
    }
    Database *find(const std::string &id)
    {
        for (const auto &database : this->databases) {
            if (database->id == id)
                return database.get();
        }
        return nullptr;
    }
    // The leader of the newest term, also if it is down.
    Database *leader()
    {
        return this->terms.empty() ? nullptr : this->find(this->terms.back().database);
    }
    void firstPrimary(Database &database)
    {
        database.isPrimary = true;
        database.term = 1;
        this->terms.push_back({1, database.id, now()});
    }
    // The log of `to` becomes that of `from`. Entries that only `to` had are rolled back.
    void follow(Database &to, const Database &from)
    {
        const std::set<int> kept(from.log.begin(), from.log.end());
        for (const int entry : to.log) {
            if (kept.count(entry) == 0)
                this->commits[static_cast<std::size_t>(entry)].wasRolledBack = true;
        }
        to.log = from.log;
        to.knownTerm = std::max(to.knownTerm, from.knownTerm);
    }
    int commit(Database &at, const std::string &operation,
               const std::vector<std::pair<std::string, std::string>> &writes)
    {
        Commit commit;
        commit.operation = operation;
        commit.writes = writes;
        commit.database = at.id;
        const auto sent = this->sentAt.find(operation);
        commit.sentAt = sent == this->sentAt.end() ? 0 : sent->second;
        commit.term = at.term;
        commit.number =
            at.log.empty() ? 1 : this->commits[static_cast<std::size_t>(at.log.back())].number + 1;
        commit.committedAt = now();
        const int index = static_cast<int>(this->commits.size());
        this->commits.push_back(commit);
        at.log.push_back(index);
        ++this->runsOfWrites[operation];
        for (const auto &other : this->databases) {
            if (other.get() != &at && other->isUp && !other->isPrimary && !other->isDeaf
                && other->knownTerm <= at.knownTerm)
                this->follow(*other, at);
        }
        return index;
    }
    void stepDown(Database &database, const char *cause)
    {
        if (!database.isPrimary)
            return;
        database.isPrimary = false;
        database.hasNews = true;
        database.announce.notify_all();
        Database *current = this->leader();
        if (current != nullptr && current != &database)
            this->follow(database, *current);
        record("database %s is a replica now (%s)", database.id.c_str(), cause);
    }
    // Carried out by the platform: the database leads the next term with what it has received.
    void promote(const std::shared_ptr<Group> &self, const std::string &id)
    {
        Database *next = this->find(id);
        if (next == nullptr || !next->isUp || next == this->leader())
            return;
        Database *former = this->leader();
        const std::uint64_t term = this->terms.back().term + 1;
        next->isPrimary = true;
        next->term = term;
        next->knownTerm = term;
        next->hasNews = true;
        next->announce.notify_all();
        this->terms.push_back({term, id, now()});
        record("promote takes effect: %s leads term %llu", id.c_str(),
               static_cast<unsigned long long>(term));
        for (const auto &other : this->databases) {
            if (other.get() != next && other->isUp && !other->isPrimary && !other->isDeaf)
                this->follow(*other, *next);
        }
        if (former == nullptr || !former->isPrimary)
            return;
        // The old primary goes on until a second after it can reach the new one.
        const std::string old = former->id;
        std::thread([self, old, term] {
            sleepFor(1);
            const std::lock_guard<std::mutex> lock(self->mutex);
            Database *database = self->find(old);
            if (database->isUp && database->isPrimary && database->term < term)
                self->stepDown(*database, "reached the new primary");
        }).detach();
    }
    void sending(const std::string &operation)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sentAt[operation] = now();
    }
    void setDeaf(Database &database, bool isDeaf)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        database.isDeaf = isDeaf;
        Database *current = this->leader();
        if (!isDeaf && database.isUp && !database.isPrimary && current != nullptr && current->isUp)
            this->follow(database, *current);
    }
    // Whether enough replicas have received the entry.
    bool isConfirmed(const Database &at, int entry) const
    {
        int holders = 0;
        for (const auto &other : this->databases) {
            if (other.get() != &at && other->isUp
                && std::find(other->log.begin(), other->log.end(), entry) != other->log.end())
                ++holders;
        }
        return holders >= this->syncReplicas;
    }
    void acked(const std::string &operation)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (auto commit = this->commits.rbegin(); commit != this->commits.rend(); ++commit) {
            if (commit->operation == operation) {
                commit->ackedAt = now();
                return;
            }
        }
    }
    bool isAcked(int entry) const
    {
        return this->commits[static_cast<std::size_t>(entry)].ackedAt >= 0;
    }
};

inline std::string Database::position(std::size_t count) const
{
    if (count == 0)
        return "1.0";
    const Commit &last = this->group.commits[static_cast<std::size_t>(this->log[count - 1])];
    return std::to_string(last.term) + "." + std::to_string(last.number);
}

inline void Database::start()
{
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    std::uint64_t thisRun = 0;
    int accepting = -1;
    {
        const std::lock_guard<std::mutex> lock(this->group.mutex);
        this->born = static_cast<long long>(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
        this->sequence = 0;
        this->isUp = true;
        this->isDraining = false;
        this->busy = 0;
        this->waiting = 0;
        thisRun = ++this->run;
        Database *leader = this->group.leader();
        if (leader != nullptr && leader != this) {
            this->isPrimary = false;
            if (leader->isUp)
                this->group.follow(*this, *leader);
        }
        this->listener = listenOn(this->ip, Port);
        accepting = this->listener;
    }
    if (accepting < 0)
        std::exit(2);
    std::thread([this, accepting, thisRun] { this->acceptLoop(accepting, thisRun); }).detach();
    std::thread([this, thisRun] { this->heartbeats(thisRun); }).detach();
}

inline void Database::crash()
{
    const std::lock_guard<std::mutex> lock(this->group.mutex);
    this->isUp = false;
    ++this->run;
    shutdown(this->listener, SHUT_RDWR);
    close(this->listener);
    for (const int file : this->connections)
        shutdown(file, SHUT_RDWR);
    this->slotFree.notify_all();
    this->announce.notify_all();
}

inline void Database::acceptLoop(int accepting, std::uint64_t thisRun)
{
    for (;;) {
        const int file = accept4(accepting, nullptr, nullptr, SOCK_CLOEXEC);
        if (file < 0)
            return;
        const int one = 1;
        setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const std::lock_guard<std::mutex> lock(this->group.mutex);
        if (!this->isUp || this->run != thisRun) {
            close(file);
            return;
        }
        this->connections.insert(file);
        std::thread([this, file, thisRun] {
            this->serve(file, thisRun);
            const std::lock_guard<std::mutex> guard(this->group.mutex);
            this->connections.erase(file);
            close(file);
        }).detach();
    }
}

inline bool Database::takeSlot(std::unique_lock<std::mutex> &lock, std::uint64_t thisRun)
{
    if (this->waiting >= this->group.queue)
        return false;
    ++this->waiting;
    this->slotFree.wait(lock, [&] { return this->run != thisRun || this->busy < this->group.slots; });
    if (this->run != thisRun)
        return false;
    --this->waiting;
    ++this->busy;
    const double time = this->work();
    lock.unlock();
    sleepFor(time);
    lock.lock();
    if (this->run == thisRun)
        this->freeSlot();
    return this->run == thisRun;
}

inline void Database::freeSlot()
{
    --this->busy;
    this->slotFree.notify_one();
}

inline void Database::serve(int file, std::uint64_t thisRun)
{
    Reader reader(file);
    std::string line;
    if (!reader.line(line))
        return;
    const auto opening = words(line);
    const bool isRight = opening.size() >= 3 && opening[0] == "STARTUP"
                         && opening[1] == this->group.service
                         && (opening.size() < 4 || opening[3] == this->id);
    if (!isRight) {
        sendAll(file, "ERROR WRONGNODE " + this->id + "\r\n");
        return;
    }
    {
        std::unique_lock<std::mutex> lock(this->group.mutex);
        if (static_cast<int>(this->connections.size()) > this->group.maxConnections) {
            lock.unlock();
            sendAll(file, "ERROR TOOMANY -\r\n");
            return;
        }
        if (this->run != thisRun)
            return;
        const std::string ready = "READY I " + this->position(this->log.size()) + "\r\n";
        lock.unlock();
        if (!sendAll(file, ready))
            return;
    }
    char state = 'I';
    bool isReadOnly = false;
    std::uint64_t beganIn = 0;
    std::vector<std::pair<std::string, std::string>> writes;
    std::map<std::string, std::pair<bool, std::string>> prepared;
    std::map<std::string, std::string> values;
    std::string shape;
    static std::atomic<std::uint64_t> signatures{0};
    static std::atomic<std::uint64_t> lastConnection{0};
    const std::uint64_t connection = ++lastConnection;
    while (reader.line(line)) {
        if (line == "TERMINATE")
            return;
        if (line.rfind("QUERY ", 0) != 0)
            return;
        const auto idEnd = line.find(' ', 6);
        const std::string operation = line.substr(6, idEnd - 6);
        std::string text = idEnd == std::string::npos ? "" : line.substr(idEnd + 1);
        std::string rows;
        std::string signature = "-";
        std::string error;
        std::unique_lock<std::mutex> lock(this->group.mutex);
        int committed = -1;
        std::string after;
        if (text.rfind("AFTER ", 0) == 0) {
            const auto end = text.find(' ', 6);
            after = text.substr(6, end - 6);
            text = text.substr(end + 1);
        }
        const auto parts = words(text);
        const std::string verb = parts.empty() ? "" : parts[0];
        std::string item = parts.size() > 1 ? parts[1] : "";
        std::string data = parts.size() > 2 ? parts[2] : "";
        bool isRead = verb == "READ";
        bool isWrite = verb == "WRITE";
        shape.clear();
        const char stateBefore = state;
        if (verb == "EXECUTE") {
            const auto found = prepared.find(item);
            if (found == prepared.end()) {
                error = "NOSUCHNAME -";
            } else {
                isRead = found->second.first;
                isWrite = !isRead;
                shape = found->second.second;
                item = data;
                data = parts.size() > 3 ? parts[3] : "";
            }
        }
        const auto lacks = [&] {
            if (after.empty() || after.substr(after.find('.') + 1) == "0")
                return false;
            for (const int entry : this->log) {
                const Commit &commit = this->group.commits[static_cast<std::size_t>(entry)];
                if (std::to_string(commit.term) + "." + std::to_string(commit.number) == after)
                    return false;
            }
            return true;
        };
        const bool lostLead = state == 'T' && !isReadOnly && (!this->isPrimary || this->term != beganIn);
        const bool usesSlot = isRead || isWrite || verb == "COMMIT" || verb == "STATUS";
        if (error.empty() && state == 'E' && verb != "COMMIT" && verb != "ROLLBACK")
            error = "MALFORMED -";
        if (error.empty() && usesSlot && !this->takeSlot(lock, thisRun)) {
            if (this->run != thisRun)
                return;
            error = "BUSY -";
        }
        const bool loses =
            lostLead || (state == 'T' && !isReadOnly && (!this->isPrimary || this->term != beganIn));
        if (!error.empty()) {
            if (state == 'T' && error.rfind("BUSY", 0) != 0)
                state = 'E';
        } else if (verb == "BEGIN") {
            isReadOnly = parts.size() > 1;
            if (!isReadOnly && !this->isPrimary)
                error = "READONLY " + this->id;
            else if (lacks())
                error = "LAGGING " + this->id;
            else
                state = 'T';
            beganIn = this->term;
            writes.clear();
        } else if (verb == "COMMIT" || verb == "ROLLBACK") {
            if (verb == "COMMIT" && state == 'E') {
                error = "ABORTED -";
            } else if (verb == "COMMIT" && loses && !writes.empty()) {
                error = "READONLY " + this->id;
            } else if (verb == "COMMIT") {
                if (!writes.empty())
                    committed = this->group.commit(*this, operation, writes);
                signature = "s" + this->id + "." + std::to_string(++signatures);
            }
            state = 'I';
            writes.clear();
        } else if (isRead || isWrite) {
            if (loses || (isWrite && (isReadOnly || !this->isPrimary) && state == 'T')
                || (isWrite && state == 'I' && !this->isPrimary)) {
                error = "READONLY " + this->id;
                if (state == 'T')
                    state = 'E';
            } else if (state == 'I' && lacks()) {
                error = "LAGGING " + this->id;
            } else if (isRead) {
                std::string value = "none";
                for (const int entry : this->log) {
                    const Commit &commit = this->group.commits[static_cast<std::size_t>(entry)];
                    for (const auto &[name, written] : commit.writes) {
                        if (name == item)
                            value = written;
                    }
                }
                for (const auto &[name, written] : writes) {
                    if (name == item)
                        value = written;
                }
                ReadRun run{operation, this->id, now(), value, {}};
                const std::set<int> held(this->log.begin(), this->log.end());
                for (std::size_t entry = 0; entry < this->group.commits.size(); ++entry) {
                    const Commit &commit = this->group.commits[entry];
                    if (commit.ackedAt >= 0 && !commit.wasRolledBack
                        && held.count(static_cast<int>(entry)) == 0)
                        run.lacked.insert(static_cast<int>(entry));
                }
                this->group.reads.push_back(run);
                rows = "DATAROW " + value + "\r\n";
                signature = "s" + this->id + "." + std::to_string(++signatures);
            } else {
                if (state == 'T')
                    writes.emplace_back(item, data);
                else
                    committed = this->group.commit(*this, operation, {{item, data}});
                signature = "s" + this->id + "." + std::to_string(++signatures);
            }
        } else if (verb == "PREPARE") {
            prepared[item] = {data == "READ", parts.size() > 3 ? parts[3] : ""};
        } else if (verb == "SET") {
            values[item] = data;
        } else if (verb == "DISCARD") {
            prepared.clear();
            values.clear();
        } else if (verb == "STEPDOWN") {
            const std::uint64_t term = std::strtoull(item.c_str(), nullptr, 10);
            this->knownTerm = std::max(this->knownTerm, term);
            if (this->isPrimary && this->term < term)
                this->group.stepDown(*this, "told to step down");
        } else if (verb == "PAUSE") {
            this->isDeaf = true;
        } else if (verb == "RESUME") {
            this->isDeaf = false;
        }
        if (verb == "STATUS" || verb == "STEPDOWN" || verb == "PAUSE" || verb == "RESUME") {
            if (error.empty())
                rows = "DATAROW " + std::string(this->isPrimary ? "primary " : "replica ")
                       + std::to_string(this->knownTerm) + " " + this->position(this->log.size())
                       + " " + std::to_string(this->isPrimary ? this->term : 0) + " 0 "
                       + std::to_string(this->busy) + " "
                       + std::to_string(this->connections.size()) + "\r\n";
        }
        // Confirmed once enough replicas have received it.
        const double waitsUntil = now() + 3;
        while (committed >= 0 && this->run == thisRun && !this->group.isConfirmed(*this, committed)) {
            if (now() > waitsUntil || !this->isPrimary) {
                error = "TIMEOUT " + this->id;
                signature = "-";
                break;
            }
            lock.unlock();
            sleepFor(0.005);
            lock.lock();
        }
        if (signature != "-") {
            Run ran{operation, this->id, verb, "", shape, connection, stateBefore, now()};
            for (const auto &[name, value] : values)
                ran.values += name + "=" + value + ";";
            this->group.runs.push_back(ran);
        }
        std::string answer = rows;
        if (error.empty())
            answer += "COMPLETE " + signature + "\r\n";
        else
            answer = "ERROR " + error + "\r\n";
        answer += std::string("READY ") + state + " " + this->position(this->log.size()) + "\r\n";
        const bool isHere = this->run == thisRun;
        const char fate = usesSlot || verb == "BEGIN" || verb == "PREPARE" || verb == "SET"
                                  || verb == "ROLLBACK"
                              ? this->fate(verb)
                              : '\0';
        lock.unlock();
        if (fate == 'l')
            return;
        if (fate == 's') {
            while (reader.line(line))
                continue;
            return;
        }
        if (fate == 'c') {
            sendAll(file, answer.substr(0, answer.size() / 2));
            return;
        }
        if ((fate == 'f' || fate == 't') && (isRead || isWrite || verb == "COMMIT") && error.empty()) {
            if (state == 'T')
                state = 'E';
            answer = std::string("ERROR ") + (fate == 'f' ? "FAILED -" : "TIMEOUT -") + "\r\nREADY "
                     + state + " " + answer.substr(answer.rfind(' ') + 1);
        }
        if (!isHere || !sendAll(file, answer))
            return;
    }
}

inline void Database::heartbeats(std::uint64_t thisRun)
{
    std::size_t next = std::hash<std::string>()(this->id);
    for (;;) {
        std::ostringstream body;
        {
            const std::lock_guard<std::mutex> lock(this->group.mutex);
            if (this->run != thisRun || this->group.isOver)
                return;
            this->hasNews = false;
            body << "{\"service\":\"" << this->group.service << "\",\"address\":\"" << this->ip << ':'
                 << Port << "\",\"zone\":\"" << this->zone
                 << "\",\"version\":\"v1\",\"slots\":" << this->group.slots << ",\"state\":\""
                 << (this->isDraining ? "draining" : "ready")
                 << "\",\"cold_remaining_ms\":0,\"database_role\":\""
                 << (this->isPrimary ? "primary" : "replica") << "\",\"sequence\":" << ++this->sequence
                 << ",\"born\":" << this->born << "}";
        }
        const std::string path = "/api/Instances.Heartbeat/" + this->id;
        for (std::size_t attempt = 0; attempt < this->group.controls.size(); ++attempt) {
            const std::string &address =
                this->group.controls[next % this->group.controls.size()];
            if (call(address, "POST", path, body.str()).status == 200)
                break;
            ++next;
        }
        std::unique_lock<std::mutex> lock(this->group.mutex);
        this->announce.wait_for(
            lock, std::chrono::duration<double>(this->group.heartbeatInterval), [&] {
                return this->run != thisRun || this->hasNews || this->group.isOver;
            });
    }
}

// The platform. Carries out promotions in the order of their arrival.

struct PromotionCall
{
    double at = 0;
    std::string database;
    std::string holder;
    std::uint64_t token = 0;
};

class Platform
{
public:
    Platform(std::shared_ptr<Group> served, std::string address)
        : group(std::move(served))
        , ip(std::move(address))
    {
    }

    static constexpr int Port = 8783;
    // How long a call that arrives now takes, in seconds, before it is carried out and answered.
    std::function<double()> delay = [] { return 0.0; };
    std::vector<PromotionCall> calls;
    std::mutex mutex;

    std::string address() const { return this->ip + ":" + std::to_string(Port); }

    void start()
    {
        const int listener = listenOn(this->ip, Port);
        if (listener < 0)
            std::exit(2);
        std::thread([this, listener] {
            for (;;) {
                const int file = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (file < 0)
                    return;
                std::thread([this, file] {
                    this->serve(file);
                    close(file);
                }).detach();
            }
        }).detach();
        std::thread([this] { this->work(); }).detach();
    }

private:
    struct Waiting
    {
        PromotionCall call;
        double dueAt = 0;
        int status = 0;
        bool isDone = false;
    };

    void serve(int file)
    {
        Reader reader(file);
        std::string first;
        std::map<std::string, std::string> headers;
        std::string body;
        if (!readHttp(reader, first, headers, body))
            return;
        const auto waiting = std::make_shared<Waiting>();
        waiting->call.at = now();
        waiting->call.holder = headers["x-duty-holder"];
        waiting->call.token = std::strtoull(headers["x-fencing-token"].c_str(), nullptr, 10);
        const std::string key = "\"instance_id\":\"";
        const auto from = body.find(key);
        if (from != std::string::npos)
            waiting->call.database = body.substr(from + key.size(),
                                                 body.find('"', from + key.size()) - from - key.size());
        {
            std::unique_lock<std::mutex> lock(this->mutex);
            waiting->dueAt = std::max(this->lastDue, now() + this->delay());
            this->lastDue = waiting->dueAt;
            this->calls.push_back(waiting->call);
            this->queue.push_back(waiting);
            record("platform: POST /promotion of %s by %s with token %llu arrives",
                   waiting->call.database.c_str(), waiting->call.holder.c_str(),
                   static_cast<unsigned long long>(waiting->call.token));
            this->changed.notify_all();
            this->changed.wait(lock, [&] { return waiting->isDone; });
        }
        sendAll(file, "HTTP/1.1 " + std::to_string(waiting->status)
                          + (waiting->status == 200 ? " OK" : " Conflict")
                          + "\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
    }

    void work()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        for (;;) {
            this->changed.wait(lock, [&] { return !this->queue.empty(); });
            const auto waiting = this->queue.front();
            this->queue.pop_front();
            lock.unlock();
            sleepUntil(waiting->dueAt);
            {
                const std::lock_guard<std::mutex> guard(this->group->mutex);
                Database *database = this->group->find(waiting->call.database);
                const bool isRunning = database != nullptr && database->isUp;
                waiting->status = isRunning ? 200 : 409;
                if (isRunning && database != this->group->leader())
                    std::thread([group = this->group, id = database->id] {
                        sleepFor(group->promoteTime);
                        const std::lock_guard<std::mutex> effect(group->mutex);
                        group->promote(group, id);
                    }).detach();
            }
            lock.lock();
            record("platform: promotion of %s by %s is carried out: %d",
                   waiting->call.database.c_str(), waiting->call.holder.c_str(), waiting->status);
            waiting->isDone = true;
            this->changed.notify_all();
        }
    }

    std::shared_ptr<Group> group;
    const std::string ip;
    std::condition_variable changed;
    std::deque<std::shared_ptr<Waiting>> queue;
    double lastDue = 0;
};

// Machines and the project's programs.

struct Machine
{
    std::string name;
    std::string zone;
    std::string ip;
    bool isCore = false;
    // Serves control without a disk.
    bool isObserver = false;
    pid_t fleet = -1;
    pid_t pooler = -1;
};

class Deployment
{
public:
    std::string root;
    std::string folder;
    std::string net;
    std::vector<std::string> zones = {"be-central-a", "be-central-b", "be-central-c"};
    std::vector<Machine> machines;
    // Machines that the settings name as seeds; empty for the first three of the core.
    std::vector<std::size_t> seeds;
    // Whether the second machine of each zone serves control, as the deploy file has it.
    bool hasObservers = false;
    std::string platform;
    double heartbeatInterval = 1.2;

    ~Deployment() { this->stopAll(); }

    // `count` machines, in turn in the zones; the first of each zone is of the core.
    void prepare(std::size_t count)
    {
        char name[] = "/tmp/review3-XXXXXX";
        this->folder = mkdtemp(name);
        for (std::size_t index = 0; index < count; ++index) {
            Machine machine;
            machine.zone = this->zones[index % this->zones.size()];
            machine.name = "front-" + machine.zone + "-" + std::to_string(index / this->zones.size() + 1);
            machine.ip = this->net + std::to_string(10 + index);
            machine.isCore = index < this->zones.size();
            machine.isObserver = this->hasObservers && !machine.isCore
                                 && index < 2 * this->zones.size();
            this->machines.push_back(machine);
        }
        for (const Machine &machine : this->machines) {
            if (machine.isCore || machine.isObserver)
                this->writeSettings(machine, "fleet", true);
            this->writeSettings(machine, "pooler", true);
        }
    }

    std::string settingsPath(const Machine &machine, const std::string &role) const
    {
        return this->folder + "/" + machine.name + "-" + role + ".json";
    }

    std::vector<std::string> controls() const
    {
        std::vector<std::string> all;
        for (const Machine &machine : this->machines) {
            if (machine.isCore || machine.isObserver)
                all.push_back(machine.ip + ":8782");
        }
        return all;
    }

    std::vector<std::string> seedAddresses() const
    {
        if (this->seeds.empty())
            return this->controls();
        std::vector<std::string> named;
        for (const std::size_t index : this->seeds)
            named.push_back(this->machines[index].ip + ":8782");
        return named;
    }

    void writeSettings(const Machine &machine, const std::string &role, bool isFirstStart) const
    {
        std::ostringstream text;
        const bool isFleet = role == "fleet";
        text << "{\"node_name\":\"" << machine.name << "\",\"role\":\"" << role
             << "\",\"machine_class\":\"front\",\"serves\":[\"" << (isFleet ? "control" : "front")
             << "\"],\"ip_address\":\"" << machine.ip << "\",\"zone\":\"" << machine.zone
             << "\",\"region\":\"be-central\",\"zones\":{";
        for (std::size_t zone = 0; zone < this->zones.size(); ++zone)
            text << (zone == 0 ? "" : ",") << '"' << this->zones[zone] << "\":\"be-central\"";
        text << "},\"listen_addresses\":{";
        if (isFleet)
            text << "\"control\":\"" << machine.ip << ":8782\"";
        else
            text << "\"front\":\"" << machine.ip << ":8784\",\"ready\":\"" << machine.ip << ":8785\"";
        text << "},\"internal_port_range\":[7440,7455],\"seed_nodes\":[";
        const auto named = this->seedAddresses();
        for (std::size_t seed = 0; seed < named.size() && seed < 3; ++seed)
            text << (seed == 0 ? "" : ",") << '"' << named[seed] << '"';
        text << "],\"bootstrap\":" << (isFirstStart ? "true" : "false")
             << ",\"in_tolerance\":" << (machine.isCore ? "true" : "false")
             << ",\"limits\":{\"cpu_share\":0.45,\"cpu_cores\":1,\"memory_mb\":260,"
                "\"file_descriptors\":4200,\"link_mbps\":1000.0,\"disk_mb\":64}";
        if (isFleet && !machine.isObserver)
            text << ",\"data_directory\":\"" << this->folder << "/" << machine.name << "-data\"";
        text << ",\"discovery\":\"registry\",\"entry\":\"virtual_ip\",\"heartbeat_interval_ms\":"
             << static_cast<int>(this->heartbeatInterval * 1000)
             << ",\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\"],"
                "\"fault_tolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},\"bounds\":{"
                "\"seed_lag_s\":3,\"address_reuse_s\":2,\"contact_ms\":4000,\"ack_timeout_ms\":5000,"
                "\"catch_up_s\":4,\"drain_ms\":7000,\"grace_s\":6,\"loss_slack_ms\":200,"
                "\"config_deadline_ms\":3000,\"regression_slack_ms\":250,\"max_stretch_ms\":12000,"
                "\"recovery_s\":12,\"fencing_required\":false,\"thaw_slack_ms\":300},"
                "\"config_mode\":\"highest\",\"cloud_api\":{\"address\":\""
             << this->platform
             << "\",\"rate_per_s\":50.0,\"duties\":[\"promotion\"],\"duty_per_s\":50.0}}";
        FILE *file = std::fopen(this->settingsPath(machine, role).c_str(), "w");
        std::fputs(text.str().c_str(), file);
        std::fclose(file);
    }

    pid_t launch(const Machine &machine, const std::string &role) const
    {
        const std::string program = this->root + "/target/rhubarb-" + role;
        const std::string settings = "RHUBARBWEIR_CONFIG=" + this->settingsPath(machine, role);
        const std::string output = this->folder + "/" + machine.name + "-" + role + ".log";
        const pid_t parent = getpid();
        const pid_t child = fork();
        if (child != 0)
            return child;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent || chdir(this->root.c_str()) != 0)
            _exit(2);
        const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        std::string path = "PATH=/usr/bin:/bin";
        char *arguments[] = {const_cast<char *>(program.c_str()), nullptr};
        char *environment[] = {const_cast<char *>(settings.c_str()), path.data(), nullptr};
        execve(program.c_str(), arguments, environment);
        _exit(127);
    }

    void startAll()
    {
        for (Machine &machine : this->machines) {
            if (machine.isCore || machine.isObserver)
                machine.fleet = this->launch(machine, "fleet");
            machine.pooler = this->launch(machine, "pooler");
        }
        record("%zu machines started in %s", this->machines.size(), this->folder.c_str());
    }

    static void signalTo(pid_t process, int number)
    {
        if (process > 0)
            kill(process, number);
    }

    void signalMachine(const Machine &machine, int number) const
    {
        signalTo(machine.fleet, number);
        signalTo(machine.pooler, number);
    }

    void stopAll()
    {
        for (Machine &machine : this->machines) {
            for (pid_t *process : {&machine.fleet, &machine.pooler}) {
                if (*process <= 0)
                    continue;
                kill(*process, SIGKILL);
                waitpid(*process, nullptr, 0);
                *process = -1;
            }
        }
        if (!this->folder.empty() && std::getenv("KEEP") == nullptr) {
            const std::string command = "rm -rf '" + this->folder + "'";
            if (std::system(command.c_str()) != 0)
                record("the temporary folder was not removed");
            this->folder.clear();
        }
    }

    // The control instance that answers a read of the configuration itself; null for none.
    Machine *leader()
    {
        for (Machine &machine : this->machines) {
            if (machine.isCore
                && callOnce(machine.ip + ":8782", "GET", "/api/Configuration.Get", "", 0.3).status
                       == 200)
                return &machine;
        }
        return nullptr;
    }
};

// The operator.

struct RouteOfClients
{
    std::string host;
    std::string kind;
    int timeoutMs = 1000;
    int targetMs = 400;
    int stalenessMs = 0;
};

inline std::string configuration(int version, const std::string &service,
                                 const std::vector<RouteOfClients> &routes, int maxConnections,
                                 int syncReplicas)
{
    std::ostringstream text;
    text << "{\"version\":" << version << ",\"routes\":[";
    bool isFirst = true;
    for (const RouteOfClients &route : routes) {
        text << (isFirst ? "" : ",") << "{\"name\":\"r-" << route.host << "\",\"host\":\"" << route.host
             << "\",\"path_prefix\":\"/\",\"kind\":\"" << route.kind
             << "\",\"timeout_ms\":" << route.timeoutMs << ",\"target_latency_ms\":" << route.targetMs
             << ",\"priority\":1,\"service\":\"" << service << "\",\"max_attempts\":2";
        if (route.stalenessMs > 0)
            text << ",\"max_staleness_ms\":" << route.stalenessMs;
        text << "}";
        isFirst = false;
    }
    text << "],\"services\":[{\"name\":\"" << service
         << "\",\"health_path\":\"/health\",\"max_connections\":" << maxConnections
         << ",\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":" << syncReplicas
         << "}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
            "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"transaction_idle_ms\":3000}}";
    return text.str();
}

// Sends the order until it is acknowledged.
inline bool sendOrder(const std::vector<std::string> &controls, const std::string &body,
                      double timeout)
{
    const double until = now() + timeout;
    for (std::size_t next = 0; now() < until; ++next) {
        const HttpAnswer answer =
            call(controls[next % controls.size()], "POST", "/api/Configuration.Replace", body);
        if (answer.status == 200)
            return true;
        sleepFor(0.1);
    }
    return false;
}

// Clients.

struct Answer
{
    // Empty if the connection ended.
    std::string outcome;
    std::string error;
    std::string value;
    std::string signature;
    char state = 'I';
};

class ClientSession
{
public:
    ~ClientSession() { this->end(); }
    bool open(const std::string &ip, const std::string &database)
    {
        this->end();
        this->file = dial(ip, 8784, 2);
        if (this->file < 0)
            return false;
        this->reader = std::make_unique<Reader>(this->file);
        std::string line;
        if (sendAll(this->file, "STARTUP " + database + " u1\r\n") && this->reader->line(line)
            && line.rfind("READY", 0) == 0)
            return true;
        this->end();
        return false;
    }
    bool isOpen() const { return this->file >= 0; }
    void raw(const std::string &bytes) { sendAll(this->file, bytes); }
    Answer query(const std::string &id, const std::string &text, double timeout = 4)
    {
        Answer answer;
        setTimeout(this->file, timeout);
        std::string line;
        if (!sendAll(this->file, "QUERY " + id + " " + text + "\r\n")) {
            this->end();
            return answer;
        }
        while (this->reader->line(line)) {
            const auto parts = words(line);
            if (parts.empty())
                continue;
            if (parts[0] == "DATAROW")
                answer.value = parts.size() > 1 ? parts[1] : "";
            else if (parts[0] == "COMPLETE")
                answer.signature = parts.size() > 1 ? parts[1] : "";
            else if (parts[0] == "ERROR")
                answer.error = parts.size() > 1 ? parts[1] : "?";
            else if (parts[0] == "READY") {
                answer.outcome = answer.error.empty() ? "ok" : answer.error;
                answer.state = parts.size() > 1 ? parts[1][0] : '?';
                return answer;
            }
        }
        this->end();
        return answer;
    }
    void end()
    {
        if (this->file >= 0)
            close(this->file);
        this->file = -1;
        this->reader.reset();
    }

private:
    int file = -1;
    std::unique_ptr<Reader> reader;
};

inline std::string newId()
{
    static std::atomic<std::uint64_t> last{0};
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08llx", static_cast<unsigned>(getpid()),
                  static_cast<unsigned long long>(++last));
    return text;
}

// A free part of the loopback network, by the process id.
inline std::string freeNet()
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int number = static_cast<int>((getpid() + attempt * 7) % 60000);
        const std::string net =
            "127." + std::to_string(10 + number / 250) + "." + std::to_string(1 + number % 250) + ".";
        const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = endpoint(net + "10", 8782);
        const bool isFree =
            bind(file, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        close(file);
        if (isFree)
            return net;
    }
    return "127.9.9.";
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

} // namespace world
