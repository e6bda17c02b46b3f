// Runs every scenario in tests/scenarios. Each folder holds the scenarios of one fixture.
#include "scenarios/group_scenario.hpp"
#include "scenarios/quorum_scenario.hpp"
#include "scenarios/traffic_scenario.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <vector>

using namespace rhubarbweir;

namespace {

constexpr std::size_t MaxPathLength = 256;

// Holds the path in an array because Criterion copies parameters byte by byte between processes.
struct ScenarioPath
{
    char text[MaxPathLength] = {};
};

std::vector<ScenarioPath> scenariosIn(const std::string &folder)
{
    std::vector<ScenarioPath> paths;
    const auto directory = std::filesystem::path(RHUBARBWEIR_SCENARIOS) / folder;
    for (const auto &file : std::filesystem::directory_iterator(directory)) {
        ScenarioPath path;
        std::strncpy(path.text, file.path().c_str(), MaxPathLength - 1);
        paths.push_back(path);
    }
    std::sort(paths.begin(), paths.end(), [](const ScenarioPath &a, const ScenarioPath &b) {
        return std::strcmp(a.text, b.text) < 0;
    });
    return paths;
}

template<typename Scenario>
void runScenario(const ScenarioPath *path)
{
    Scenario scenario;
    const absl::Status status = scenario.run(path->text);
    cr_assert(status.ok(), "%s", status.ToString().c_str());
}

} // namespace

ParameterizedTestParameters(scenarios, traffic)
{
    static std::vector<ScenarioPath> paths = scenariosIn("traffic");
    return cr_make_param_array(ScenarioPath, paths.data(), paths.size());
}

ParameterizedTest(ScenarioPath *path, scenarios, traffic,
                  .description = "scenarios of callers and proxies with one database group pass")
{
    runScenario<testing::TrafficScenario>(path);
}

ParameterizedTestParameters(scenarios, quorum)
{
    static std::vector<ScenarioPath> paths = scenariosIn("quorum");
    return cr_make_param_array(ScenarioPath, paths.data(), paths.size());
}

ParameterizedTest(ScenarioPath *path, scenarios, quorum,
                  .description = "scenarios of the quorum logs of control instances pass")
{
    runScenario<testing::QuorumScenario>(path);
}

ParameterizedTestParameters(scenarios, group)
{
    static std::vector<ScenarioPath> paths = scenariosIn("group");
    return cr_make_param_array(ScenarioPath, paths.data(), paths.size());
}

ParameterizedTest(ScenarioPath *path, scenarios, group,
                  .description = "scenarios of a database group with control instances pass")
{
    runScenario<testing::GroupScenario>(path);
}
