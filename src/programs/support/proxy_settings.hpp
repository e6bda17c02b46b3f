// Settings of rhubarb-proxy.
#pragma once

#include "programs/support/common_settings.hpp"

namespace rhubarbweir {

struct ProxySettings
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
    std::size_t queueLimit = 0;
    Duration renewEvery{0};
    Duration probeEvery{0};
    Duration silentAfter{0};
    Duration drainAtMost{0};
    EventLogSettings log;
};

SettingsSchema proxySettingsSchema();
ProxySettings proxySettingsFrom(const Settings &settings);

} // namespace rhubarbweir
