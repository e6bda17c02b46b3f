// Soak of a whole deployment as processes on loopback: poolers, control instances with and without
// data folders, databases, an operator and callers, disturbed by seed, in series and overlapping.
#include "unit/support/platform/process_settings.hpp"
#include "unit/support/platform/soak_caller.hpp"
#include "unit/support/platform/soak_operator.hpp"
#include "unit/support/platform/soak_teams.hpp"
#include "unit/support/platform/standin_group.hpp"
#include "unit/support/supervised_process.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace rhubarbweir::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

// From the stated target: after this the service is back, once all instances are.
constexpr seconds RecoveryTime{12};
// From the stated target: an instance counts as lost until it has had this long to catch up.
constexpr seconds CatchUpTime{4};
constexpr int PlatformPort = 8783;
constexpr std::uint64_t StepsPerSeed = 1000000;

// The kind of finding that is judged by a test of its own.
constexpr const char *NoWrite = "no write acknowledged";

struct Shape
{
    std::size_t folders = 3;
    std::size_t observers = 2;
    std::size_t poolers = 6;
    std::size_t groups = 1;
    std::size_t callers = 12;
    std::size_t rounds = 3;
    milliseconds roundLength = seconds(9);
};

class ProcessSoak
{
public:
    ProcessSoak(std::uint64_t runSeed, const Shape &runShape)
        : seed(runSeed)
        , shape(runShape)
        , random(runSeed)
        , findings(this->folder.file("events"))
        , teams(runShape.callers, this->findings)
        , server([this] {
            for (const auto &group : this->groups)
                group->replicate();
        })
    {
        for (std::size_t number = 1; number <= 3; ++number)
            this->seedHosts.push_back(this->machineHost(number));
        this->addPlatform();
        this->addGroups();
        this->addProcesses();
    }
    ProcessSoak(const ProcessSoak &) = delete;
    ProcessSoak &operator=(const ProcessSoak &) = delete;
    ~ProcessSoak()
    {
        this->callers.clear();
        this->configurations.reset();
        for (const auto &process : this->processes)
            process->killAll();
        std::vector<std::unique_ptr<StandinGroup>> ended;
        const std::lock_guard<std::mutex> lock(this->server.mutex);
        ended.swap(this->groups);
    }

    // What was found of the judged kinds; empty if nothing was.
    std::string run(const std::function<bool(const std::string &)> &isJudged)
    {
        std::shuffle(this->processes.begin(), this->processes.end(), this->random);
        for (const auto &process : this->processes)
            process->start();
        this->isBootstrap = false;
        this->addLoad();
        this->expectService("after the start");
        for (std::size_t round = 0; round < this->shape.rounds; ++round) {
            this->disturb();
            this->expectService("after round " + std::to_string(round + 1));
        }
        this->findings.event("all processes are killed");
        for (const auto &process : this->processes)
            process->killAll();
        for (const auto &process : this->processes)
            process->start();
        this->expectService("after the end of all processes");
        this->expectNoKeysInLogs();
        if (this->teams.runCount() == 0)
            this->findings.add("nothing ran with a key", "");
        this->findings.event(std::to_string(this->teams.runCount()) + " statements ran with keys");
        std::string summary = this->findings.summary(isJudged);
        if (!summary.empty())
            std::filesystem::copy(this->folder.path, this->keptFolder(),
                                  std::filesystem::copy_options::recursive);
        return summary;
    }

    std::string keptFolder() const
    {
        return this->folder.path.string() + "-kept-seed-" + std::to_string(this->seed);
    }

private:
    using Process = SupervisedProcess;
    using Incarnation = std::shared_ptr<Process::Incarnation>;

    static std::string at(const std::string &host, int port)
    {
        return host + ":" + std::to_string(port);
    }
    std::string machineHost(std::size_t number) const
    {
        return loopbackHost(static_cast<int>(number));
    }
    std::string platformHost() const { return loopbackHost(250); }

    std::size_t below(std::size_t limit) { return this->random() % limit; }
    milliseconds between(int least, int most)
    {
        return milliseconds(
            least + static_cast<int>(this->below(static_cast<std::size_t>(most - least))));
    }

    // Set up.

