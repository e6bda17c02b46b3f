// Runs a scenario's steps against a fixture, which maps verbs to actions and expectations.
#pragma once

#include "scenarios/scenario.hpp"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <string>

namespace rhubarbweir::testing {

// What a verb does; an error fails the scenario at the step's line.
using Verb = std::function<absl::Status(const Step &)>;
using Verbs = std::map<std::string, Verb>;

// Runs the fixture up to a virtual time since the scenario's start.
using RunTo = std::function<void(Duration sinceStart)>;

// Reads and runs `file`. Errors: the first failing step, with file and line.
absl::Status runScenarioFile(const std::string &file, const RunTo &runTo, const Verbs &verbs);

} // namespace rhubarbweir::testing
