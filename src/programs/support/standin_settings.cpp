// See standin_settings.hpp.
#include "programs/support/standin_settings.hpp"

namespace rhubarbweir {

SettingsSchema standinSettingsSchema()
{
    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    SettingsSchema schema("rhubarb-standin");
    addInstanceSettings(schema);
    schema.add(Setting::text("target", "group", "Database group of this database."));
    schema.add(Setting::address("listen", "address",
                                "Proxies and other databases of the group connect here."));
    schema.add(Setting::addressList("control", "addresses", "All control instances."));
    schema.add(Setting::duration("control", "announce_every", milliseconds(50), seconds(10),
                                 "Interval between announcements.")
                   .otherwise("1s"));
    schema.add(Setting::integer("limits", "slots", 1, 1000, "Statements that run at once.")
                   .otherwise("3"));
    schema.add(
        Setting::integer("limits", "connections", 1, 100'000, "Connections accepted from proxies.")
            .otherwise("45"));
    schema.add(Setting::duration("behaviour", "connect_time", microseconds(0), seconds(10),
                                 "Time that opening a connection takes.")
                   .otherwise("10ms"));
    schema.add(Setting::duration("behaviour", "service_time", microseconds(0), seconds(10),
                                 "Time that a statement holds a slot.")
                   .otherwise("2ms"));
    schema.add(Setting::duration("behaviour", "replication_lag", microseconds(0), seconds(120),
                                 "Delay of the replication stream.")
                   .otherwise("5ms"));
    schema.add(Setting::folder("storage", "data_folder",
                               "Holds the log across a restart; none keeps it in memory.")
                   .otherwise(""));
    schema.addCheck(distinctAddresses({{"listen", "address"}, {"control", "addresses"}}));
    return schema;
}

StandinSettings standinSettingsFrom(const Settings &settings)
{
    StandinSettings standin;
    standin.id = TargetId(settings.text("instance", "id"));
    standin.group = GroupId(settings.text("target", "group"));
    standin.failureDomain = FailureDomainId(settings.text("instance", "failure_domain"));
    standin.listenAddress = settings.text("listen", "address");
    standin.controlAddresses = settings.list("control", "addresses");
    standin.announceEvery = settings.duration("control", "announce_every");
    standin.slots = static_cast<std::uint32_t>(settings.integer("limits", "slots"));
    standin.maxConnections = static_cast<std::uint32_t>(settings.integer("limits", "connections"));
    standin.connectTime = settings.duration("behaviour", "connect_time");
    standin.serviceTime = settings.duration("behaviour", "service_time");
    standin.replicationLag = settings.duration("behaviour", "replication_lag");
    standin.dataFolder = settings.text("storage", "data_folder");
    standin.log = logSettingsFrom(settings, standin.id.value);
    return standin;
}

} // namespace rhubarbweir
