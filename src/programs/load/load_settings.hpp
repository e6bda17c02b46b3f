// Settings of rhubarb-load, read from an INI file and from command-line flags of the same names.
#pragma once

#include "programs/load/workload.hpp"
#include "programs/support/command_line.hpp"

#include <optional>
#include <string>
#include <vector>

namespace rhubarbweir {

struct LoadSettings
{
    std::vector<std::string> proxies;
    std::vector<GroupId> groups;
    MixName mix = MixName::Lakeshore;
    double roaming = 0.02;
    std::uint32_t sessions = 50;
    // Operations per second over all sessions; 0 runs a closed loop.
    double rate = 0;
    // Pause between two operations of a session in a closed loop.
    Duration thinkTime = std::chrono::milliseconds(0);
    Duration duration = std::chrono::seconds(30);
    std::uint64_t seed = 1;
    // Peak load: the rate is multiplied by `peakFactor` for `peakFor`, starting at `peakAfter`.
    // No peak if `peakFor` is 0.
    Duration peakAfter{0};
    Duration peakFor{0};
    double peakFactor = 10;
    // One additional session per group writes at this interval, for a finer resolution of the
    // measured write gaps; 0 disables it.
    Duration probeInterval{0};
    // Timeout of an operation, including its retries.
    Duration deadline = std::chrono::milliseconds(1000);
    // Time after the deadline until an answer counts as missing.
    Duration grace = std::chrono::milliseconds(500);
    // Time limit for outcome queries after the load, and again for the final reads.
    Duration settleFor = std::chrono::seconds(20);
    std::uint32_t keysPerGroup = 4;
    // Reports of the stand-in databases: files, or folders of .json files.
    std::vector<std::string> reports;
    // Time for the stand-in databases to write their last reports.
    Duration reportWait = std::chrono::milliseconds(1500);
    std::string jsonFile;
};

struct LoadStart
{
    LoadSettings settings;
    // Set if the program has to exit immediately.
    std::optional<ExitCode> exit;
};

SettingsSchema loadSettingsSchema();

// Reads --settings FILE and the flags, which override the file. Prints faults to standard error.
LoadStart startLoadProgram(int argc, char **argv);

} // namespace rhubarbweir