    void addPlatform()
    {
        const std::lock_guard<std::mutex> lock(this->server.mutex);
        this->server.listen(this->platformHost(), PlatformPort, [this](PollServer::Peer &peer) {
            const auto head = peer.input.find("\r\n\r\n");
            if (head == std::string::npos)
                return true;
            const json body = json::parse(peer.input.substr(head + 4), nullptr, false);
            if (body.is_discarded())
                return true;
            int status = 409;
            for (const auto &group : this->groups) {
                if (body.value("service", "") == group->groupName())
                    status = group->promote(body.value("instance_id", ""));
            }
            this->findings.event("platform: promotion of " + body.dump() + ": "
                                 + std::to_string(status));
            peer.input.clear();
            peer.output +=
                "HTTP/1.1 " + std::to_string(status)
                + " Answer\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
            return true;
        });
    }

    void addGroups()
    {
        for (std::size_t number = 0; number < this->shape.groups; ++number) {
            std::vector<std::string> hosts;
            for (std::size_t member = 0; member < 3; ++member)
                hosts.push_back(this->machineHost(101 + 3 * number + member));
            auto group = std::make_unique<StandinGroup>(
                this->server, "group" + std::to_string(number), hosts, this->controlHosts(),
                ProcessPorts::Control, &this->teams);
            const std::lock_guard<std::mutex> lock(this->server.mutex);
            this->groups.push_back(std::move(group));
        }
    }

    std::vector<std::string> controlHosts() const
    {
        std::vector<std::string> hosts;
        for (std::size_t number = 1; number <= this->shape.folders + this->shape.observers;
             ++number)
            hosts.push_back(this->machineHost(number));
        return hosts;
    }

    void addProcesses()
    {
        const std::size_t controls = this->shape.folders + this->shape.observers;
        for (std::size_t number = 1; number <= std::max(controls, this->shape.poolers); ++number) {
            const bool hasFolder = number <= this->shape.folders;
            if (number <= controls)
                this->addProcess(number,
                                 hasFolder ? "control with folder" : "control without folder",
                                 "rhubarb-fleet", hasFolder);
            if (number <= this->shape.poolers)
                this->addProcess(number, "pooler", "rhubarb-pooler", false);
        }
    }

    void addProcess(std::size_t number, const std::string &role, const std::string &program,
                    bool hasDataFolder)
    {
        const bool onDisk = number <= this->shape.folders;
        const bool isPooler = program == "rhubarb-pooler";
        Process::Place place;
        place.role = role;
        place.program = program;
        place.host = this->machineHost(number);
        place.folder = this->folder.file(program + "-" + std::to_string(number));
        place.hasDataFolder = hasDataFolder;
        place.isUnread = this->below(5) == 0;
        place.memoryMb = onDisk ? 260 : 182;
        place.descriptors = onDisk ? 4200 : 2940;
        place.probePort = isPooler ? ProcessPorts::Readiness : ProcessPorts::Control;
        place.probePath = isPooler ? "/api/readiness" : SoakOperator::ReadPath;
        std::filesystem::create_directories(place.folder + "/data");
        this->processes.push_back(std::make_unique<Process>(
            place, [this, place] { return this->settingsOf(place); }, this->findings));
    }

    json settingsOf(const Process::Place &place) const
    {
        json settings = processSettings(place.host, this->seedHosts,
                                        place.hasDataFolder ? place.folder + "/data" : "");
        settings["zone"] = "zone-" + std::string(1, static_cast<char>('a' + place.host.back() % 3));
        settings["bootstrap"] = this->isBootstrap;
        settings["heartbeat_interval_ms"] = 1200;
        settings["limits"] = {{"memory_mb", place.memoryMb},
                              {"file_descriptors", place.descriptors}};
        settings["cloud_api"] = {{"address", this->at(this->platformHost(), PlatformPort)},
                                 {"rate_per_s", 50.0},
                                 {"duties", {"promotion"}},
                                 {"duty_per_s", 50.0}};
        settings["bounds"] = {{"seed_lag_s", 3},
                              {"address_reuse_s", 2},
                              {"contact_ms", 4000},
                              {"ack_timeout_ms", 5000},
                              {"catch_up_s", 4},
                              {"drain_ms", 7000},
                              {"grace_s", 6},
                              {"config_deadline_ms", 3000},
                              {"recovery_s", 12},
                              {"fencing_required", false},
                              {"strict_revocation", true},
                              {"revoke_ms", SoakTeams::RevokeWithin.count()}};
        return settings;
    }

