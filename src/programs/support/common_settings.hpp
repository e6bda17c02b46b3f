// Settings that several programs have in common.
#pragma once

#include "programs/support/event_log.hpp"
#include "programs/support/settings.hpp"
#include "rhubarbweir/state/ids.hpp"

#include <string>
#include <vector>

namespace rhubarbweir {

// Declares [instance] id, failure_domain and known_failure_domains, and [log].
void addInstanceSettings(SettingsSchema &schema);
// Declares [log] only.
void addLogSettings(SettingsSchema &schema);
// Reads the settings declared by addLogSettings(); `instance` is written to each line of the log.
EventLogSettings logSettingsFrom(const Settings &settings, const std::string &instance);
std::vector<FailureDomainId> knownFailureDomains(const Settings &settings);

struct SettingName
{
    std::string section;
    std::string key;
};
// Returns a check that reports addresses occurring more than once in the given settings.
SettingsCheck distinctAddresses(std::vector<SettingName> names);

// Appends an error when [instance] known_failure_domains does not contain `failureDomain`.
void checkFailureDomain(const Settings &settings, const std::string &section,
                        const std::string &key, const std::string &failureDomain,
                        std::vector<SettingsFault> &faults);

} // namespace rhubarbweir
