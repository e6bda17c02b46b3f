// Runs every scenario of the folder scenarios/traffic.
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

// Criterion copies parameters byte by byte between processes.
struct ScenarioPath
{
    char text[MaxPathLength] = {};
};

} // namespace

ParameterizedTestParameters(traffic_scenarios, scenario)
{
    static std::vector<ScenarioPath> paths;
    const std::filesystem::path folder = std::filesystem::path(RHUBARBWEIR_SCENARIOS) / "traffic";
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        ScenarioPath path;
        std::strncpy(path.text, file.path().c_str(), MaxPathLength - 1);
        paths.push_back(path);
    }
    std::sort(paths.begin(), paths.end(), [](const ScenarioPath &a, const ScenarioPath &b) {
        return std::strcmp(a.text, b.text) < 0;
    });
    return cr_make_param_array(ScenarioPath, paths.data(), paths.size());
}

ParameterizedTest(ScenarioPath *path, traffic_scenarios, scenario,
                  .description = "each traffic scenario holds")
{
    testing::TrafficScenario scenario;
    const absl::Status status = scenario.run(path->text);
    cr_assert(status.ok(), "%s", status.ToString().c_str());
}
