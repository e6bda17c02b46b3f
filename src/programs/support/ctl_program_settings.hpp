// Settings of rhubarbctl.
#pragma once

#include "programs/support/settings.hpp"

#include <string>
#include <vector>

namespace rhubarbweir {

struct CtlProgramSettings
{
    std::vector<std::string> controlAddresses;
    // Recorded with each edit of the table.
    std::string editor;
    // Longest time that a command waits for its answer.
    Duration timeout{0};
};

SettingsSchema ctlSettingsSchema();
CtlProgramSettings ctlSettingsFrom(const Settings &settings);

} // namespace rhubarbweir
