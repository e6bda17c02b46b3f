// What the event log does to a process whose output is not read, full, closed or gone.
#include "programs/support/event_log.hpp"

#include "unit/support/platform/process_settings.hpp"
#include "unit/support/program_process.hpp"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace rhubarbweir;
using namespace rhubarbweir::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class Pipe
{
public:
    Pipe() { cr_assert_eq(::pipe(this->ends), 0); }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;
    ~Pipe()
    {
        this->closeReader();
        ::close(this->ends[1]);
    }

    void fill() const
    {
        const int flags = ::fcntl(this->ends[1], F_GETFL);
        ::fcntl(this->ends[1], F_SETFL, flags | O_NONBLOCK);
        const std::string bytes(4096, '\n');
        while (::write(this->ends[1], bytes.data(), bytes.size()) > 0)
            continue;
        ::fcntl(this->ends[1], F_SETFL, flags);
    }

    void closeReader()
    {
        ::close(this->ends[0]);
        this->ends[0] = -1;
    }

    // Reads until `text` was read or `limit` has passed; returns everything that was read.
    std::string readUntil(const std::string &text, milliseconds limit) const
    {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string all;
        std::string part(65536, '\0');
        while (all.find(text) == std::string::npos && std::chrono::steady_clock::now() < deadline) {
            const ssize_t count = ::read(this->ends[0], part.data(), part.size());
            if (count > 0)
                all.append(part, 0, static_cast<std::size_t>(count));
            else
                std::this_thread::sleep_for(milliseconds(2));
        }
        return all;
    }

    // Hook of ProgramProcess: standard output and standard error are the pipe.
    std::function<void()> asOutput() const
    {
        return [this] {
            ::dup2(this->ends[1], STDOUT_FILENO);
            ::dup2(this->ends[1], STDERR_FILENO);
            ::close(this->ends[0]);
            ::close(this->ends[1]);
        };
    }

    // Opens the writer's end.
    std::string path() const { return "/proc/self/fd/" + std::to_string(this->ends[1]); }

private:
    int ends[2] = {-1, -1};
};

