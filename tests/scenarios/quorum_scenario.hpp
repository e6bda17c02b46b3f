// Scenario verbs for the quorum logs of control instances, on simulated disks and a simulated
// network.
#pragma once

#include "scenarios/scenario_runner.hpp"
#include "unit/support/quorum_cluster.hpp"

#include <memory>
#include <string>

namespace rhubarbweir::testing {

class QuorumScenario
{
public:
    // Runs the scenario in `file`. Errors: as for runScenarioFile.
    absl::Status run(const std::string &file);

private:
    Verbs verbs();
    absl::Status setUp(const Step &step);
    absl::Status commit(const Step &step);
    absl::Status expect(const Step &step) const;
    // Resolves an instance number, an alias set by the verb `name`, or `leader` to the current
    // leader.
    std::size_t resolveInstance(const std::string &word) const;

    std::unique_ptr<QuorumCluster> cluster;
    // Instance numbers by alias.
    std::map<std::string, std::size_t> aliases;
    TimePoint start;
};

} // namespace rhubarbweir::testing
