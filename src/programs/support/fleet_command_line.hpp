// Startup of the programs that the platform runs: command line, settings file and event log.
#pragma once

#include "platform/process_settings.hpp"

#include <optional>
#include <string>

namespace rhubarbweir {

class EventLoop;

struct FleetStart
{
    platform::ProcessSettings settings;
    std::string settingsPath;
    // Exit status of a process that has to exit immediately.
    std::optional<int> exit;
};

// Opens the event log on standard output and reads the settings file named by
// `--settings FILE` or else by the settings variable of the environment. Waits, with `loop`, for a
// file that is missing or still being written. --help, --check, wrong settings and a stop signal
// end the process.
FleetStart readFleetCommandLine(EventLoop &loop, int argc, char **argv, const std::string &program);

// Exit status of a program that ran with `status`, and logs why it failed. A start that a signal
// stopped has not failed.
int exitOf(const absl::Status &status);

} // namespace rhubarbweir
