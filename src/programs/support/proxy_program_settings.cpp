// See proxy_program_settings.hpp.
#include "programs/support/proxy_program_settings.hpp"

namespace rhubarbweir {

SettingsSchema proxySettingsSchema()
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    SettingsSchema schema("rhubarb-proxy");
    addInstanceSettings(schema);
    schema.add(Setting::address("listen", "address",
                                "Callers, other proxies and health checks connect here."));
    schema.add(Setting::address(
                   "listen", "advertise",
                   "Address at which other proxies reach this one; if empty, the listen address.")
                   .otherwise(""));
    schema.add(Setting::addressList("control", "addresses", "Addresses of all control instances."));
    schema.add(Setting::duration("control", "renew_interval", milliseconds(50), seconds(5),
                                 "Interval between renewals of the lease.")
                   .otherwise("300ms"));
    schema.add(Setting::integer("limits", "max_callers", 1, 1'000'000,
                                "Maximum number of connections at the listen address.")
                   .otherwise("4000"));
    schema.add(Setting::integer("limits", "in_flight_limit", 1, 1'000'000,
                                "Maximum number of caller requests in flight; further requests are "
                                "refused as overloaded.")
                   .otherwise("8192"));
    schema.add(Setting::duration("limits", "transaction_limit", milliseconds(100), seconds(600),
                                 "Maximum duration of a transaction.")
                   .otherwise("10s"));
    schema.add(Setting::duration("targets", "probe_interval", milliseconds(20), seconds(10),
                                 "Interval between probes of a target.")
                   .otherwise("100ms"));
    schema.add(
        Setting::duration("targets", "silent_after", milliseconds(50), seconds(30),
                          "A target that does not answer for this long is reported as silent.")
            .otherwise("500ms"));
    schema.add(Setting::duration("stop", "drain_at_most", milliseconds(100), seconds(120),
                                 "Maximum time that a planned stop waits for running requests.")
                   .otherwise("10s"));
    schema.addCheck(distinctAddresses({{"listen", "address"}, {"control", "addresses"}}));
    return schema;
}

ProxyProgramSettings proxySettingsFrom(const Settings &settings)
{
    ProxyProgramSettings proxy;
    proxy.id = InstanceId(settings.text("instance", "id"));
    proxy.failureDomain = FailureDomainId(settings.text("instance", "failure_domain"));
    proxy.knownFailureDomains = knownFailureDomains(settings);
    proxy.listenAddress = settings.text("listen", "address");
    proxy.advertisedAddress = settings.text("listen", "advertise");
    if (proxy.advertisedAddress.empty())
        proxy.advertisedAddress = proxy.listenAddress;
    proxy.controlAddresses = settings.list("control", "addresses");
    proxy.renewInterval = settings.duration("control", "renew_interval");
    proxy.maxCallers = static_cast<std::size_t>(settings.integer("limits", "max_callers"));
    proxy.inFlightLimit = static_cast<std::size_t>(settings.integer("limits", "in_flight_limit"));
    proxy.transactionLimit = settings.duration("limits", "transaction_limit");
    proxy.probeInterval = settings.duration("targets", "probe_interval");
    proxy.silentAfter = settings.duration("targets", "silent_after");
    proxy.drainLimit = settings.duration("stop", "drain_at_most");
    proxy.log = logSettingsFrom(settings, proxy.id.value);
    return proxy;
}

} // namespace rhubarbweir
