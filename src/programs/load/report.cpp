// See report.hpp.
#include "programs/load/report.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <ostream>

namespace rhubarbweir {

namespace {

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string toString(std::string_view name)
{
    return std::string(name);
}

void printLatencies(std::ostream &out, const Measurements &measurements)
{
    out << absl::StrFormat("%-14s %10s %10s %10s %10s %10s\n", "latency in ms", "answers", "p50",
                           "p90", "p99", "max");
    for (const auto &[kind, latency] : measurements.latencies()) {
        out << absl::StrFormat("%-14s %10d %10.2f %10.2f %10.2f %10.2f\n", toString(nameOf(kind)),
                               latency.count(), latency.quantile(0.5), latency.quantile(0.9),
                               latency.quantile(0.99), latency.maxLatency());
    }
}

void printOutcomes(std::ostream &out, const Measurements &measurements)
{
    out << absl::StrFormat("%-14s %-16s %-22s %10s\n", "operation", "outcome", "reason", "count");
    for (const auto &[key, count] : measurements.outcomes()) {
        const auto &[kind, outcome, reason] = key;
        out << absl::StrFormat("%-14s %-16s %-22s %10d\n", toString(nameOf(kind)),
                               toString(nameOf(outcome)), toString(nameOf(reason)), count);
    }
    for (const auto &[name, count] : measurements.otherCounts())
        out << absl::StrFormat("%-54s %10d\n", name, count);
}

void printGaps(std::ostream &out, const Measurements &measurements)
{
    const WriteGap longest = measurements.longestGap();
    out << "longest time in which writes were sent and none was confirmed: "
        << toMilliseconds(longest.length) << " ms, group " << longest.group << ", at "
        << toMilliseconds(longest.begin) << " ms, " << toMilliseconds(longest.sinceLastConfirmed)
        << " ms after the last confirmed one\n";
    for (const WriteGap &gap : measurements.gaps()) {
        out << "  gap above " << Measurements::GapThreshold.count() << " ms: group " << gap.group
            << " at " << toMilliseconds(gap.begin) << " ms for " << toMilliseconds(gap.length)
            << " ms\n";
    }
}

std::uint64_t countOf(const Measurements &measurements, const std::string &name)
{
    const auto found = measurements.otherCounts().find(name);
    return found == measurements.otherCounts().end() ? 0 : found->second;
}

nlohmann::json latencyJson(const LatencyHistogram &latency)
{
    return {{"answers", latency.count()},
            {"p50_ms", latency.quantile(0.5)},
            {"p90_ms", latency.quantile(0.9)},
            {"p99_ms", latency.quantile(0.99)},
            {"max_ms", latency.maxLatency()}};
}

nlohmann::json violationsJson(const Violations &violations)
{
    return {{"confirmed_lost", violations.confirmedLost},
            {"doubled", violations.doubled},
            {"ryw_violations", violations.readYourWrites},
            {"crossed", violations.crossed},
            {"limit_exceeded", violations.limitExceeded},
            {"too_old", violations.tooOld},
            {"silent", violations.silent},
            {"not_run_but_ran", violations.notRunButRan},
            {"mixed_transactions", violations.mixedTransactions},
            {"unresolved", violations.unresolved}};
}

} // namespace

std::string resultLine(const Measurements &measurements, const RunResult &result)
{
    const Violations &violations = result.violations;
    return absl::StrCat(
        "reads_on_replicas=", absl::StrFormat("%.4f", measurements.replicaShare()),
        " failover_gap_ms=", toMilliseconds(measurements.longestGap().length),
        " confirmed_lost=", violations.confirmedLost, " doubled=", violations.doubled,
        " ryw_violations=", violations.readYourWrites, " crossed=", violations.crossed,
        " limit_exceeded=", violations.limitExceeded);
}

bool isClean(const Measurements &measurements, const RunResult &result)
{
    const Violations &found = result.violations;
    const bool areCountersZero = found.confirmedLost == 0 && found.doubled == 0
                                 && found.readYourWrites == 0 && found.crossed == 0
                                 && found.limitExceeded == 0;
    const bool isChecked =
        result.uncheckedGroups.empty() && countOf(measurements, "final_reads_failed") == 0;
    return areCountersZero && found.silent == 0 && found.mixedTransactions == 0 && found.tooOld == 0
           && isChecked;
}

void printReport(std::ostream &out, const Measurements &measurements, const RunResult &result)
{
    const double seconds = static_cast<double>(result.ranFor.count()) / 1e6;
    out << absl::StrFormat(
        "%d operations in %.1f s, %d answered Ok (%.1f a second), %d writes confirmed\n",
        measurements.operations(), seconds, measurements.operationsOk(),
        static_cast<double>(measurements.operationsOk()) / seconds, result.confirmedWrites);
    printLatencies(out, measurements);
    printOutcomes(out, measurements);
    printGaps(out, measurements);
    const Violations &found = result.violations;
    out << "unanswered requests " << found.silent << ", reads older than their maximum age "
        << found.tooOld << ", ran despite NotRun " << found.notRunButRan << ", mixed transactions "
        << found.mixedTransactions << ", unresolved outcomes " << found.unresolved << "\n";
    for (const GroupId &group : result.uncheckedGroups)
        out << "log of group " << group << " was not checked: no report from a primary\n";
    if (!result.hasReports)
        out << "the databases' logs were not checked: the setting reports is empty\n";
    for (const std::string &line : result.details)
        out << line << "\n";
    out << resultLine(measurements, result) << "\n";
}

nlohmann::json jsonReport(const Measurements &measurements, const RunResult &result)
{
    nlohmann::json report;
    report["reads_on_replicas"] = measurements.replicaShare();
    report["failover_gap_ms"] = toMilliseconds(measurements.longestGap().length);
    report["violations"] = violationsJson(result.violations);
    report["details"] = result.details;
    report["operations"] = measurements.operations();
    report["operations_ok"] = measurements.operationsOk();
    report["confirmed_writes"] = result.confirmedWrites;
    report["ran_for_ms"] = toMilliseconds(result.ranFor);
    report["clean"] = isClean(measurements, result);
    report["counts"] = measurements.otherCounts();
    report["gaps"] = nlohmann::json::array();
    for (const WriteGap &gap : measurements.gaps()) {
        report["gaps"].push_back(
            {{"group", gap.group.value},
             {"begin_ms", toMilliseconds(gap.begin)},
             {"length_ms", toMilliseconds(gap.length)},
             {"since_last_confirmed_ms", toMilliseconds(gap.sinceLastConfirmed)}});
    }
    for (const auto &[kind, latency] : measurements.latencies())
        report["latency"][toString(nameOf(kind))] = latencyJson(latency);
    report["outcomes"] = nlohmann::json::array();
    for (const auto &[key, count] : measurements.outcomes()) {
        const auto &[kind, outcome, reason] = key;
        report["outcomes"].push_back({{"operation", toString(nameOf(kind))},
                                      {"outcome", toString(nameOf(outcome))},
                                      {"reason", toString(nameOf(reason))},
                                      {"count", count}});
    }
    return report;
}

} // namespace rhubarbweir
