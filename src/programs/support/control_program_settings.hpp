// Settings of rhubarb-control.
#pragma once

#include "programs/support/common_settings.hpp"

#include <optional>

namespace rhubarbweir {

// A control instance as listed in the settings.
struct ControlMember
{
    InstanceId id;
    std::string address;
    FailureDomainId failureDomain;
};

// Parses "id@address:port@failure-domain".
std::optional<ControlMember> parseControlMember(const std::string &text);

struct ControlProgramSettings
{
    InstanceId id;
    FailureDomainId failureDomain;
    std::vector<FailureDomainId> knownFailureDomains;
    // Proxies, targets, operators and other control instances connect here.
    std::string listenAddress;
    std::string dataFolder;
    // Voters at the first start of the quorum; afterwards the membership in its log applies.
    std::vector<ControlMember> voters;
    std::vector<ControlMember> spares;
    // Allows an instance with an empty data folder to take part in the first start of a quorum.
    bool bootstrap = false;
    Duration heartbeatInterval{0};
    Duration electionTimeoutMin{0};
    Duration electionTimeoutMax{0};
    // A voter that is unreachable for this long is replaced by a spare.
    Duration replaceAfter{0};
    // Duration of a proxy's lease.
    Duration leaseFor{0};
    // A target that sends no announcement for this long counts as silent.
    Duration silentAfter{0};
    std::size_t maxConnections = 0;
    EventLogSettings log;
};

SettingsSchema controlSettingsSchema();
ControlProgramSettings controlSettingsFrom(const Settings &settings);

} // namespace rhubarbweir
