// Settings that several programs share.
#pragma once

#include "programs/support/event_log.hpp"
#include "programs/support/settings.hpp"
#include "rhubarbweir/state/ids.hpp"

#include <string>
#include <vector>

namespace rhubarbweir {

// Adds [instance] id, failure_domain and known_failure_domains, and [log].
void addInstanceSettings(SettingsSchema &schema);
// Adds [log] alone.
void addLogSettings(SettingsSchema &schema);
// Reads what addLogSettings() declared; `instance` names the process in each line.
EventLogSettings logSettingsFrom(const Settings &settings, const std::string &instance);
std::vector<FailureDomainId> knownFailureDomains(const Settings &settings);

// Finds addresses that appear more than once among the named settings.
struct SettingName
{
    std::string section;
    std::string key;
};
SettingsCheck distinctAddresses(std::vector<SettingName> names);

// Finds failure domains outside [instance] known_failure_domains.
void checkFailureDomain(const Settings &settings, const std::string &section,
                        const std::string &key, const std::string &failureDomain,
                        std::vector<SettingsFault> &faults);

} // namespace rhubarbweir
