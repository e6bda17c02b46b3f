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
    // Address at which other proxies reach this one.
    std::string advertisedAddress;
    // Addresses of the control instances; each of them can name the leader.
    std::vector<std::string> controlAddresses;
    std::size_t maxCallers = 0;
    // Maximum number of caller requests in flight; further requests are refused as overloaded.
    std::size_t inFlightLimit = 0;
    Duration renewInterval{0};
    Duration probeInterval{0};
    // A target that does not answer for this long is reported as silent.
    Duration silentAfter{0};
    // Maximum duration of a transaction.
    Duration transactionLimit{0};
    // Maximum time that a planned stop waits for running requests.
    Duration drainLimit{0};
    EventLogSettings log;
};

SettingsSchema proxySettingsSchema();
ProxyProgramSettings proxySettingsFrom(const Settings &settings);

} // namespace rhubarbweir
