// Runs the steps of a scenario against a fixture, which implements the verbs.
#pragma once

#include "scenarios/scenario.hpp"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <string>

namespace rhubarbweir::testing {

// Runs one step with this verb. An error fails the scenario and is reported with the step's line.
using Verb = std::function<absl::Status(const Step &)>;
using Verbs = std::map<std::string, Verb>;

// Advances the fixture to a virtual time since the start of the scenario.
using AdvanceTo = std::function<void(Duration sinceStart)>;

// Reads and runs `file`. Errors: NotFound if it cannot be read, InvalidArgument if it is malformed,
// otherwise the status of the first failing step, with file and line.
absl::Status runScenarioFile(const std::string &file, const AdvanceTo &advanceTo,
                             const Verbs &verbs);

} // namespace rhubarbweir::testing
