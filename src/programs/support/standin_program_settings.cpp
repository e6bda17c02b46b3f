// See standin_program_settings.hpp.
#include "programs/support/standin_program_settings.hpp"

#include "programs/support/settings_values.hpp"

namespace rhubarbweir {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

void addLimits(SettingsSchema &schema)
{
    schema.add(
        Setting::integer("limits", "slots", 1, 1000, "Number of statements that run concurrently.")
            .otherwise("3"));
    schema.add(Setting::integer("limits", "connections", 1, 100'000,
                                "Number of connections that proxies may open.")
                   .otherwise("45"));
    schema.add(Setting::integer("limits", "hard_connections", 1, 100'000,
                                "Connections above this number are refused; those between the two "
                                "limits are accepted and counted as over the limit.")
                   .otherwise("1000"));
}

void addTiming(SettingsSchema &schema)
{
    schema.add(Setting::integer("timing", "seed", 0, 1'000'000'000, "Seed for all random times.")
                   .otherwise("1"));
    schema.add(Setting::duration("timing", "service_time", microseconds(0), seconds(10),
                                 "Mean time that a statement occupies a slot.")
                   .otherwise("2ms"));
    schema.add(Setting::choice("timing", "service", {"fixed", "exponential"},
                               "Distribution of the service time.")
                   .otherwise("fixed"));
    schema.add(Setting::duration("timing", "connection_setup", microseconds(0), seconds(10),
                                 "Time that opening a connection takes.")
                   .otherwise("10ms"));
    schema.add(
        Setting::duration("timing", "behind_wait", microseconds(0), seconds(10),
                          "Maximum time that a read waits until its minimum position is visible.")
            .otherwise("20ms"));
    schema.add(Setting::duration("timing", "replication_delay", microseconds(0), seconds(60),
                                 "Network delay of a replication message.")
                   .otherwise("2ms"));
    schema.add(Setting::duration("timing", "status_interval", microseconds(100), seconds(10),
                                 "Minimum time between two unsolicited status messages.")
                   .otherwise("1ms"));
}

void addLag(SettingsSchema &schema)
{
    schema.add(Setting::duration("lag", "least", microseconds(0), seconds(120),
                                 "Minimum lag of a replica's reads behind what it has received.")
                   .otherwise("50ms"));
    schema.add(Setting::duration("lag", "greatest", microseconds(0), seconds(120),
                                 "Maximum lag outside of spells.")
                   .otherwise("2s"));
    schema.add(Setting::duration("lag", "hold_for", milliseconds(1), seconds(600),
                                 "Time for which a randomly drawn lag stays in effect.")
                   .otherwise("5s"));
    schema.add(
        Setting::integer("lag", "spell_percent", 0, 100,
                         "Probability in percent that a drawn lag starts a spell of high lag.")
            .otherwise("0"));
    schema.add(
        Setting::duration("lag", "spell_lag", microseconds(0), seconds(600), "Lag during a spell.")
            .otherwise("30s"));
    schema.add(
        Setting::duration("lag", "spell_for", milliseconds(1), seconds(600), "Duration of a spell.")
            .otherwise("30s"));
    schema.addCheck([](const Settings &settings, std::vector<SettingsFault> &faults) {
        const Duration maximum = settings.duration("lag", "greatest");
        if (maximum < settings.duration("lag", "least"))
            faults.push_back(faultAt(settings, "lag", "greatest", formatDuration(maximum),
                                     "at least the value of least"));
    });
}

void addFiles(SettingsSchema &schema)
{
    schema.add(
        Setting::outputFile("files", "report",
                            "File for a JSON report of counters and log entries, used by checks.")
            .otherwise(""));
    schema.add(Setting::duration("files", "report_interval", milliseconds(10), seconds(600),
                                 "Interval between two reports.")
                   .otherwise("1s"));
    schema.add(Setting::outputFile(
                   "files", "journal",
                   "File that keeps terms and log across a restart; if empty, nothing is kept.")
                   .otherwise(""));
}

} // namespace

SettingsSchema standinSettingsSchema()
{
    SettingsSchema schema("rhubarb-standin");
    addInstanceSettings(schema);
    schema.add(Setting::text("target", "group", "Database group of this database."));
    schema.add(Setting::address("listen", "address",
                                "Proxies and other databases of the group connect here."));
    schema.add(Setting::addressList("control", "addresses", "Addresses of all control instances."));
    schema.add(Setting::duration("control", "announce_interval", milliseconds(20), seconds(10),
                                 "Interval between announcements.")
                   .otherwise("250ms"));
    addLimits(schema);
    addTiming(schema);
    addLag(schema);
    addFiles(schema);
    schema.addCheck(distinctAddresses({{"listen", "address"}, {"control", "addresses"}}));
    return schema;
}

StandinProgramSettings standinSettingsFrom(const Settings &settings)
{
    const auto count = [&](const char *section, const char *key) {
        return static_cast<std::uint32_t>(settings.integer(section, key));
    };
    StandinProgramSettings standin;
    standin.id = TargetId(settings.text("instance", "id"));
    standin.group = GroupId(settings.text("target", "group"));
    standin.failureDomain = FailureDomainId(settings.text("instance", "failure_domain"));
    standin.listenAddress = settings.text("listen", "address");
    standin.controlAddresses = settings.list("control", "addresses");
    standin.announceInterval = settings.duration("control", "announce_interval");
    standin.slots = count("limits", "slots");
    standin.connections = count("limits", "connections");
    standin.hardConnections = count("limits", "hard_connections");
    standin.seed = count("timing", "seed");
    standin.serviceTime = settings.duration("timing", "service_time");
    standin.exponentialService = settings.text("timing", "service") == "exponential";
    standin.connectionSetup = settings.duration("timing", "connection_setup");
    standin.behindWait = settings.duration("timing", "behind_wait");
    standin.replicationDelay = settings.duration("timing", "replication_delay");
    standin.statusInterval = settings.duration("timing", "status_interval");
    standin.lagLeast = settings.duration("lag", "least");
    standin.lagGreatest = settings.duration("lag", "greatest");
    standin.lagHoldFor = settings.duration("lag", "hold_for");
    standin.spellPercent = count("lag", "spell_percent");
    standin.spellLag = settings.duration("lag", "spell_lag");
    standin.spellFor = settings.duration("lag", "spell_for");
    standin.reportFile = settings.text("files", "report");
    standin.reportInterval = settings.duration("files", "report_interval");
    standin.journalFile = settings.text("files", "journal");
    standin.log = logSettingsFrom(settings, standin.id.value);
    return standin;
}

} // namespace rhubarbweir
