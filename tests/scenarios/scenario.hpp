// The small test language: a scenario is a list of steps, one a line, in virtual time.
//
//     # the old primary keeps answering
//     given proxies p1 p2
//     at 1.2s cut p1 a
//     at 1.3s write w7 via=p1 key=k value=5
//     at 3s   expect answer w7 OutcomeUnknown
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
    // Virtual time since the scenario's start; `given` steps are at 0.
    Duration at{0};
    std::string verb;
    // Plain words after the verb.
    std::vector<std::string> words;
    // name=value pairs after the verb.
    std::map<std::string, std::string> named;
    std::size_t line = 0;

    // Word `index`, or an empty string.
    std::string word(std::size_t index) const;
    std::string value(const std::string &name, const std::string &fallback = {}) const;
    std::int64_t number(const std::string &name, std::int64_t fallback) const;
    // A time such as 300ms or 1.5s under `name`.
    Duration duration(const std::string &name, Duration fallback) const;
};

// Steps in the order of their lines. Errors: InvalidArgument with the line of the first fault.
absl::StatusOr<std::vector<Step>> parseScenario(std::string_view text);

// Errors: InvalidArgument.
absl::StatusOr<Duration> parseDuration(std::string_view text);

} // namespace rhubarbweir::testing
