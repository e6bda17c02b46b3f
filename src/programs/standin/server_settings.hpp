// Settings of rhubarb-standin.
#pragma once

#include "programs/standin/database.hpp"
#include "programs/support/event_log.hpp"

#include <string>
#include <vector>

namespace rhubarbweir {

struct ServerSettings
{
    DatabaseSettings database;
    // Host and port to listen on and to announce.
    std::string address;
    FailureDomainId failureDomain;
    // Control instances; announcements go to each.
    std::vector<std::string> controlAddresses;
    Duration announceInterval = std::chrono::milliseconds(250);
    // Least time between two unasked status messages on a connection.
    Duration statusInterval = std::chrono::milliseconds(1);
    Duration reportInterval = std::chrono::seconds(1);
    // Empty writes no report.
    std::string reportFile;
    // Keeps terms and log across a restart of the process; empty keeps nothing.
    std::string journalFile;
    EventLogSettings log;
};

// A fault in the settings file.
struct ServerSettingsFault
{
    std::string section;
    std::string key;
    std::string expected;
};

struct ServerSettingsResult
{
    ServerSettings settings;
    // Empty when the settings can be used.
    std::vector<ServerSettingsFault> faults;
};

ServerSettingsResult readServerSettings(const std::string &file);

} // namespace rhubarbweir
