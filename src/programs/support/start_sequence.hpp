// Start of a program in steps. A step that fails for a reason that may pass, such as a port that
// another process still holds, is tried again, while stop signals are answered at once.
#pragma once

#include "programs/support/event_log.hpp"
#include "rhubarbweir/state/time.hpp"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbweir {

class EventLoop;

class StartSequence
{
public:
    // InvalidArgument and PermissionDenied are final. Other errors, and exceptions of the system
    // or of memory, may pass.
    using Attempt = std::function<absl::Status()>;

    // Writes what a start waits for.
    using Report =
        std::function<void(LogLevel, std::string_view event, const std::vector<EventField> &)>;

    explicit StartSequence(EventLoop &loop, Report report = logEvent);

    void add(std::string step, Attempt attempt);
    // Completes the steps in the order of add(). Runs the event loop only while a step waits. The
    // handler of stop signals that this installs is to be replaced before the loop runs again.
    // Errors: Cancelled after a stop signal, or the final error of a step.
    absl::Status run();

private:
    struct Step
    {
        std::string name;
        Attempt attempt;
    };

    absl::Status complete(const Step &step);
    void waitUntil(TimePoint deadline);
    void logCause(const Step &step, const absl::Status &status);

    EventLoop &loop;
    Report report;
    std::vector<Step> steps;
    // Shared with the handler, which outlives this object.
    std::shared_ptr<std::optional<int>> stopSignal;
    // Causes of the current step that were logged.
    std::set<std::string> loggedCauses;
};

} // namespace rhubarbweir
