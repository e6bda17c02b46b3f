// Event log of a process: one line of key=value pairs per event.
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

// Errors: InvalidArgument when the file cannot be opened.
absl::Status openEventLog(const EventLogSettings &settings);

// Writes "time=… clock=… instance=… event=… key=value …"; values with spaces are quoted. `clock` is
// the wall clock in microseconds since 1970, made strictly increasing within the process; it orders
// events across processes.
void logEvent(LogLevel level, std::string_view event, const std::vector<EventField> &fields);

// Logs that a connection was closed because the peer violated the protocol.
void logConnectionFault(CloseReason reason, const std::string &peer, const std::string &detail);

} // namespace rhubarbweir
