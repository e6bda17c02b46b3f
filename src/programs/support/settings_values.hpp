// Parses and formats values of settings: durations, addresses, numbers and lists.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbweir {

// Parses a decimal integer with an optional minus sign.
std::optional<std::int64_t> parseInteger(std::string_view text);

// Parses a number with a unit: us, ms, s, m or h. "400ms" is 400,000 microseconds.
std::optional<Duration> parseDuration(std::string_view text);

// Returns the shortest text that parseDuration() parses back to `duration`.
std::string formatDuration(Duration duration);

// Returns whether `text` is an IPv4 address, a colon and a port from 1 to 65535.
bool isAddress(std::string_view text);

// Splits at commas and newlines, trims white space and drops empty items.
std::vector<std::string> parseList(std::string_view text);

} // namespace rhubarbweir
