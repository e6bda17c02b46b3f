// See load_runner.hpp.
#include "programs/load/load_runner.hpp"

#include "programs/support/atomic_file.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <utility>

namespace rhubarbweir {

namespace {

constexpr std::chrono::seconds ProgressInterval{2};
constexpr std::chrono::milliseconds IdleCheckInterval{20};
constexpr std::chrono::seconds OpenTimeout{20};
constexpr std::chrono::milliseconds CloseTime{200};

Mix mixFor(const LoadSettings &settings)
{
    Mix mix = mixOf(settings.mix);
    mix.roaming = settings.roaming;
    return mix;
}

std::vector<std::string> reportFiles(const std::vector<std::string> &places)
{
    std::vector<std::string> files;
    for (const std::string &place : places) {
        if (!std::filesystem::is_directory(place)) {
            files.push_back(place);
            continue;
        }
        for (const auto &entry : std::filesystem::directory_iterator(place)) {
            if (entry.path().extension() == ".json")
                files.push_back(entry.path().string());
        }
    }
    return files;
}

} // namespace

LoadRunner::LoadRunner(const LoadSettings &loadSettings)
    : client(this->loop)
    , shared{
          loadSettings,    Workload(mixFor(loadSettings), loadSettings.groups, loadSettings.seed),
          Checker(),       Measurements(EventLoop::now()),
          this->loop,      this->client,
          TimePoint::max()}
{
}

ExitCode LoadRunner::run()
{
    this->openSessions();
    this->loop.every(ProgressInterval, [this] { this->showProgress(); });
    this->loop.onStopSignal([this](int) { this->loadEndsAt = EventLoop::now(); });
    this->loop.run();
    return this->exitCode;
}

void LoadRunner::openSessions()
{
    const LoadSettings &settings = this->shared.settings;
    const bool isProbing = settings.probeInterval > Duration::zero();
    const std::size_t count = settings.sessions + (isProbing ? settings.groups.size() : 0);
    for (std::size_t number = 0; number < count; ++number) {
        this->sessions.push_back(std::make_shared<SessionDriver>(this->shared, number));
        this->sessions.back()->open([this] {
            if (++this->openSessionCount == this->sessions.size())
                this->startLoad();
        });
    }
    this->loop.schedule(EventLoop::now() + OpenTimeout, [this] {
        if (this->openSessionCount == this->sessions.size())
            return;
        std::cerr << "only " << this->openSessionCount << " of " << this->sessions.size()
                  << " sessions could be opened\n";
        this->exitCode = ExitCode::Unavailable;
        this->loop.stop();
    });
}

void LoadRunner::startLoad()
{
    const TimePoint now = EventLoop::now();
    this->startedAt = now;
    this->shared.measurements = Measurements(now);
    this->loadEndsAt = std::min(this->loadEndsAt, now + this->shared.settings.duration);
    this->loop.every(IdleCheckInterval, [this] {
        if (this->shared.settleBy == TimePoint::max() && EventLoop::now() >= this->loadEndsAt)
            this->startSettling();
    });
    this->startProbes();
    if (this->shared.settings.rate > 0) {
        this->nextArrivalAt = now;
        this->planArrival();
        return;
    }
    for (std::size_t number = 0; number < this->shared.settings.sessions; ++number)
        this->continueSession(number);
}

void LoadRunner::startProbes()
{
    const LoadSettings &settings = this->shared.settings;
    for (std::size_t number = settings.sessions; number < this->sessions.size(); ++number) {
        PlannedOperation planned;
        planned.kind = OperationKind::Write;
        planned.group = settings.groups[number - settings.sessions];
        this->loop.every(settings.probeInterval, [this, number, planned] {
            if (EventLoop::now() < this->loadEndsAt)
                this->sessions[number]->perform(planned, [] {});
        });
    }
}

void LoadRunner::continueSession(std::size_t number)
{
    const TimePoint now = EventLoop::now();
    if (now >= this->loadEndsAt)
        return;
    this->sessions[number]->perform(this->shared.workload.next(), [this, number] {
        // Not called directly: an operation may end at once.
        const TimePoint nextAt = EventLoop::now() + this->shared.settings.thinkTime;
        this->loop.schedule(nextAt, [this, number] { this->continueSession(number); });
    });
}

void LoadRunner::planArrival()
{
    std::exponential_distribution<double> spacing(this->rateNow());
    const double seconds = spacing(this->shared.workload.randomness());
    this->nextArrivalAt +=
        std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(seconds));
    this->loop.schedule(this->nextArrivalAt, [this] {
        if (EventLoop::now() >= this->loadEndsAt)
            return;
        const std::size_t number = this->shared.workload.pick(this->shared.settings.sessions);
        this->sessions[number]->perform(this->shared.workload.next(), [] {});
        this->planArrival();
    });
}

