// See control_program_settings.hpp.
#include "programs/support/control_program_settings.hpp"

#include "programs/support/settings_values.hpp"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>

namespace rhubarbweir {

namespace {

constexpr const char *MemberFormat = "id@address:port@failure-domain";

std::vector<ControlMember> membersFrom(const Settings &settings, const std::string &key)
{
    std::vector<ControlMember> members;
    for (const std::string &item : settings.list("quorum", key)) {
        if (const std::optional<ControlMember> member = parseControlMember(item))
            members.push_back(*member);
    }
    return members;
}

void checkMembers(const Settings &settings, std::vector<SettingsFault> &faults)
{
    std::set<std::string> names;
    std::set<std::string> addresses;
    for (const std::string key : {"voters", "spares"}) {
        for (const std::string &item : settings.list("quorum", key)) {
            const std::optional<ControlMember> member = parseControlMember(item);
            if (!member) {
                faults.push_back(
                    faultAt(settings, "quorum", key, "\"" + item + "\"", MemberFormat));
                continue;
            }
            checkFailureDomain(settings, "quorum", key, member->failureDomain.value, faults);
            if (!names.insert(member->id.value).second)
                faults.push_back(
                    faultAt(settings, "quorum", key, "\"" + item + "\"", "unique instance ids"));
            if (!addresses.insert(member->address).second)
                faults.push_back(
                    faultAt(settings, "quorum", key, "\"" + item + "\"", "unique addresses"));
        }
    }
}

void checkVoterCount(const Settings &settings, std::vector<SettingsFault> &faults)
{
    const std::size_t count = settings.list("quorum", "voters").size();
    if (count % 2 == 0)
        faults.push_back(faultAt(settings, "quorum", "voters", std::to_string(count) + " voters",
                                 "an odd number"));
}

void checkOwnMember(const Settings &settings, std::vector<SettingsFault> &faults)
{
    const std::string id = settings.text("instance", "id");
    std::vector<ControlMember> members = membersFrom(settings, "voters");
    const std::vector<ControlMember> spares = membersFrom(settings, "spares");
    members.insert(members.end(), spares.begin(), spares.end());
    const auto self =
        std::find_if(members.begin(), members.end(),
                     [&](const ControlMember &member) { return member.id.value == id; });
    if (self == members.end()) {
        faults.push_back(faultAt(settings, "instance", "id", "\"" + id + "\"",
                                 "an id among the voters or spares"));
        return;
    }
    if (self->address != settings.text("listen", "address"))
        faults.push_back(faultAt(settings, "listen", "address",
                                 "\"" + settings.text("listen", "address") + "\"",
                                 "this instance's address in [quorum]: " + self->address));
    if (self->failureDomain.value != settings.text("instance", "failure_domain"))
        faults.push_back(
            faultAt(settings, "instance", "failure_domain",
                    "\"" + settings.text("instance", "failure_domain") + "\"",
                    "this instance's failure domain in [quorum]: " + self->failureDomain.value));
}

void checkTimeouts(const Settings &settings, std::vector<SettingsFault> &faults)
{
    const Duration heartbeat = settings.duration("quorum", "heartbeat");
    const Duration minimum = settings.duration("quorum", "election_timeout_min");
    const Duration maximum = settings.duration("quorum", "election_timeout_max");
    if (minimum < 2 * heartbeat)
        faults.push_back(faultAt(settings, "quorum", "election_timeout_min",
                                 formatDuration(minimum), "at least twice the heartbeat"));
    if (maximum <= minimum)
        faults.push_back(faultAt(settings, "quorum", "election_timeout_max",
                                 formatDuration(maximum), "more than election_timeout_min"));
}

} // namespace

std::optional<ControlMember> parseControlMember(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '@');
    if (parts.size() != 3 || parts[0].empty() || parts[2].empty() || !isAddress(parts[1]))
        return std::nullopt;
    return ControlMember{InstanceId(parts[0]), parts[1], FailureDomainId(parts[2])};
}

SettingsSchema controlSettingsSchema()
{
    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    SettingsSchema schema("rhubarb-control");
    addInstanceSettings(schema);
    schema.add(
        Setting::address("listen", "address",
                         "Proxies, targets, operators and other control instances connect here."));
    schema.add(Setting::integer("limits", "max_connections", 1, 1'000'000,
                                "Maximum number of connections at the listen address.")
                   .otherwise("2000"));
    schema.add(Setting::folder("storage", "data_folder", "Folder for all files of the instance."));
    schema.add(Setting::list("quorum", "voters",
                             "Voters at the first start, each as id@address:port@failure-domain."));
    schema.add(Setting::list("quorum", "spares",
                             "Instances with a disk that replace lost voters, in the same format.")
                   .otherwise(""));
    schema.add(Setting::choice("quorum", "bootstrap", {"yes", "no"},
                               "Whether an instance with an empty data folder may take part in the "
                               "first start of a quorum. Ignored once any voter has stored state.")
                   .otherwise("no"));
    schema.add(Setting::duration("quorum", "heartbeat", milliseconds(10), seconds(5),
                                 "Interval between heartbeats of the leader.")
                   .otherwise("50ms"));
    schema.add(
        Setting::duration("quorum", "election_timeout_min", milliseconds(20), seconds(30),
                          "Minimum time without a message from the leader before an election.")
            .otherwise("250ms"));
    schema.add(
        Setting::duration("quorum", "election_timeout_max", milliseconds(40), seconds(60),
                          "Maximum time without a message from the leader before an election.")
            .otherwise("500ms"));
    schema.add(
        Setting::duration("quorum", "replace_after", seconds(1), hours(24),
                          "A voter that is unreachable for this long is replaced by a spare.")
            .otherwise("30s"));
    schema.add(Setting::duration("leases", "lease_for", milliseconds(200), seconds(30),
                                 "Duration of a proxy's lease.")
                   .otherwise("2s"));
    schema.add(
        Setting::duration("targets", "silent_after", milliseconds(100), seconds(60),
                          "A target that sends no announcement for this long counts as silent.")
            .otherwise("600ms"));
    schema.addCheck(checkMembers);
    schema.addCheck(checkVoterCount);
    schema.addCheck(checkOwnMember);
    schema.addCheck(checkTimeouts);
    return schema;
}

ControlProgramSettings controlSettingsFrom(const Settings &settings)
{
    ControlProgramSettings control;
    control.id = InstanceId(settings.text("instance", "id"));
    control.failureDomain = FailureDomainId(settings.text("instance", "failure_domain"));
    control.knownFailureDomains = knownFailureDomains(settings);
    control.listenAddress = settings.text("listen", "address");
    control.dataFolder = settings.text("storage", "data_folder");
    control.voters = membersFrom(settings, "voters");
    control.spares = membersFrom(settings, "spares");
    control.bootstrap = settings.text("quorum", "bootstrap") == "yes";
    control.heartbeatInterval = settings.duration("quorum", "heartbeat");
    control.electionTimeoutMin = settings.duration("quorum", "election_timeout_min");
    control.electionTimeoutMax = settings.duration("quorum", "election_timeout_max");
    control.replaceAfter = settings.duration("quorum", "replace_after");
    control.leaseFor = settings.duration("leases", "lease_for");
    control.silentAfter = settings.duration("targets", "silent_after");
    control.maxConnections =
        static_cast<std::size_t>(settings.integer("limits", "max_connections"));
    control.log = logSettingsFrom(settings, control.id.value);
    return control;
}

} // namespace rhubarbweir
