// Settings of rhubarb-proxy.
#pragma once

#include "programs/support/common_settings.hpp"

namespace rhubarbweir {

struct ProxyProgramSettings
{
    InstanceId id;
    FailureDomainId failureDomain;
    std::vector<FailureDomainId> knownFailureDomains;
    // Callers, other proxies and health checks connect here.
    std::string listenAddress;
    // Where other proxies reach this one.
    std::string advertisedAddress;
    // Control instances; any one of them names the leader.
    std::vector<std::string> controlAddresses;
    std::size_t maxCallers = 0;
    // Requests in flight for callers; more are refused as overloaded.
    std::size_t inFlightLimit = 0;
    Duration renewInterval{0};
    Duration probeInterval{0};
    // A target without an answer for this long is reported as silent.
    Duration silentAfter{0};
    // Longest life of a transaction.
    Duration transactionLimit{0};
    Duration drainAtMost{0};
    EventLogSettings log;
};

SettingsSchema proxySettingsSchema();
ProxyProgramSettings proxySettingsFrom(const Settings &settings);

} // namespace rhubarbweir
