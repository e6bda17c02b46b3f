// See scenario_runner.hpp.
#include "scenarios/scenario_runner.hpp"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <optional>
#include <sstream>

namespace rhubarbweir::testing {

absl::Status runScenarioFile(const std::string &file, const ClockOf &clockOf, const Verbs &verbs)
{
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    if (!in)
        return absl::NotFoundError(absl::StrCat("cannot read ", file));
    const auto steps = parseScenario(text.str());
    if (!steps.ok())
        return steps.status();
    if (steps->empty())
        return absl::InvalidArgumentError(absl::StrCat(file, " has no steps"));
    std::optional<TimePoint> start;
    for (const Step &step : *steps) {
        const auto verb = verbs.find(step.verb);
        if (verb == verbs.end())
            return absl::InvalidArgumentError(
                absl::StrCat(file, ":", step.line, ": unknown verb ", step.verb));
        if (step.at > Duration{0} && !start)
            start = clockOf().now();
        if (start)
            clockOf().runUntil(*start + step.at);
        const absl::Status status = verb->second(step);
        if (!status.ok())
            return absl::Status(status.code(),
                                absl::StrCat(file, ":", step.line, ": ", status.message()));
    }
    return absl::OkStatus();
}

} // namespace rhubarbweir::testing
