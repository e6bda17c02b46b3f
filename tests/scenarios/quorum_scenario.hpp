// Verbs for scenarios of control instances: their quorum logs over fake disks and a fake network.
#pragma once

#include "scenarios/scenario_runner.hpp"
#include "unit/support/quorum_cluster.hpp"

#include <memory>
#include <string>

namespace rhubarbweir::testing {

class QuorumScenario
{
public:
    // Errors: the first failing step, with file and line.
    absl::Status run(const std::string &file);

private:
    Verbs verbs();
    absl::Status setUp(const Step &step);
    absl::Status commit(const Step &step);
    absl::Status expect(const Step &step) const;
    // A number, or `leader`, or the word that `name` gave to an instance.
    std::size_t instance(const std::string &word) const;

    std::unique_ptr<QuorumCluster> cluster;
    std::map<std::string, std::size_t> names;
    TimePoint start;
};

} // namespace rhubarbweir::testing