// Returns the answer to a GET of the metrics; empty without one within two seconds.
std::string readMetrics(const std::string &host, int port)
{
    const int client = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{2, 0};
    ::setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    std::string answer;
    if (::connect(client, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        const std::string request =
            "GET /metrics HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n";
        ::send(client, request.data(), request.size(), MSG_NOSIGNAL);
        std::string part(65536, '\0');
        for (ssize_t count = 0; (count = ::recv(client, part.data(), part.size(), 0)) > 0;)
            answer.append(part, 0, static_cast<std::size_t>(count));
    }
    ::close(client);
    return answer;
}

bool servesMetrics(const std::string &host, int port, milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (readMetrics(host, port).find("200 OK") == std::string::npos) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

bool tellsDroppedLines(const std::string &metrics)
{
    return metrics.find("rhubarbweir_log_lines_dropped_total ") != std::string::npos
           && metrics.find("rhubarbweir_log_lines_dropped_total 0\n") == std::string::npos;
}

// A program of the platform on a loopback address of its own, and how to reach its metrics.
struct FleetCase
{
    std::string program;
    int host;
    int metricsPort;
    bool hasDisk;
};

const std::vector<FleetCase> FleetCases = {{"rhubarb-pooler", 1, ProcessPorts::Readiness, false},
                                           {"rhubarb-fleet", 2, ProcessPorts::Control, true},
                                           {"rhubarb-fleet", 3, ProcessPorts::Control, false}};

std::string writeFleetSettings(const TemporaryFolder &folder, const FleetCase &fleetCase)
{
    const std::string host = loopbackHost(fleetCase.host);
    const std::string number = std::to_string(fleetCase.host);
    const std::string path = folder.file("settings-" + number + ".json");
    std::string data;
    if (fleetCase.hasDisk) {
        data = folder.file("data-" + number);
        std::filesystem::create_directories(data);
    }
    writeFile(path, processSettings(host, {host}, data).dump());
    return path;
}

// The settings file of one of the programs that read INI files.
std::string writeIniSettings(const TemporaryFolder &folder, const std::string &program,
                             const std::string &logFile)
{
    const std::string address = loopbackHost(9) + ":7101";
    std::string text =
        "[instance]\nid = instance-1\nfailure_domain = a\nknown_failure_domains = a\n"
        "[listen]\naddress = "
        + address + "\n";
    if (!logFile.empty())
        text += "[log]\nfile = " + logFile + "\n";
    if (program == "rhubarb-control")
        text += "[storage]\ndata_folder = " + folder.file("data")
                + "\n[quorum]\nvoters = instance-1@" + address + "@a\nbootstrap = yes\n";
    else
        text += "[control]\naddresses = " + loopbackHost(8) + ":7101\n";
    if (program == "rhubarb-standin")
        text += "[target]\ngroup = group-1\n";
    const std::string path = folder.file(program + ".ini");
    std::filesystem::create_directories(folder.file("data"));
    writeFile(path, text);
    return path;
}

void expectOrderlyEnd(ProgramProcess &process, const std::string &what)
{
    std::this_thread::sleep_for(milliseconds(700));
    process.signal(SIGTERM);
    const auto status = process.waitFor(seconds(10));
    cr_expect(status.has_value(), "%s does not end on SIGTERM", what.c_str());
    cr_expect(!status || (WIFEXITED(*status) && WEXITSTATUS(*status) == 0),
              "%s ends with status %d", what.c_str(), status.value_or(0));
}

std::string descriptorTarget(pid_t process, int descriptor)
{
    std::error_code error;
    return std::filesystem::read_symlink(
               "/proc/" + std::to_string(process) + "/fd/" + std::to_string(descriptor), error)
        .string();
}

} // namespace

Test(event_log, unread_output_does_not_block, .timeout = 60,
     .description = "a process whose output is a full pipe that nobody reads serves and ends")
{
    const TemporaryFolder folder;
    for (const FleetCase &fleetCase : FleetCases) {
        Pipe pipe;
        pipe.fill();
        ProgramProcess process(fleetCase.program,
                               {"--settings", writeFleetSettings(folder, fleetCase)},
                               folder.file("log"), pipe.asOutput());
        cr_expect(servesMetrics(loopbackHost(fleetCase.host), fleetCase.metricsPort, seconds(5)),
                  "%s serves nothing", fleetCase.program.c_str());
        expectOrderlyEnd(process, fleetCase.program);
    }
}

Test(event_log, drops_are_told, .timeout = 60,
     .description = "lines that an unread pipe has no room for are dropped, counted and told")
{
    Pipe pipe;
    EventLogSettings settings;
    settings.file = pipe.path();
    settings.instance = "instance-1";
    cr_assert(openEventLog(settings).ok());
    constexpr int LineCount = 10000;
    for (int number = 0; number < LineCount; ++number)
        logEvent(LogLevel::Info, "numbered", {{"number", number}});
    const std::uint64_t dropped = droppedLogLines();
    cr_assert(dropped > 0 && dropped < LineCount, "%llu", static_cast<unsigned long long>(dropped));
    std::string output = pipe.readUntil("event=never", milliseconds(500));
    logEvent(LogLevel::Info, "read_again", {});
    output += pipe.readUntil("event=read_again", seconds(5));
    std::istringstream lines(output);
    std::uint64_t told = 0;
    int arrived = 0;
    for (std::string line; std::getline(lines, line);) {
        const std::string notice = "event=log_lines_dropped count=";
        if (const std::size_t at = line.find(notice); at != std::string::npos)
            told += std::stoull(line.substr(at + notice.size()));
        arrived += line.find("event=numbered") != std::string::npos ? 1 : 0;
    }
    cr_assert_eq(told, dropped, "%llu of %llu", static_cast<unsigned long long>(told),
                 static_cast<unsigned long long>(dropped));
    cr_assert_eq(told + static_cast<std::uint64_t>(arrived), LineCount);
}

Test(event_log, order, .timeout = 60,
     .description = "lines that are read late arrive complete and in order")
{
    Pipe pipe;
    EventLogSettings settings;
    settings.file = pipe.path();
    cr_assert(openEventLog(settings).ok());
    // Fits into the pipe and the queue.
    constexpr int LineCount = 500;
    const std::string text(100, 'x');
    for (int number = 0; number < LineCount; ++number)
        logEvent(LogLevel::Info, "numbered", {{"number", number}, {"text", text}});
    logEvent(LogLevel::Info, "last", {});
    std::istringstream lines(pipe.readUntil("event=last\n", seconds(10)));
    std::string line;
    for (int number = 0; number < LineCount; ++number) {
        cr_assert(std::getline(lines, line));
        const std::string expected =
            " event=numbered number=" + std::to_string(number) + " text=" + text;
        cr_assert(line.size() > expected.size()
                      && line.compare(line.size() - expected.size(), expected.size(), expected)
                             == 0,
                  "%s", line.c_str());
    }
    cr_assert_eq(droppedLogLines(), 0);
}

Test(event_log, last_lines_arrive, .timeout = 60,
     .description = "the last lines before an orderly end reach a reader that reads late")
{
    const TemporaryFolder folder;
    Pipe pipe;
    pipe.fill();
    ProgramProcess process("rhubarb-fleet",
                           {"--settings", writeFleetSettings(folder, FleetCases[1])},
                           folder.file("log"), pipe.asOutput());
    cr_assert(servesMetrics(loopbackHost(FleetCases[1].host), ProcessPorts::Control, seconds(5)));
    process.signal(SIGTERM);
    const std::string output = pipe.readUntil("event=control_stopped", seconds(10));
    cr_assert(output.find("event=control_started") != std::string::npos);
    cr_assert(output.find("event=control_stopped") != std::string::npos, "%s", output.c_str());
}

Test(event_log, non_blocking_output, .timeout = 60,
     .description = "no line is lost to a slow reader because the output does not block")
{
    const TemporaryFolder folder;
    Pipe pipe;
    pipe.fill();
    ProgramProcess process("rhubarb-fleet",
                           {"--settings", writeFleetSettings(folder, FleetCases[1])},
                           folder.file("log"), [&pipe] {
                               pipe.asOutput()();
                               ::fcntl(STDOUT_FILENO, F_SETFL, O_WRONLY | O_NONBLOCK);
                           });
    cr_assert(servesMetrics(loopbackHost(FleetCases[1].host), ProcessPorts::Control, seconds(5)));
    const std::string output = pipe.readUntil("event=leadership_gained", seconds(10));
    cr_assert(output.find("event=control_started") != std::string::npos, "%s", output.c_str());
}

Test(event_log, fatal_signal_with_unread_output, .timeout = 60,
     .description = "a fatal signal ends a process whose standard error nobody reads")
{
    const TemporaryFolder folder;
    Pipe pipe;
    pipe.fill();
    ProgramProcess process("rhubarb-pooler",
                           {"--settings", writeFleetSettings(folder, FleetCases[0])},
                           folder.file("log"), [&pipe] {
                               const int log = ::dup(STDOUT_FILENO);
                               pipe.asOutput()();
                               ::dup2(log, STDOUT_FILENO);
                           });
    cr_assert(process.waitForOutput("event=pooler_started", seconds(20)));
    process.signal(SIGSEGV);
    const auto status = process.waitFor(seconds(5));
    cr_assert(status.has_value(), "it does not end");
    cr_assert(WIFSIGNALED(*status) && WTERMSIG(*status) == SIGSEGV);
}

Test(event_log, reader_gone, .timeout = 120,
     .description = "no program ends because nobody can read its output any more")
{
    const TemporaryFolder folder;
    for (const FleetCase &fleetCase : FleetCases) {
        Pipe pipe;
        pipe.closeReader();
        ProgramProcess process(fleetCase.program,
                               {"--settings", writeFleetSettings(folder, fleetCase)},
                               folder.file("log"), pipe.asOutput());
        cr_expect(servesMetrics(loopbackHost(fleetCase.host), fleetCase.metricsPort, seconds(5)),
                  "%s serves nothing", fleetCase.program.c_str());
        expectOrderlyEnd(process, fleetCase.program);
    }
    for (const std::string program : {"rhubarb-control", "rhubarb-proxy", "rhubarb-standin"}) {
        Pipe pipe;
        pipe.closeReader();
        ProgramProcess process(program, {"--settings", writeIniSettings(folder, program, "")},
                               folder.file("log"), pipe.asOutput());
        expectOrderlyEnd(process, program);
    }
}

Test(event_log, full_device, .timeout = 120,
     .description = "no program ends because its log is on a full device")
{
    const TemporaryFolder folder;
    const auto toFullDevice = [] {
        const int full = ::open("/dev/full", O_WRONLY);
        ::dup2(full, STDOUT_FILENO);
        ::dup2(full, STDERR_FILENO);
    };
    for (const FleetCase &fleetCase : FleetCases) {
        ProgramProcess process(fleetCase.program,
                               {"--settings", writeFleetSettings(folder, fleetCase)},
                               folder.file("log"), toFullDevice);
        const std::string host = loopbackHost(fleetCase.host);
        cr_expect(servesMetrics(host, fleetCase.metricsPort, seconds(5)), "%s serves nothing",
                  fleetCase.program.c_str());
        // The thread that writes the log counts a lost line after its write has failed, which may
        // be after the first answer with metrics.
        const auto deadline = std::chrono::steady_clock::now() + seconds(5);
        std::string metrics = readMetrics(host, fleetCase.metricsPort);
        while (!tellsDroppedLines(metrics) && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(milliseconds(20));
            metrics = readMetrics(host, fleetCase.metricsPort);
        }
        cr_expect(tellsDroppedLines(metrics), "%s", metrics.c_str());
        expectOrderlyEnd(process, fleetCase.program);
    }
    for (const std::string program : {"rhubarb-control", "rhubarb-proxy", "rhubarb-standin"}) {
        ProgramProcess process(program,
                               {"--settings", writeIniSettings(folder, program, "/dev/full")},
                               folder.file("log"), toFullDevice);
        expectOrderlyEnd(process, program);
    }
}

Test(event_log, closed_descriptors, .timeout = 120,
     .description = "no socket or file takes the place of a standard stream that is closed")
{
    const TemporaryFolder folder;
    const auto closeStreams = [] {
        for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
            ::close(stream);
    };
    for (const FleetCase &fleetCase : FleetCases) {
        ProgramProcess process(fleetCase.program,
                               {"--settings", writeFleetSettings(folder, fleetCase)},
                               folder.file("log"), closeStreams);
        cr_expect(servesMetrics(loopbackHost(fleetCase.host), fleetCase.metricsPort, seconds(5)),
                  "%s serves nothing", fleetCase.program.c_str());
        for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
            cr_expect(descriptorTarget(process.id(), stream) == "/dev/null", "%s: %d is %s",
                      fleetCase.program.c_str(), stream,
                      descriptorTarget(process.id(), stream).c_str());
        expectOrderlyEnd(process, fleetCase.program);
    }
    for (const std::string program : {"rhubarb-control", "rhubarb-proxy", "rhubarb-standin"}) {
        ProgramProcess process(program, {"--settings", writeIniSettings(folder, program, "")},
                               folder.file("log"), closeStreams);
        std::this_thread::sleep_for(milliseconds(500));
        for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
            cr_expect(descriptorTarget(process.id(), stream) == "/dev/null", "%s: %d is %s",
                      program.c_str(), stream, descriptorTarget(process.id(), stream).c_str());
        expectOrderlyEnd(process, program);
    }
}
