// Scenario verbs for one database group with three control instances and two proxies.
#pragma once

#include "scenarios/scenario_runner.hpp"
#include "unit/group_fakes.hpp"

#include <memory>
#include <string>

namespace rhubarbweir::testing {

class GroupScenario
{
public:
    // Runs the scenario in `file`. Errors: as for runScenarioFile.
    absl::Status run(const std::string &file);

private:
    Verbs verbs();
    absl::Status setUp(const Step &step);
    absl::Status edit(const Step &step);
    absl::Status expect(const Step &step);
    absl::Status expectEdit(const Step &step) const;
    // Resolves an alias set by the verb `name`, or `primary` to the current primary. Other words
    // are node names.
    std::string resolveNode(const std::string &word);

    std::unique_ptr<fakes::FakeGroup> group;
    // Results of edits by request id, in order of arrival.
    std::map<std::string, std::vector<TableEditResult>> editResults;
    // Node names by alias.
    std::map<std::string, std::string> aliases;
    TimePoint start;
};

} // namespace rhubarbweir::testing
