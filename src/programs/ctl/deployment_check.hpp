// Validates the settings files of a deployment, each by itself and against the others.
#pragma once

#include "programs/support/settings.hpp"

#include <string>
#include <vector>

namespace rhubarbweir {

struct DeploymentCheck
{
    std::size_t controlCount = 0;
    std::size_t proxyCount = 0;
    std::size_t targetCount = 0;
    std::vector<SettingsFault> faults;
};

// Validates every .ini file of `folder`, and table.csv if it exists.
DeploymentCheck checkDeployment(const std::string &folder);

} // namespace rhubarbweir
