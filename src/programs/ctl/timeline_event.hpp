// An event of a process's event log.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbweir {

struct TimelineEvent
{
    // Clock of the event log (event_log.hpp), in microseconds since 1970.
    std::int64_t clock = 0;
    std::string instance;
    std::string event;
    std::string level;
    // Cause of the event; empty when the log line has none.
    std::string cause;
    // The other fields, in the order of the log line.
    std::vector<std::pair<std::string, std::string>> fields;

    // Returns the value of the field `key`; empty when there is no such field.
    std::string field(std::string_view key) const;
};

// Parses a line of key=value pairs, whose values may be quoted. Returns nothing when the line is
// not a valid event.
std::optional<TimelineEvent> parseEventLine(std::string_view line);

struct EventFile
{
    std::vector<TimelineEvent> events;
    // Lines that are not valid events, such as a line truncated by a crash.
    std::size_t skippedLines = 0;
};

EventFile readEvents(std::istream &in);

} // namespace rhubarbweir
