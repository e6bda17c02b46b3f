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
constexpr std::chrono::milliseconds CloseGracePeriod{200};

Mix mixFor(const LoadSettings &settings)
{
    Mix mix = mixOf(settings.mix);
    mix.roaming = settings.roaming;
    return mix;
}

std::vector<std::string> reportFiles(const std::vector<std::string> &paths)
{
    std::vector<std::string> files;
    for (const std::string &place : paths) {
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
    , context{
          loadSettings,    Workload(mixFor(loadSettings), loadSettings.groups, loadSettings.seed),
          Checker(),       Measurements(EventLoop::now()),
          this->loop,      this->client,
          TimePoint::max()}
{
}

ExitCode LoadRunner::run()
{
    this->openSessions();
    this->loop.every(ProgressInterval, [this] { this->printProgress(); });
    this->loop.onStopSignal([this](int) { this->loadEndsAt = EventLoop::now(); });
    this->loop.run();
    return this->exitCode;
}

void LoadRunner::openSessions()
{
    const LoadSettings &settings = this->context.settings;
    const bool hasProbes = settings.probeInterval > Duration::zero();
    const std::size_t count = settings.sessions + (hasProbes ? settings.groups.size() : 0);
    for (std::size_t number = 0; number < count; ++number) {
        this->sessions.push_back(std::make_shared<SessionDriver>(this->context, number));
        this->sessions.back()->open([this] {
            if (++this->openSessionCount == this->sessions.size())
                this->startLoad();
        });
    }
    this->loop.schedule(EventLoop::now() + OpenTimeout, [this] {
        if (this->openSessionCount == this->sessions.size())
            return;
        std::cerr << "timed out: only " << this->openSessionCount << " of " << this->sessions.size()
                  << " sessions could be opened\n";
        this->exitCode = ExitCode::Unavailable;
        this->loop.stop();
    });
}

void LoadRunner::startLoad()
{
    const TimePoint now = EventLoop::now();
    this->startedAt = now;
    this->context.measurements = Measurements(now);
    this->loadEndsAt = std::min(this->loadEndsAt, now + this->context.settings.duration);
    this->loop.every(IdleCheckInterval, [this] {
        if (this->context.settleDeadline == TimePoint::max()
            && EventLoop::now() >= this->loadEndsAt)
            this->startSettling();
    });
    this->startProbes();
    if (this->context.settings.rate > 0) {
        this->nextArrivalAt = now;
        this->scheduleNextArrival();
        return;
    }
    for (std::size_t number = 0; number < this->context.settings.sessions; ++number)
        this->continueSession(number);
}

void LoadRunner::startProbes()
{
    const LoadSettings &settings = this->context.settings;
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
    this->sessions[number]->perform(this->context.workload.next(), [this, number] {
        // Scheduled instead of called, as an operation that ends at once would recurse.
        const TimePoint nextAt = EventLoop::now() + this->context.settings.thinkTime;
        this->loop.schedule(nextAt, [this, number] { this->continueSession(number); });
    });
}

void LoadRunner::scheduleNextArrival()
{
    std::exponential_distribution<double> spacing(this->currentRate());
    const double seconds = spacing(this->context.workload.generator());
    this->nextArrivalAt +=
        std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(seconds));
    this->loop.schedule(this->nextArrivalAt, [this] {
        if (EventLoop::now() >= this->loadEndsAt)
            return;
        const std::size_t number =
            this->context.workload.pickIndex(this->context.settings.sessions);
        this->sessions[number]->perform(this->context.workload.next(), [] {});
        this->scheduleNextArrival();
    });
}

double LoadRunner::currentRate() const
{
    const LoadSettings &settings = this->context.settings;
    const TimePoint peakBegins = this->startedAt + settings.peakAfter;
    const TimePoint peakEnds = peakBegins + settings.peakFor;
    const bool isPeak = this->nextArrivalAt >= peakBegins && this->nextArrivalAt < peakEnds;
    return settings.rate * (isPeak ? settings.peakFactor : 1.0);
}

void LoadRunner::startSettling()
{
    this->context.settleDeadline = EventLoop::now() + this->context.settings.settleFor;
    this->waitUntilIdle();
}

// The final reads start when all operations and outcome queries have ended.
void LoadRunner::waitUntilIdle()
{
    if (this->totalOperationsInProgress() == 0) {
        this->context.measurements.finish(EventLoop::now());
        this->startFinalReads();
        return;
    }
    this->loop.schedule(EventLoop::now() + IdleCheckInterval, [this] { this->waitUntilIdle(); });
}

void LoadRunner::startFinalReads()
{
    this->context.settleDeadline = EventLoop::now() + this->context.settings.settleFor;
    this->sessionsToCheck = this->sessions.size();
    for (const auto &session : this->sessions) {
        session->checkFinalValues([this] {
            if (--this->sessionsToCheck > 0)
                return;
            this->loop.schedule(EventLoop::now() + this->context.settings.reportWait,
                                [this] { this->finish(); });
        });
    }
}

void LoadRunner::finish()
{
    for (const auto &session : this->sessions)
        session->close();
    const RunResult result = this->checkReports();
    printReport(std::cout, this->context.measurements, result);
    std::cout.flush();
    const std::string &file = this->context.settings.jsonFile;
    this->exitCode =
        isClean(this->context.measurements, result) ? ExitCode::Success : ExitCode::Failure;
    if (!file.empty()) {
        const absl::Status written =
            replaceFile(file, jsonReport(this->context.measurements, result).dump(2) + "\n");
        if (!written.ok()) {
            std::cerr << written << "\n";
            this->exitCode = ExitCode::CannotCreate;
        }
    }
    // Closed connections release their sessions.
    this->loop.schedule(EventLoop::now() + CloseGracePeriod, [this] { this->loop.stop(); });
}

RunResult LoadRunner::checkReports()
{
    RunResult result;
    std::vector<nlohmann::json> reports;
    for (const std::string &file : reportFiles(this->context.settings.reports)) {
        std::ifstream in(file);
        nlohmann::json report = nlohmann::json::parse(in, nullptr, false);
        if (report.is_discarded())
            std::cerr << "not a JSON report: " << file << "\n";
        else if (report.contains("entries"))
            reports.push_back(std::move(report));
    }
    result.hasReports = !this->context.settings.reports.empty();
    if (result.hasReports)
        result.uncheckedGroups = this->context.checker.checkReports(reports);
    result.violations = this->context.checker.violations();
    result.details = this->context.checker.details();
    result.confirmedWrites = this->context.checker.confirmedWrites();
    result.ranFor = std::chrono::duration_cast<Duration>(this->loadEndsAt - this->startedAt);
    return result;
}

void LoadRunner::printProgress() const
{
    const Measurements &measurements = this->context.measurements;
    std::cerr << "sessions " << this->openSessionCount << "/" << this->sessions.size()
              << " operations " << measurements.operations() << " ok "
              << measurements.operationsOk() << " in progress " << this->totalOperationsInProgress()
              << "\n";
}

std::size_t LoadRunner::totalOperationsInProgress() const
{
    std::size_t total = 0;
    for (const auto &session : this->sessions)
        total += session->operationsInProgress();
    return total;
}

} // namespace rhubarbweir
