// Checks the settings files of a whole deployment, each alone and against each other.
#pragma once

#include "programs/support/settings.hpp"

#include <string>
#include <vector>

namespace rhubarbweir {

struct FleetCheck
{
    std::size_t controls = 0;
    std::size_t proxies = 0;
    std::size_t targets = 0;
    std::vector<SettingsFault> faults;
};

// Reads every .ini file of `folder`, and table.csv where there is one.
FleetCheck checkFleet(const std::string &folder);

} // namespace rhubarbweir