    void addLoad()
    {
        std::vector<std::string> names;
        for (const auto &group : this->groups)
            names.push_back(group->groupName());
        this->configurations =
            std::make_unique<SoakOperator>(this->controlHosts(), ProcessPorts::Control, names,
                                           this->random(), this->findings, this->teams);
        std::vector<std::string> poolers;
        for (std::size_t number = 1; number <= this->shape.poolers; ++number)
            poolers.push_back(this->machineHost(number));
        for (std::size_t number = 0; number < this->shape.callers; ++number)
            this->callers.push_back(std::make_unique<SoakCaller>(
                poolers, ProcessPorts::Callers, *this->groups[number % this->groups.size()], number,
                this->random(), this->findings, this->teams));
    }

    // The course of time.

    void tick()
    {
        std::this_thread::sleep_for(milliseconds(2));
        while (!this->schedule.empty() && this->schedule.begin()->first <= Clock::now()) {
            const auto action = std::move(this->schedule.begin()->second);
            this->schedule.erase(this->schedule.begin());
            action();
        }
        for (const auto &process : this->processes)
            process->supervise();
    }

    void after(milliseconds pause, std::function<void()> action)
    {
        this->schedule.emplace(Clock::now() + pause, std::move(action));
    }

    void disturb()
    {
        for (const auto end = Clock::now() + this->shape.roundLength; Clock::now() < end;) {
            // What is chosen does not depend on how fast earlier steps were.
            this->random.seed(StepsPerSeed * this->seed + ++this->steps);
            if (this->below(5) == 0)
                this->disturbGroup();
            else if (this->below(12) == 0)
                this->killControls();
            else
                this->disturbProcess(*this->processes[this->below(this->processes.size())]);
            for (const auto next = Clock::now() + this->between(0, 300); Clock::now() < next;)
                this->tick();
        }
        while (!this->schedule.empty()
               || !std::all_of(this->processes.begin(), this->processes.end(),
                               [](const auto &each) { return each->isSettled(); }))
            this->tick();
    }

    // Every process serves within RecoveryTime, and so does the whole.
    void expectService(const std::string &when)
    {
        for (const auto &group : this->groups) {
            for (std::size_t number = 0; number < group->size(); ++number) {
                group->setDark(number, false);
                group->restart(number, false);
            }
        }
        this->findings.event("calm " + when);
        const auto begin = Clock::now();
        while (Clock::now() < begin + RecoveryTime && !this->serves(begin))
            this->tick();
        for (const auto &process : this->processes) {
            if (!process->hasAnsweredSince(begin))
                process->found("serves nothing: " + process->place.role, when);
            else if (!process->wasReadySince(begin))
                process->found("not ready: " + process->place.role, when);
        }
        if (!this->configurations->hasAckedSince(begin))
            this->findings.add("no configuration acknowledged", when);
        if (!this->configurations->hasReadSince(begin))
            this->findings.add("newest configuration not read", when);
        for (std::size_t number = 0; number < this->groups.size(); ++number) {
            if (!this->hasWrites(number, begin))
                this->findings.add(NoWrite, this->groups[number]->groupName() + " " + when);
        }
    }

    // The data folders hold the documents with their keys, which operators read back.
    void expectNoKeysInLogs()
    {
        for (const auto &entry : std::filesystem::recursive_directory_iterator(this->folder.path)) {
            const auto &path = entry.path();
            if (path.filename().string().rfind("log-", 0) != 0
                || path.parent_path().filename() == "data")
                continue;
            std::ifstream log(path);
            for (std::string line; std::getline(log, line);) {
                if (line.find(SoakTeams::Secret) != std::string::npos)
                    this->findings.add("key in a log line", path.string());
            }
        }
    }

    bool serves(Clock::time_point since) const
    {
        bool all =
            this->configurations->hasAckedSince(since) && this->configurations->hasReadSince(since);
        for (const auto &process : this->processes)
            all = all && process->wasReadySince(since);
        for (std::size_t number = 0; number < this->groups.size(); ++number)
            all = all && this->hasWrites(number, since);
        return all;
    }

    bool hasWrites(std::size_t group, Clock::time_point since) const
    {
        for (std::size_t number = group; number < this->callers.size();
             number += this->groups.size()) {
            if (this->callers[number]->hasWrittenSince(since))
                return true;
        }
        return false;
    }

    // Disruptions.

