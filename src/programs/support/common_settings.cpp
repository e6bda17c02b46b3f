// See common_settings.hpp.
#include "programs/support/common_settings.hpp"

#include "programs/support/settings_values.hpp"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <set>

namespace rhubarbweir {

void addLogSettings(SettingsSchema &schema)
{
    schema.add(
        Setting::outputFile("log", "file", "File of the event log; if empty, standard error.")
            .otherwise(""));
    schema.add(Setting::choice("log", "level", {"debug", "info", "warning", "error"},
                               "Minimum level of logged events.")
                   .otherwise("info"));
}

void addInstanceSettings(SettingsSchema &schema)
{
    schema.add(Setting::text("instance", "id", "Name of the instance, unique in the deployment."));
    schema.add(Setting::text("instance", "failure_domain",
                             "Failure domain of the machine that runs the instance."));
    schema.add(Setting::list("instance", "known_failure_domains",
                             "All failure domains of the deployment."));
    schema.addCheck([](const Settings &settings, std::vector<SettingsFault> &faults) {
        checkFailureDomain(settings, "instance", "failure_domain",
                           settings.text("instance", "failure_domain"), faults);
    });
    addLogSettings(schema);
}

EventLogSettings logSettingsFrom(const Settings &settings, const std::string &instance)
{
    const std::string level = settings.text("log", "level");
    EventLogSettings log;
    log.file = settings.text("log", "file");
    log.instance = instance;
    if (level == "debug")
        log.level = LogLevel::Debug;
    else if (level == "warning")
        log.level = LogLevel::Warning;
    else if (level == "error")
        log.level = LogLevel::Error;
    return log;
}

std::vector<FailureDomainId> knownFailureDomains(const Settings &settings)
{
    std::vector<FailureDomainId> domains;
    for (const std::string &name : settings.list("instance", "known_failure_domains"))
        domains.emplace_back(name);
    return domains;
}

SettingsCheck distinctAddresses(std::vector<SettingName> names)
{
    return [names = std::move(names)](const Settings &settings,
                                      std::vector<SettingsFault> &faults) {
        std::set<std::string> seen;
        for (const SettingName &name : names) {
            for (const std::string &address : settings.list(name.section, name.key)) {
                if (!seen.insert(address).second)
                    faults.push_back(faultAt(settings, name.section, name.key,
                                             "duplicate \"" + address + "\"", "unique addresses"));
            }
        }
    };
}

void checkFailureDomain(const Settings &settings, const std::string &section,
                        const std::string &key, const std::string &failureDomain,
                        std::vector<SettingsFault> &faults)
{
    const std::vector<std::string> known = settings.list("instance", "known_failure_domains");
    if (std::find(known.begin(), known.end(), failureDomain) != known.end())
        return;
    faults.push_back(faultAt(settings, section, key, "\"" + failureDomain + "\"",
                             "one of the known failure domains: " + absl::StrJoin(known, ", ")));
}

} // namespace rhubarbweir
