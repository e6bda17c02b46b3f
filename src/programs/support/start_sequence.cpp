// See start_sequence.hpp.
#include "programs/support/start_sequence.hpp"

#include "rhubarbweir/transport/event_loop.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <new>
#include <system_error>
#include <utility>

namespace rhubarbweir {

namespace {

// Pauses between the attempts of a step grow from the first to the second.
constexpr std::chrono::milliseconds FirstPause{50};
constexpr std::chrono::milliseconds LongestPause{1000};
// Bounds the log of a step whose cause has a different text at each attempt.
constexpr std::size_t MaxLoggedCauses = 8;

absl::Status tryOnce(const StartSequence::Attempt &attempt)
{
    try {
        return attempt();
    } catch (const std::system_error &error) {
        return absl::UnavailableError(error.what());
    } catch (const std::bad_alloc &error) {
        return absl::ResourceExhaustedError(error.what());
    }
}

bool isFinal(const absl::Status &status)
{
    return absl::IsInvalidArgument(status) || absl::IsPermissionDenied(status);
}

} // namespace

StartSequence::StartSequence(EventLoop &eventLoop, Report reportHook)
    : loop(eventLoop)
    , report(std::move(reportHook))
    , stopSignal(std::make_shared<std::optional<int>>())
{
}

void StartSequence::add(std::string step, Attempt attempt)
{
    this->steps.push_back({std::move(step), std::move(attempt)});
}

absl::Status StartSequence::run()
{
    this->loop.onStopSignal([&eventLoop = this->loop, stop = this->stopSignal](int signal) {
        *stop = signal;
        eventLoop.stop();
    });
    // Delivers a signal that arrived before.
    this->loop.runReady();
    for (const Step &step : this->steps) {
        if (absl::Status completed = this->complete(step); !completed.ok())
            return completed;
    }
    return absl::OkStatus();
}

absl::Status StartSequence::complete(const Step &step)
{
    const TimePoint startedAt = EventLoop::now();
    Duration pause = FirstPause;
    this->loggedCauses.clear();
    while (!*this->stopSignal) {
        absl::Status status = tryOnce(step.attempt);
        if (isFinal(status))
            return status;
        if (status.ok()) {
            if (!this->loggedCauses.empty()) {
                const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
                    EventLoop::now() - startedAt);
                this->report(LogLevel::Info, "start_resumed",
                             {{"step", step.name},
                              {"waited_ms", static_cast<std::int64_t>(waited.count())}});
            }
            return status;
        }
        this->logCause(step, status);
        this->waitUntil(EventLoop::now() + pause);
        pause = std::min<Duration>(2 * pause, LongestPause);
    }
    this->report(LogLevel::Info, "start_stopped",
                 {{"step", step.name}, {"signal", static_cast<std::int64_t>(**this->stopSignal)}});
    return absl::CancelledError(absl::StrCat("stopped before step ", step.name));
}

void StartSequence::logCause(const Step &step, const absl::Status &status)
{
    const std::string cause(status.message());
    if (this->loggedCauses.size() < MaxLoggedCauses && this->loggedCauses.insert(cause).second)
        this->report(LogLevel::Warning, "start_waiting", {{"step", step.name}, {"cause", cause}});
}

void StartSequence::waitUntil(TimePoint deadline)
{
    this->loop.schedule(deadline, [&eventLoop = this->loop] { eventLoop.stop(); });
    this->loop.run();
}

} // namespace rhubarbweir
