// Shared parts of the scripts in review/: processes of the deploy file on loopback addresses, an
// operator, and a record of what was sent and answered. POSIX and the C++ library only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

inline double secondsSince(Clock::time_point since)
{
    return std::chrono::duration<double>(Clock::now() - since).count();
}

inline void sleepSeconds(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Writes record.txt: one line for each thing sent, answered, run or done to a process.
class Record
{
public:
    explicit Record(const std::string &path)
        : file(path)
    {
    }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2000];
        va_list arguments;
        va_start(arguments, format);
        vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> lock(this->mutex);
        char stamp[32];
        snprintf(stamp, sizeof stamp, "%8.3f ", secondsSince(this->start));
        this->file << stamp << text << std::endl;
    }

    Clock::time_point startTime() const { return this->start; }

private:
    std::ofstream file;
    std::mutex mutex;
    Clock::time_point start = Clock::now();
};

// Sockets.

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &ip, int port, int backlog = 128)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf(ip, port);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(descriptor, backlog) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

inline int connectTo(const std::string &ip, int port, double timeout)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        if (errno != EINPROGRESS) {
            close(descriptor);
            return -1;
        }
        pollfd waiting{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (poll(&waiting, 1, static_cast<int>(timeout * 1000)) != 1
            || getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(descriptor);
            return -1;
        }
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

inline bool sendAll(int descriptor, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads more bytes into `buffer`; false at the end of the stream, on an error or after the timeout.
inline bool readMore(int descriptor, std::string &buffer, double timeout)
{
    pollfd waiting{descriptor, POLLIN, 0};
    if (poll(&waiting, 1, std::max(0, static_cast<int>(timeout * 1000))) != 1)
        return false;
    char bytes[16384];
    const ssize_t count = recv(descriptor, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

// A line that ends in CR LF, without the end.
inline std::optional<std::string> readLine(int descriptor, std::string &buffer, double timeout)
{
    const auto deadline = Clock::now() + std::chrono::duration<double>(timeout);
    while (true) {
        const auto end = buffer.find("\r\n");
        if (end != std::string::npos) {
            std::string line = buffer.substr(0, end);
            buffer.erase(0, end + 2);
            return line;
        }
        const double left =
            std::chrono::duration<double>(deadline - Clock::now()).count();
        if (left <= 0 || !readMore(descriptor, buffer, left))
            return std::nullopt;
    }
}

// HTTP.

struct HttpAnswer
{
    // 0 if there was no complete answer.
    int status = 0;
    std::string body;
    std::string location;
};

inline HttpAnswer httpOnce(const std::string &ip, int port, const std::string &method,
                           const std::string &path, const std::string &body, double timeout)
{
    HttpAnswer answer;
    const auto deadline = Clock::now() + std::chrono::duration<double>(timeout);
    const int descriptor = connectTo(ip, port, timeout);
    if (descriptor < 0)
        return answer;
    std::ostringstream request;
    request << method << " " << path << " HTTP/1.1\r\nHost: " << ip << ":" << port
            << "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
            << body.size() << "\r\n\r\n"
            << body;
    std::string received;
    std::size_t headerEnd = std::string::npos;
    std::size_t length = 0;
    bool complete = false;
    if (sendAll(descriptor, request.str())) {
        while (!complete) {
            const double left = std::chrono::duration<double>(deadline - Clock::now()).count();
            if (left <= 0 || !readMore(descriptor, received, left))
                break;
            if (headerEnd == std::string::npos) {
                headerEnd = received.find("\r\n\r\n");
                if (headerEnd == std::string::npos)
                    continue;
                const auto at = received.find("Content-Length: ");
                length = at < headerEnd ? std::strtoul(received.c_str() + at + 16, nullptr, 10) : 0;
            }
            complete = received.size() >= headerEnd + 4 + length;
        }
    }
    close(descriptor);
    if (!complete)
        return answer;
    answer.status = std::atoi(received.c_str() + 9);
    answer.body = received.substr(headerEnd + 4, length);
    const auto at = received.find("Location: ");
    if (at < headerEnd)
        answer.location = received.substr(at + 10, received.find("\r\n", at) - at - 10);
    return answer;
}

// Follows a 307 twice, as callers of `control` do.
inline HttpAnswer http(const std::string &ip, int port, const std::string &method,
                       const std::string &path, const std::string &body, double timeout = 1.0)
{
    HttpAnswer answer = httpOnce(ip, port, method, path, body, timeout);
    for (int redirects = 0; redirects < 2 && answer.status == 307; ++redirects) {
        const std::string rest = answer.location.substr(7);
        const auto colon = rest.find(':');
        const auto slash = rest.find('/');
        answer = httpOnce(rest.substr(0, colon),
                          std::atoi(rest.substr(colon + 1, slash - colon - 1).c_str()), method,
                          rest.substr(slash), body, timeout);
    }
    return answer;
}

// Deployment.

struct Machine
{
    std::string name;
    std::string ip;
    std::string zone;
    bool hasDisk = false;
};

struct Process
{
    std::string program;
    pid_t pid = 0;
    int starts = 0;
};

struct Ports
{
    int front = 0;
    int ready = 0;
    int control = 0;
    int internal = 0;
    int platform = 0;
    int server = 0;
};

class Deployment
{
public:
    explicit Deployment(Record &recordFile)
        : record(recordFile)
    {
        std::random_device device;
        this->network = "127." + std::to_string(20 + device() % 200) + "."
                        + std::to_string(1 + device() % 250) + ".";
        const int first = 21000 + static_cast<int>(device() % 9000);
        this->ports = {first, first + 1, first + 2, first + 10, first + 3, first + 4};
        const char *base = std::getenv("TMPDIR");
        std::string pattern = std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
        this->folder = mkdtemp(pattern.data());
    }

    ~Deployment()
    {
        for (auto &[key, process] : this->processes)
            this->kill(key.first, key.second);
        if (std::getenv("KEEP") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(this->folder, ignored);
        } else {
            fprintf(stderr, "kept: %s\n", this->folder.c_str());
        }
    }

    std::string ip(int host) const { return this->network + std::to_string(host); }

    Machine &add(const std::string &zone, bool hasDisk)
    {
        Machine machine;
        const int number = static_cast<int>(this->machines.size()) + 1;
        machine.name = "front-" + zone + "-" + std::to_string(number);
        machine.ip = this->ip(number);
        machine.zone = zone;
        machine.hasDisk = hasDisk;
        this->machines.push_back(machine);
        return this->machines.back();
    }

    // The settings file of DEPLOY.md with the figures of lkwc-pool.
    void writeSettings(const Machine &machine, const std::string &program, bool bootstrap)
    {
        std::ostringstream text;
        const bool fleet = program == "rhubarb-fleet";
        const std::string at = "\"" + machine.ip + ":";
        text << "{\"node_name\":\"" << machine.name << "\",\"role\":\""
             << (fleet ? "fleet" : "pooler") << "\",\"machine_class\":\"front\",\"serves\":[\""
             << (fleet ? "control" : "front") << "\"],\"ip_address\":\"" << machine.ip
             << "\",\"zone\":\"" << machine.zone
             << "\",\"region\":\"great-lakes\",\"listen_addresses\":{";
        if (fleet)
            text << "\"control\":" << at << this->ports.control << "\"";
        else
            text << "\"front\":" << at << this->ports.front << "\",\"ready\":" << at
                 << this->ports.ready << "\"";
        text << "},\"internal_port_range\":[" << this->ports.internal << ","
             << this->ports.internal + 15 << "],\"seed_nodes\":[";
        int seeds = 0;
        for (const Machine &each : this->machines) {
            if (each.hasDisk && seeds < 3)
                text << (seeds++ == 0 ? "" : ",") << "\"" << each.ip << ":" << this->ports.control
                     << "\"";
        }
        text << "],\"bootstrap\":" << (bootstrap ? "true" : "false")
             << ",\"in_tolerance\":" << (machine.hasDisk ? "true" : "false")
             << ",\"limits\":{\"cpu_share\":0.45,\"cpu_cores\":1,\"memory_mb\":260,"
                "\"file_descriptors\":4200,\"link_mbps\":1000.0"
             << (machine.hasDisk ? ",\"disk_mb\":64" : "") << "},";
        if (fleet && machine.hasDisk)
            text << "\"data_directory\":\"" << this->dataFolder(machine) << "\",";
        text << "\"discovery\":\"registry\",\"entry\":\"virtual_ip\","
                "\"heartbeat_interval_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\","
                "\"cost\",\"recover\",\"sql\"],"
                "\"fault_tolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},"
                "\"bounds\":{\"seed_lag_s\":3,\"address_reuse_s\":2,\"contact_ms\":4000,"
                "\"ack_timeout_ms\":5000,\"catch_up_s\":4,\"drain_ms\":7000,\"grace_s\":6,"
                "\"loss_slack_ms\":200,\"config_deadline_ms\":3000,\"regression_slack_ms\":250,"
                "\"max_stretch_ms\":12000,\"recovery_s\":12,\"fencing_required\":false,"
                "\"thaw_slack_ms\":300},\"config_mode\":\"highest\",\"cloud_api\":{\"address\":\""
             << this->platformIp() << ":" << this->ports.platform
             << "\",\"rate_per_s\":50.0,\"duties\":[\"promotion\"],\"duty_per_s\":50.0}}\n";
        std::ofstream(this->settingsPath(machine, program)) << text.str();
    }

    std::string platformIp() const { return this->ip(250); }

    void start(const Machine &machine, const std::string &program, bool bootstrap)
    {
        this->writeSettings(machine, program, bootstrap);
        const std::string settings = this->settingsPath(machine, program);
        const std::string log = this->folder + "/" + machine.name + "." + program + ".log";
        const std::string path = "target/" + program;
        Process &process = this->processes[{machine.name, program}];
        process.program = program;
        ++process.starts;
        const pid_t parent = getpid();
        const pid_t pid = fork();
        if (pid == 0) {
            const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
            dup2(output, 1);
            dup2(output, 2);
            setenv("RHUBARBWEIR_CONFIG", settings.c_str(), 1);
            // Ends with this program, whatever ends it.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent)
                _exit(127);
            execl(path.c_str(), path.c_str(), static_cast<char *>(nullptr));
            _exit(127);
        }
        process.pid = pid;
        this->record.line("start %s on %s (%s), start %d, bootstrap=%s", program.c_str(),
                          machine.name.c_str(), machine.ip.c_str(), process.starts,
                          bootstrap ? "true" : "false");
    }

    void signal(const std::string &machine, const std::string &program, int number)
    {
        const Process &process = this->processes.at({machine, program});
        if (process.pid != 0)
            ::kill(process.pid, number);
        this->record.line("signal %d to %s on %s", number, program.c_str(), machine.c_str());
    }

    void kill(const std::string &machine, const std::string &program)
    {
        Process &process = this->processes.at({machine, program});
        if (process.pid == 0)
            return;
        ::kill(process.pid, SIGKILL);
        waitpid(process.pid, nullptr, 0);
        process.pid = 0;
        this->record.line("killed %s on %s", program.c_str(), machine.c_str());
    }

    pid_t pid(const std::string &machine, const std::string &program) const
    {
        return this->processes.at({machine, program}).pid;
    }

    // Whether the process ended by itself since it was started.
    bool endedByItself(const std::string &machine, const std::string &program)
    {
        Process &process = this->processes.at({machine, program});
        int status = 0;
        if (process.pid == 0 || waitpid(process.pid, &status, WNOHANG) != process.pid)
            return false;
        process.pid = 0;
        this->record.line("%s on %s ended by itself, wait status %d", program.c_str(),
                          machine.c_str(), status);
        return true;
    }

    // The machine loses its disk: its folder is empty at the next start.
    void loseDisk(const Machine &machine)
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->dataFolder(machine), ignored);
        this->record.line("%s lost its disk", machine.name.c_str());
    }

    std::string dataFolder(const Machine &machine) const
    {
        return this->folder + "/data-" + machine.name;
    }
    std::string logPath(const Machine &machine, const std::string &program) const
    {
        return this->folder + "/" + machine.name + "." + program + ".log";
    }
    std::string settingsPath(const Machine &machine, const std::string &program) const
    {
        return this->folder + "/" + machine.name + "." + program + ".json";
    }

    Ports ports;
    std::vector<Machine> machines;
    std::string folder;
    Record &record;

private:
    std::string network;
    std::map<std::pair<std::string, std::string>, Process> processes;
};

// The operator.

class Operator
{
public:
    Operator(Deployment &given, std::string groupName, unsigned syncReplicas)
        : deployment(given)
        , group(std::move(groupName))
        , sync(syncReplicas)
    {
    }

    // A complete configuration, as in PROTOCOL.md. Every version has other time-outs.
    std::string document(unsigned version) const
    {
        std::ostringstream text;
        const auto route = [&](const char *name, const char *host, const char *kind,
                               const char *more, bool last) {
            text << "{\"name\":\"" << name << "\",\"host\":\"" << host
                 << "\",\"path_prefix\":\"/\",\"kind\":\"" << kind
                 << "\",\"timeout_ms\":" << 1000 + version
                 << ",\"target_latency_ms\":400,\"priority\":1,\"service\":\"" << this->group
                 << "\",\"max_attempts\":2" << more << "}" << (last ? "" : ",");
        };
        text << "{\"version\":" << version << ",\"routes\":[";
        route("r-post", "post", "primary", "", false);
        route("r-board", "board", "bounded_staleness", ",\"max_staleness_ms\":1500", false);
        route("r-flags", "flags", "read_your_writes", ",\"max_staleness_ms\":2500", true);
        text << "],\"services\":[{\"name\":\"" << this->group
             << "\",\"health_path\":\"/health\",\"max_connections\":44,\"protocol\":\"h1\","
                "\"tls\":false,\"sync_replicas\":"
             << this->sync
             << "}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
                "\"transaction_idle_ms\":3000}}";
        return text.str();
    }

    // Sends a change to one node after the other until one acknowledges it.
    bool replace(unsigned version, double seconds)
    {
        const auto begin = Clock::now();
        const std::string body = this->document(version);
        while (secondsSince(begin) < seconds) {
            for (const Machine &machine : this->deployment.machines) {
                if (!machine.hasDisk)
                    continue;
                const HttpAnswer answer =
                    http(machine.ip, this->deployment.ports.control, "POST",
                         "/api/Configuration.Replace", body);
                if (answer.status == 200) {
                    this->deployment.record.line("operator: version %u acknowledged (sent to %s)",
                                                 version, machine.name.c_str());
                    return true;
                }
                if (answer.status >= 400 && answer.status < 500)
                    this->deployment.record.line("operator: version %u refused: %d", version,
                                                 answer.status);
            }
            sleepSeconds(0.1);
        }
        this->deployment.record.line("operator: version %u not acknowledged in %.1f s", version,
                                     seconds);
        return false;
    }

    // The version read back from a node; 0 without a 200.
    unsigned read(const Machine &machine, int *status = nullptr)
    {
        const HttpAnswer answer = http(machine.ip, this->deployment.ports.control, "GET",
                                       "/api/Configuration.Get", "");
        if (status != nullptr)
            *status = answer.status;
        const auto at = answer.body.find("\"version\":");
        if (answer.status != 200 || at == std::string::npos)
            return 0;
        return static_cast<unsigned>(std::strtoul(answer.body.c_str() + at + 10, nullptr, 10));
    }

    // The machine that answers without a redirect; null for none.
    const Machine *leader()
    {
        for (const Machine &machine : this->deployment.machines) {
            if (machine.hasDisk
                && httpOnce(machine.ip, this->deployment.ports.control, "GET",
                            "/api/Configuration.Get", "", 1.0)
                           .status
                       == 200)
                return &machine;
        }
        return nullptr;
    }

private:
    Deployment &deployment;
    std::string group;
    unsigned sync;
};

inline bool troubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