double LoadRunner::rateNow() const
{
    const LoadSettings &settings = this->shared.settings;
    const TimePoint peakBegins = this->startedAt + settings.peakAfter;
    const TimePoint peakEnds = peakBegins + settings.peakFor;
    const bool isPeak = this->nextArrivalAt >= peakBegins && this->nextArrivalAt < peakEnds;
    return settings.rate * (isPeak ? settings.peakFactor : 1.0);
}

void LoadRunner::startSettling()
{
    this->shared.settleBy = EventLoop::now() + this->shared.settings.settleFor;
    this->waitUntilIdle();
}

// Operations under way and outcome queries end before the final reads.
void LoadRunner::waitUntilIdle()
{
    if (this->busy() == 0) {
        this->shared.measurements.finish(EventLoop::now());
        this->startFinalReads();
        return;
    }
    this->loop.schedule(EventLoop::now() + IdleCheckInterval, [this] { this->waitUntilIdle(); });
}

void LoadRunner::startFinalReads()
{
    this->shared.settleBy = EventLoop::now() + this->shared.settings.settleFor;
    this->sessionsToCheck = this->sessions.size();
    for (const auto &session : this->sessions) {
        session->checkFinally([this] {
            if (--this->sessionsToCheck > 0)
                return;
            this->loop.schedule(EventLoop::now() + this->shared.settings.reportWait,
                                [this] { this->finish(); });
        });
    }
}

void LoadRunner::finish()
{
    for (const auto &session : this->sessions)
        session->close();
    const RunResult result = this->checkReports();
    printReport(std::cout, this->shared.measurements, result);
    std::cout.flush();
    const std::string &file = this->shared.settings.jsonFile;
    this->exitCode =
        isClean(this->shared.measurements, result) ? ExitCode::Success : ExitCode::Failure;
    if (!file.empty()) {
        const absl::Status written =
            replaceFile(file, jsonReport(this->shared.measurements, result).dump(2) + "\n");
        if (!written.ok()) {
            std::cerr << written << "\n";
            this->exitCode = ExitCode::CannotCreate;
        }
    }
    // Connections that end release their sessions.
    this->loop.schedule(EventLoop::now() + CloseTime, [this] { this->loop.stop(); });
}

RunResult LoadRunner::checkReports()
{
    RunResult result;
    std::vector<nlohmann::json> reports;
    for (const std::string &file : reportFiles(this->shared.settings.reports)) {
        std::ifstream in(file);
        nlohmann::json report = nlohmann::json::parse(in, nullptr, false);
        if (report.is_discarded())
            std::cerr << "not a report: " << file << "\n";
        else if (report.contains("entries"))
            reports.push_back(std::move(report));
    }
    result.hasReports = !this->shared.settings.reports.empty();
    if (result.hasReports)
        result.unchecked = this->shared.checker.checkReports(reports);
    result.violations = this->shared.checker.violations();
    result.details = this->shared.checker.details();
    result.confirmedWrites = this->shared.checker.confirmedWrites();
    result.ranFor = std::chrono::duration_cast<Duration>(this->loadEndsAt - this->startedAt);
    return result;
}

void LoadRunner::showProgress() const
{
    const Measurements &measurements = this->shared.measurements;
    std::cerr << "sessions " << this->openSessionCount << "/" << this->sessions.size()
              << " operations " << measurements.operations() << " ok "
              << measurements.operationsOk() << " under way " << this->busy() << "\n";
}

std::size_t LoadRunner::busy() const
{
    std::size_t total = 0;
    for (const auto &session : this->sessions)
        total += session->busyWith();
    return total;
}

} // namespace rhubarbweir
