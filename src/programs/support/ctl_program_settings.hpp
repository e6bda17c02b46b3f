// Settings of rhubarbctl.
#pragma once

#include "programs/support/settings.hpp"

#include <string>
#include <vector>

namespace rhubarbweir {

struct CtlProgramSettings
{
    std::vector<std::string> controlAddresses;
    // Recorded as the author of each table edit.
    std::string editor;
    // Maximum time that a command waits for an answer.
    Duration timeout{0};
};

SettingsSchema ctlSettingsSchema();
CtlProgramSettings ctlSettingsFrom(const Settings &settings);

} // namespace rhubarbweir
