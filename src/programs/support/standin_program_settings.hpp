// Settings of rhubarb-standin, a simulated database for tests and demonstrations.
#pragma once

#include "programs/support/common_settings.hpp"

namespace rhubarbweir {

struct StandinProgramSettings
{
    TargetId id;
    GroupId group;
    FailureDomainId failureDomain;
    std::string listenAddress;
    std::vector<std::string> controlAddresses;
    Duration announceInterval{0};

    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    // Connections above this number are refused; those between `connections` and this number are
    // accepted and counted as over the limit.
    std::uint32_t hardConnections = 0;

    std::uint64_t seed = 0;
    // Mean time that a statement occupies a slot.
    Duration serviceTime{0};
    bool exponentialService = false;
    Duration connectionSetup{0};
    // Maximum time that a read waits until its minimum position is visible.
    Duration behindWait{0};
    Duration replicationDelay{0};
    Duration statusInterval{0};

    // Bounds of the lag between what a replica has received and what its reads see.
    Duration lagLeast{0};
    Duration lagGreatest{0};
    Duration lagHoldFor{0};
    // Probability in percent that a drawn lag starts a spell: a lag of `spellLag` for `spellFor`.
    std::uint32_t spellPercent = 0;
    Duration spellLag{0};
    Duration spellFor{0};

    // Empty to write no report.
    std::string reportFile;
    Duration reportInterval{0};
    // Empty to keep nothing across a restart.
    std::string journalFile;
    EventLogSettings log;
};

SettingsSchema standinSettingsSchema();
StandinProgramSettings standinSettingsFrom(const Settings &settings);

} // namespace rhubarbweir
