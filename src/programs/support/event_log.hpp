// Event log of a process: one line of key=value pairs per event. A thread writes the lines, so that
// output that is not read, slow or full never blocks the process. Lines that do not fit into its
// bounded queue are dropped; "event=log_lines_dropped count=…" tells how many once lines flow
// again.
#pragma once

#include "rhubarbweir/transport/connection.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbweir {

struct EventField
{
    std::string key;
    std::string value;

    EventField(std::string_view name, std::string_view text)
        : key(name)
        , value(text)
    {
    }
    EventField(std::string_view name, std::int64_t number)
        : key(name)
        , value(std::to_string(number))
    {
    }
};

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

struct EventLogSettings
{
    // Empty to log to a standard stream.
    std::string file;
    // Without a file, logs to standard output instead of standard error.
    bool toStandardOutput = false;
    LogLevel level = LogLevel::Info;
    std::string instance;
};

// Call once, before other threads log. As the process exits, the last lines have a short time to be
// written.
// Errors: InvalidArgument when the file cannot be opened.
absl::Status openEventLog(const EventLogSettings &settings);
// Names the instance in the lines that follow. Must not be called beside logEvent().
void setEventLogInstance(const std::string &instance);

// Writes "time=… clock=… instance=… event=… key=value …"; values with spaces are quoted. `clock` is
// the wall clock in microseconds since 1970, made strictly increasing within the process; it orders
// events across processes.
void logEvent(LogLevel level, std::string_view event, const std::vector<EventField> &fields);

// Lines that were dropped or could not be written since the start.
std::uint64_t droppedLogLines();

// Logs a SIGHUP that a program without a reload received.
void logReloadIgnored();

// Logs that a connection was closed because the peer violated the protocol.
void logConnectionFault(CloseReason reason, const std::string &peer, const std::string &detail);

} // namespace rhubarbweir
