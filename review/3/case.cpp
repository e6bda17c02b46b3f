// Case 3: hundreds of changes of a configuration with many routes. The quorum log keeps them all in
// memory and on disk, since it is cut by the number of its entries alone. The control instances
// pass their limit of memory, and again at each start, as they read the whole log.
#include "../common/harness.hpp"

using namespace review;

namespace {

constexpr long MemoryLimitKb = 260 * 1024;

std::string document(unsigned version, unsigned routes)
{
    std::ostringstream text;
    text << "{\"version\":" << version << ",\"routes\":[";
    for (unsigned number = 0; number < routes; ++number)
        text << (number == 0 ? "" : ",") << "{\"name\":\"r-" << 100000 + number
             << "\",\"host\":\"host" << 100000 + number
             << "\",\"path_prefix\":\"/\",\"kind\":\"read_your_writes\",\"timeout_ms\":"
             << 800 + version % 100
             << ",\"target_latency_ms\":250,\"priority\":2,\"service\":\"windlog-1\","
                "\"max_attempts\":2,\"max_staleness_ms\":2500}";
    text << "],\"services\":[{\"name\":\"windlog-1\",\"health_path\":\"/health\","
            "\"max_connections\":112,\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":0}],"
            "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
            "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"transaction_idle_ms\":3000}}";
    return text.str();
}

long residentKb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::atol(line.c_str() + 6);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    Deployment deployment(record);
    Operator op(deployment, "windlog-1", 0);
    deployment.machines.reserve(8);
    for (const char *zone : {"be-central-a", "be-central-b", "be-central-c"})
        deployment.add(zone, true);
    for (const Machine &machine : deployment.machines)
        deployment.start(machine, "rhubarb-fleet", true);

    // The platform: kills a process over its limit of memory and starts it again after a second.
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::map<std::string, int> ends;
    std::thread platform([&] {
        std::map<std::string, Clock::time_point> endedAt;
        while (!stopping) {
            for (const Machine &machine : deployment.machines) {
                const auto ended = endedAt.find(machine.name);
                if (ended != endedAt.end()) {
                    if (secondsSince(ended->second) < 1)
                        continue;
                    endedAt.erase(ended);
                    deployment.start(machine, "rhubarb-fleet", false);
                    continue;
                }
                const long used = residentKb(deployment.pid(machine.name, "rhubarb-fleet"));
                const bool isOver = used > MemoryLimitKb;
                if (!isOver && !deployment.endedByItself(machine.name, "rhubarb-fleet"))
                    continue;
                if (isOver) {
                    record.line("rhubarb-fleet on %s uses %ld MB, over memory_mb 260",
                                machine.name.c_str(), used / 1024);
                    deployment.kill(machine.name, "rhubarb-fleet");
                }
                endedAt[machine.name] = Clock::now();
                const std::lock_guard<std::mutex> lock(mutex);
                ++ends[machine.name];
            }
            sleepSeconds(0.02);
        }
    });

    const unsigned routes = troubled() ? 1150 : 3;
    const unsigned changes = 600;
    record.line("a change has %zu bytes", document(1, routes).size());
    unsigned acknowledged = 0;
    const auto begin = Clock::now();
    for (unsigned version = 1; version <= changes && secondsSince(begin) < 75; ++version) {
        const std::string body = document(version, routes);
        bool done = false;
        for (int tries = 0; tries < 12 && !done && secondsSince(begin) < 75; ++tries) {
            for (const Machine &machine : deployment.machines) {
                done = done
                       || http(machine.ip, deployment.ports.control, "POST",
                               "/api/Configuration.Replace", body, 2.0)
                                  .status
                              == 200;
            }
            if (!done)
                sleepSeconds(0.25);
        }
        if (done)
            acknowledged = version;
        if (version % 50 == 0 || !done)
            record.line("version %u sent, newest acknowledged %u", version, acknowledged);
    }
    // Reads back for 20 s.
    const auto reading = Clock::now();
    unsigned newest = 0;
    int reads = 0;
    int answered = 0;
    while (secondsSince(reading) < 20) {
        for (const Machine &machine : deployment.machines) {
            const unsigned version = op.read(machine);
            ++reads;
            answered += version != 0 ? 1 : 0;
            newest = std::max(newest, version);
        }
        sleepSeconds(0.2);
    }
    stopping = true;
    platform.join();
    std::size_t loops = 0;
    for (const auto &[name, count] : ends) {
        record.line("%s ended by itself %d times", name.c_str(), count);
        loops += count >= 3 ? 1 : 0;
    }
    record.line("newest acknowledged %u; read back: %d of %d reads answered, newest %u",
                acknowledged, answered, reads, newest);
    if (acknowledged == 0)
        return CouldNotRun;
    if (newest < acknowledged)
        record.line("CONFIG: what is read back is older than the newest acknowledged, or doesn't come");
    // Fault: on half of the core, processes end by themselves three times.
    return 2 * loops >= deployment.machines.size() ? Broken : Held;
}
