// The result of a load run, for people and for programs.
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
    // Groups whose primary wrote no report, so that their log was not checked.
    std::vector<GroupId> unchecked;
    // Whether reports of the databases were given.
    bool hasReports = false;
    Duration ranFor{0};
};

// "reads_on_replicas=… failover_gap_ms=… confirmed_lost=… doubled=… ryw_violations=… crossed=…
// limit_exceeded=…"
std::string resultLine(const Measurements &measurements, const RunResult &result);
// Whether every promise was kept and every check could be made.
bool isClean(const Measurements &measurements, const RunResult &result);
void printReport(std::ostream &out, const Measurements &measurements, const RunResult &result);
nlohmann::json jsonReport(const Measurements &measurements, const RunResult &result);

} // namespace rhubarbweir
