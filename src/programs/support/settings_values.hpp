// Parsing of the values that settings hold: durations, addresses, numbers and lists.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbweir {

// Parses a whole decimal number, with an optional sign.
std::optional<std::int64_t> parseInteger(std::string_view text);

// Parses a number with a unit: us, ms, s, m or h. "400ms" is 400,000 microseconds.
std::optional<Duration> parseDuration(std::string_view text);

// The shortest text that parseDuration() reads back as `duration`.
std::string formatDuration(Duration duration);

// Whether `text` is a numeric IPv4 address, a colon and a port from 1 to 65535.
bool isAddress(std::string_view text);

// Splits at commas and line ends, without surrounding blanks and empty items.
std::vector<std::string> parseList(std::string_view text);

} // namespace rhubarbweir
