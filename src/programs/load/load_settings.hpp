// Settings of rhubarb-load, from an INI file or from flags of the same names.
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
    // Operations a second over all sessions; 0 is a closed loop.
    double rate = 0;
    // Pause of a session between operations of a closed loop.
    Duration thinkTime = std::chrono::milliseconds(0);
    Duration duration = std::chrono::seconds(30);
    std::uint64_t seed = 1;
    // Ten times the rate for `peakFor`, from `peakAfter` on; none when `peakFor` is 0.
    Duration peakAfter{0};
    Duration peakFor{0};
    double peakFactor = 10;
    // One further session a group writes at this interval, so that a write gap is measured
    // finely; none when 0.
    Duration probeInterval{0};
    // Time that a caller gives one operation, retries included.
    Duration deadline = std::chrono::milliseconds(1000);
    // Time after the deadline in which an answer is not yet counted as missing.
    Duration grace = std::chrono::milliseconds(500);
    // Time for outcome queries and final reads after the run.
    Duration settleFor = std::chrono::seconds(20);
    std::uint32_t keysPerGroup = 4;
    // Reports of the stand-ins: files, or folders of .json files.
    std::vector<std::string> reports;
    // Time that the stand-ins have to write their last reports.
    Duration reportWait = std::chrono::milliseconds(1500);
    std::string jsonFile;
};

struct LoadStart
{
    LoadSettings settings;
    // Set when the program has to end at once.
    std::optional<ExitCode> exit;
};

SettingsSchema loadSettingsSchema();

// Reads --settings FILE and flags named like the settings, which win over the file.
// Faults are printed to standard error.
LoadStart startLoadProgram(int argc, char **argv);

} // namespace rhubarbweir
