// Settings of rhubarb-standin, the small stand-in database for tests and demonstrations.
#pragma once

#include "programs/support/common_settings.hpp"

namespace rhubarbweir {

struct StandinSettings
{
    TargetId id;
    GroupId group;
    FailureDomainId failureDomain;
    std::string listenAddress;
    std::vector<std::string> controlAddresses;
    std::uint32_t slots = 0;
    std::uint32_t maxConnections = 0;
    // Time that opening a connection takes.
    Duration connectTime{0};
    // Time that one statement holds a slot.
    Duration serviceTime{0};
    // Delay of the replication stream.
    Duration replicationLag{0};
    Duration announceEvery{0};
    // Holds the log across a restart; empty keeps it in memory.
    std::string dataFolder;
    EventLogSettings log;
};

SettingsSchema standinSettingsSchema();
StandinSettings standinSettingsFrom(const Settings &settings);

} // namespace rhubarbweir
