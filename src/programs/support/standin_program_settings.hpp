// Settings of rhubarb-standin, the small stand-in database for tests and demonstrations.
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
    // Connections above this are refused; between the two they are counted as over the limit.
    std::uint32_t hardConnections = 0;

    std::uint64_t seed = 0;
    // Mean time that a statement holds a slot.
    Duration serviceTime{0};
    bool exponentialService = false;
    Duration connectionSetup{0};
    // Longest time that a read waits for its least position.
    Duration behindWait{0};
    Duration replicationDelay{0};
    Duration statusInterval{0};

    // How far a replica's reads trail what it received.
    Duration lagLeast{0};
    Duration lagGreatest{0};
    Duration lagHoldFor{0};
    // Chance, in percent, that a drawn lag starts a spell of `spellLag` for `spellFor`.
    std::uint32_t spellPercent = 0;
    Duration spellLag{0};
    Duration spellFor{0};

    // Empty writes no report.
    std::string reportFile;
    Duration reportInterval{0};
    // Empty keeps nothing across a restart.
    std::string journalFile;
    EventLogSettings log;
};

SettingsSchema standinSettingsSchema();
StandinProgramSettings standinSettingsFrom(const Settings &settings);

} // namespace rhubarbweir
