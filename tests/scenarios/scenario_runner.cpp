// See scenario_runner.hpp.
#include "scenarios/scenario_runner.hpp"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <sstream>

namespace rhubarbweir::testing {

absl::Status runScenarioFile(const std::string &file, const AdvanceTo &advanceTo,
                             const Verbs &verbs)
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
    for (const Step &step : *steps) {
        const auto verb = verbs.find(step.verb);
        if (verb == verbs.end())
            return absl::InvalidArgumentError(
                absl::StrCat(file, ":", step.line, ": unknown verb ", step.verb));
        advanceTo(step.at);
        const absl::Status status = verb->second(step);
        if (!status.ok())
            return absl::Status(status.code(),
                                absl::StrCat(file, ":", step.line, ": ", status.message()));
    }
    return absl::OkStatus();
}

} // namespace rhubarbweir::testing
