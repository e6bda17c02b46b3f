// The scenario language: a scenario is a list of steps in virtual time, one per line.
//
//     # A write through an isolated proxy has an unknown outcome.
//     given fixture seed=3
//     given open s via=p1
//     at 1.2s cut p1 d1 d2 d3
//     at 1.3s write w by=s key=k value=5
//     at 3s expect answer w OutcomeUnknown
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbweir::testing {

struct Step
{
    // Virtual time since the start of the scenario. Steps with `given` run at 0.
    Duration at{0};
    std::string verb;
    // Positional arguments after the verb.
    std::vector<std::string> words;
    // Options (name=value) after the verb.
    std::map<std::string, std::string> options;
    // Line number in the scenario file, starting at 1.
    std::size_t line = 0;

    // Positional argument `index`, or an empty string if there are fewer.
    std::string word(std::size_t index) const;
    // Value of option `name`, or `fallback` without that option.
    std::string value(const std::string &name, const std::string &fallback = {}) const;
    // As `value`, as an integer; `fallback` also for text that is none.
    std::int64_t number(const std::string &name, std::int64_t fallback) const;
    // As `value`, as a duration such as 300ms or 1.5s; `fallback` also for text that is none.
    Duration duration(const std::string &name, Duration fallback) const;
};

// Parses a scenario into its steps, in file order. Errors: InvalidArgument with the line of the
// first syntax error.
absl::StatusOr<std::vector<Step>> parseScenario(std::string_view text);

// Parses a number with one of the units us, ms, s and h. Errors: InvalidArgument.
absl::StatusOr<Duration> parseDuration(std::string_view text);

} // namespace rhubarbweir::testing
