// Output of a load run's result, as text and as JSON.
#pragma once

#include "programs/load/checker.hpp"
#include "programs/load/measurements.hpp"

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace rhubarbweir {

struct RunResult
{
    Violations violations;
    std::vector<std::string> details;
    std::uint64_t confirmedWrites = 0;
    // Groups without a primary's report, whose logs were not checked.
    std::vector<GroupId> uncheckedGroups;
    // Whether the settings name reports of the databases.
    bool hasReports = false;
    Duration ranFor{0};
};

// The last line of the text report:
// "reads_on_replicas=… failover_gap_ms=… confirmed_lost=… doubled=… ryw_violations=… crossed=…
// limit_exceeded=…"
std::string resultLine(const Measurements &measurements, const RunResult &result);
// Whether no violation was found and every check could be made.
bool isClean(const Measurements &measurements, const RunResult &result);
void printReport(std::ostream &out, const Measurements &measurements, const RunResult &result);
nlohmann::json jsonReport(const Measurements &measurements, const RunResult &result);

} // namespace rhubarbweir
