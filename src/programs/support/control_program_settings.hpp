// Settings of rhubarb-control.
#pragma once

#include "programs/support/common_settings.hpp"

#include <optional>

namespace rhubarbweir {

// One control instance as the settings name it.
struct ControlMember
{
    InstanceId id;
    std::string address;
    FailureDomainId failureDomain;
};

// Parses "id@address@failure-domain".
std::optional<ControlMember> parseControlMember(const std::string &text);

struct ControlProgramSettings
{
    InstanceId id;
    FailureDomainId failureDomain;
    std::vector<FailureDomainId> knownFailureDomains;
    // Proxies, targets, operators and other control instances connect here.
    std::string listenAddress;
    std::string dataFolder;
    // Voters at the first start of the quorum; later the quorum's own record counts.
    std::vector<ControlMember> voters;
    std::vector<ControlMember> spares;
    // Lets an instance with an empty folder take part in the first start of a quorum.
    bool bootstrap = false;
    Duration heartbeatEvery{0};
    Duration electionTimeoutMin{0};
    Duration electionTimeoutMax{0};
    // A voter out of reach for this long is replaced by a spare.
    Duration replaceAfter{0};
    // Length of a proxy's lease.
    Duration leaseFor{0};
    // A target without announcements for this long is silent.
    Duration silentAfter{0};
    std::size_t maxConnections = 0;
    EventLogSettings log;
};

SettingsSchema controlSettingsSchema();
ControlProgramSettings controlSettingsFrom(const Settings &settings);

} // namespace rhubarbweir
