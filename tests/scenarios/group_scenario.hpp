// Verbs for scenarios of one database group under three control instances and two proxies.
#pragma once

#include "scenarios/scenario_runner.hpp"
#include "unit/group_fakes.hpp"

#include <memory>
#include <string>

namespace rhubarbweir::testing {

class GroupScenario
{
public:
    // Errors: the first failing step, with file and line.
    absl::Status run(const std::string &file);

private:
    Verbs verbs();
    absl::Status setUp(const Step &step);
    absl::Status edit(const Step &step);
    absl::Status expect(const Step &step);
    absl::Status expectEdit(const Step &step) const;
    // A target's name; `primary` stands for the one of the moment.
    std::string node(const std::string &word);

    std::unique_ptr<fakes::FakeGroup> group;
    // Answers to edits by request id, in the order of their arrival.
    std::map<std::string, std::vector<TableEditResult>> edits;
    std::map<std::string, std::string> names;
    TimePoint start;
};

} // namespace rhubarbweir::testing
