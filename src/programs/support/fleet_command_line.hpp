// Start of the programs that the platform runs: command line, settings file and event log.
#pragma once

#include "platform/process_settings.hpp"

#include <optional>
#include <string>

namespace rhubarbweir {

struct FleetStart
{
    platform::ProcessSettings settings;
    std::string settingsPath;
};

// Reads `--settings FILE`, or else the environment's settings variable, opens the event log on
// standard output and ignores SIGPIPE. Empty, after a message, when the process cannot start, and
// after --help and --check.
std::optional<FleetStart> readFleetCommandLine(int argc, char **argv, const std::string &program);

} // namespace rhubarbweir