    void disturbGroup()
    {
        StandinGroup &group = *this->groups[this->below(this->groups.size())];
        const std::size_t number = this->below(group.size());
        const auto pause = this->between(200, 5000);
        switch (this->below(4)) {
        case 0:
        case 1: {
            // At most one at a time comes back without its log.
            const bool isEmpty = Clock::now() > this->emptyUntil && this->below(2) == 0;
            if (isEmpty)
                this->emptyUntil = Clock::now() + pause + CatchUpTime;
            this->findings.event("database " + std::to_string(number) + " crashes"
                                 + (isEmpty ? ", comes back empty" : ""));
            group.crash(number);
            this->after(pause, [&group, number, isEmpty] { group.restart(number, isEmpty); });
            break;
        }
        case 2:
            this->findings.event("database " + std::to_string(number) + " goes dark");
            group.setDark(number, true);
            this->after(pause, [&group, number] { group.setDark(number, false); });
            break;
        default:
            group.resetConnections(number);
            break;
        }
    }

    void killControls()
    {
        const std::size_t count = 2 + this->below(this->shape.folders);
        std::size_t killed = 0;
        for (const auto &process : this->processes) {
            if (process->place.hasDataFolder && killed < count)
                killed += this->end(*process, SIGKILL, this->between(100, 1500)) ? 1 : 0;
        }
    }

    void disturbed(const Process &process)
    {
        if (process.place.hasDataFolder)
            this->coreDisturbed = Clock::now();
    }

    // Ends the current incarnation and starts the next one `pause` later, whether or not the
    // former has ended by then.
    bool end(Process &process, int signal, milliseconds pause)
    {
        const Incarnation current = process.current();
        if (current == nullptr)
            return false;
        this->disturbed(process);
        if (signal == SIGKILL)
            process.kill(current);
        else
            process.stop(current);
        process.startAt(Clock::now() + pause);
        return true;
    }

    void disturbProcess(Process &process)
    {
        const Incarnation current = process.current();
        if (current == nullptr)
            return;
        switch (this->below(11)) {
        case 0:
            this->end(process, SIGKILL, this->between(0, 800));
            break;
        case 1:
            // The successor starts while the predecessor may still drain.
            this->end(process, SIGTERM, this->between(0, 800));
            break;
        case 2:
            this->rewriteSettings(process, this->below(2) == 0);
            break;
        case 3:
            this->freeze(process, this->between(300, 4000));
            break;
        case 4:
            this->slowDown(process, current, Clock::now() + this->between(1000, 4000));
            break;
        case 5:
            this->replacePaused(process);
            break;
        case 6:
            this->holdPort(process);
            break;
        case 7:
            this->loseFolder(process);
            break;
        default:
            this->signalStart(process);
            break;
        }
    }

    // Other seeds, written in place; a reader may see nothing, for some milliseconds.
    void rewriteSettings(Process &process, bool isTold)
    {
        this->seedHosts.clear();
        for (std::size_t number = 1 + this->below(2); this->seedHosts.size() < 2; ++number)
            this->seedHosts.push_back(this->machineHost(number));
        process.event(isTold ? "gets new settings and a signal" : "gets new settings");
        process.truncateSettings();
        if (isTold && this->below(3) == 0)
            process.hangUp();
        this->after(this->between(0, 40), [&process, isTold] {
            process.writeSettings();
            if (isTold && process.current() != nullptr)
                process.hangUp();
        });
    }

    void freeze(Process &process, milliseconds length)
    {
        const Incarnation current = process.current();
        this->disturbed(process);
        process.pause(current, true);
        this->after(length, [this, &process, current] {
            process.pause(current, false);
            this->disturbed(process);
        });
    }

    // Stopped and continued by turns.
    void slowDown(Process &process, const Incarnation &current, Clock::time_point until)
    {
        this->disturbed(process);
        process.pause(current, true);
        this->after(milliseconds(40), [this, &process, current, until] {
            process.pause(current, false);
            if (Clock::now() < until)
                this->after(milliseconds(10), [this, &process, current, until] {
                    this->slowDown(process, current, until);
                });
        });
    }

    // The successor starts while the predecessor is paused with folder and ports; that one is then
    // killed, or goes on and is told to stop.
    void replacePaused(Process &process)
    {
        const Incarnation current = process.current();
        this->disturbed(process);
        process.pause(current, true);
        process.startAt(Clock::now() + this->between(0, 300));
        const bool isKilled = this->below(2) == 0;
        this->after(this->between(300, 3000), [this, &process, current, isKilled] {
            this->disturbed(process);
            if (isKilled) {
                process.kill(current);
                return;
            }
            process.stop(current);
            process.pause(current, false);
        });
    }

