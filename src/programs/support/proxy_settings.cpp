// See proxy_settings.hpp.
#include "programs/support/proxy_settings.hpp"

namespace rhubarbweir {

SettingsSchema proxySettingsSchema()
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    SettingsSchema schema("rhubarb-proxy");
    addInstanceSettings(schema);
    schema.add(Setting::address("listen", "address",
                                "Callers, other proxies and health checks connect here."));
    schema.add(Setting::address("listen", "advertise",
                                "Where other proxies reach this one; none: the listen address.")
                   .otherwise(""));
    schema.add(Setting::addressList("control", "addresses", "All control instances."));
    schema.add(Setting::duration("control", "renew_every", milliseconds(50), seconds(5),
                                 "Interval between renewals of the lease.")
                   .otherwise("300ms"));
    schema.add(Setting::integer("limits", "max_callers", 1, 1'000'000,
                                "Connections accepted at the listen address.")
                   .otherwise("4000"));
    schema.add(Setting::integer("limits", "queue_limit", 1, 100'000,
                                "Requests that may wait for one group, unless the table sets less.")
                   .otherwise("256"));
    schema.add(Setting::duration("targets", "probe_every", milliseconds(20), seconds(10),
                                 "Interval between probes of a target.")
                   .otherwise("200ms"));
    schema.add(Setting::duration("targets", "silent_after", milliseconds(50), seconds(30),
                                 "Time without an answer after which a target counts as silent.")
                   .otherwise("800ms"));
    schema.add(Setting::duration("stop", "drain_at_most", milliseconds(100), seconds(120),
                                 "Longest time that a planned stop waits for running requests.")
                   .otherwise("10s"));
    schema.addCheck(distinctAddresses({{"listen", "address"}, {"control", "addresses"}}));
    return schema;
}

ProxySettings proxySettingsFrom(const Settings &settings)
{
    ProxySettings proxy;
    proxy.id = InstanceId(settings.text("instance", "id"));
    proxy.failureDomain = FailureDomainId(settings.text("instance", "failure_domain"));
    proxy.knownFailureDomains = knownFailureDomains(settings);
    proxy.listenAddress = settings.text("listen", "address");
    proxy.advertisedAddress = settings.text("listen", "advertise");
    if (proxy.advertisedAddress.empty())
        proxy.advertisedAddress = proxy.listenAddress;
    proxy.controlAddresses = settings.list("control", "addresses");
    proxy.renewEvery = settings.duration("control", "renew_every");
    proxy.maxCallers = static_cast<std::size_t>(settings.integer("limits", "max_callers"));
    proxy.queueLimit = static_cast<std::size_t>(settings.integer("limits", "queue_limit"));
    proxy.probeEvery = settings.duration("targets", "probe_every");
    proxy.silentAfter = settings.duration("targets", "silent_after");
    proxy.drainAtMost = settings.duration("stop", "drain_at_most");
    proxy.log = logSettingsFrom(settings, proxy.id.value);
    return proxy;
}

} // namespace rhubarbweir
