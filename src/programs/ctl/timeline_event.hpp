// One event of a process's event log.
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
    // Hybrid logical clock, in microseconds since 1970.
    std::int64_t clock = 0;
    std::string instance;
    std::string event;
    std::string level;
    // Why the event happened; empty where the log says nothing.
    std::string cause;
    // The other fields, in the order of the log line.
    std::vector<std::pair<std::string, std::string>> fields;

    // Empty where there is no such field.
    std::string field(std::string_view key) const;
};

// Parses one line of key=value pairs; values may be quoted. Absent: not an event.
std::optional<TimelineEvent> parseEventLine(std::string_view line);

struct EventFile
{
    std::vector<TimelineEvent> events;
    // Lines that are no event, such as one cut off by a crash.
    std::size_t skippedLines = 0;
};

EventFile readEvents(std::istream &in);

} // namespace rhubarbweir