    // An outgoing connection leaves from a port of a process that starts.
    void holdPort(Process &process)
    {
        if (!this->end(process, SIGKILL, this->between(50, 200)))
            return;
        const int ports[] = {process.place.probePort, ProcessPorts::Callers,
                             ProcessPorts::FirstInternal, ProcessPorts::FirstInternal + 1};
        const int port = ports[this->below(4)];
        this->after(milliseconds(20), [this, &process, port] {
            auto holder = std::make_shared<LoopbackSocket>();
            if (!holder->open(this->platformHost(), PlatformPort, milliseconds(200),
                              process.place.host, port))
                return;
            process.event("finds port " + std::to_string(port) + " in use");
            this->after(this->between(200, 3000), [holder] { holder->reset(); });
        });
    }

    void loseFolder(Process &process)
    {
        if (!process.place.hasDataFolder || !process.isAlone()
            || Clock::now() < this->coreDisturbed + CatchUpTime)
            return;
        const bool isReady =
            std::all_of(this->processes.begin(), this->processes.end(), [](const auto &each) {
                return !each->place.hasDataFolder || each->wasReadySince(Clock::now() - seconds(2));
            });
        if (!isReady || !this->end(process, SIGKILL, this->between(100, 1000)))
            return;
        process.event("loses its data folder");
        this->after(milliseconds(50), [&process] {
            std::filesystem::remove_all(process.dataFolder());
            std::filesystem::create_directories(process.dataFolder());
        });
    }

    // A new start, and a signal or a change of the settings within it.
    void signalStart(Process &process)
    {
        if (!this->end(process, SIGKILL, milliseconds(10)))
            return;
        const bool isTorn = this->below(3) == 0;
        if (isTorn) {
            process.truncateSettings();
            this->after(this->between(10, 60), [&process] { process.writeSettings(); });
        }
        const bool isStop = this->below(3) == 0;
        this->after(this->between(12, 40), [this, &process, isStop] {
            if (process.current() == nullptr)
                return;
            if (isStop)
                this->end(process, SIGTERM, this->between(0, 300));
            else
                process.hangUp();
        });
    }

    std::uint64_t seed;
    Shape shape;
    std::mt19937_64 random;
    std::uint64_t steps = 0;
    TemporaryFolder folder;
    SoakFindings findings;
    SoakTeams teams;
    std::vector<std::string> seedHosts;
    bool isBootstrap = true;
    // Guarded by the mutex of the server, whose thread uses it.
    std::vector<std::unique_ptr<StandinGroup>> groups;
    PollServer server;
    std::vector<std::unique_ptr<Process>> processes;
    std::unique_ptr<SoakOperator> configurations;
    std::vector<std::unique_ptr<SoakCaller>> callers;
    std::multimap<Clock::time_point, std::function<void()>> schedule;
    // A database that lost its log has it again by then.
    Clock::time_point emptyUntil;
    Clock::time_point coreDisturbed = Clock::now();
};

std::uint64_t numberFrom(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::stoull(text);
}

// RHUBARBWEIR_FIRST_SEED and RHUBARBWEIR_SOAK_SEEDS choose seeds, RHUBARBWEIR_SOAK_ROUNDS a length
// and RHUBARBWEIR_SOAK_FULL the size of the users' deployment. RHUBARBWEIR_PROGRAMS_FOLDER names
// other programs.
void expectNothingFound(const std::function<bool(const std::string &)> &isJudged)
{
    Shape shape;
    if (numberFrom("RHUBARBWEIR_SOAK_FULL", 0) != 0)
        shape = {3, 3, 21, 3, 42};
    shape.rounds = numberFrom("RHUBARBWEIR_SOAK_ROUNDS", shape.rounds);
    const std::uint64_t first = numberFrom("RHUBARBWEIR_FIRST_SEED", 1);
    const std::uint64_t count = numberFrom("RHUBARBWEIR_SOAK_SEEDS", 1);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        ProcessSoak soak(seed, shape);
        const std::string found = soak.run(isJudged);
        cr_expect(found.empty(), "seed %llu:%s\n  logs in %s",
                  static_cast<unsigned long long>(seed), found.c_str(), soak.keptFolder().c_str());
    }
}

} // namespace

Test(process_soak, processes, .timeout = 3600,
     .description = "no process of a disturbed deployment ends by itself or stays without service")
{
    expectNothingFound([](const std::string &kind) { return kind != NoWrite; });
}

Test(process_soak, writes, .timeout = 3600,
     .description = "a disturbed deployment takes writes again in time, once databases are calm")
{
    expectNothingFound([](const std::string &kind) { return kind == NoWrite; });
}
