// Measurements of a load run: latencies, outcomes, reads served by replicas, write gaps.
#pragma once

#include "programs/load/workload.hpp"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarbweir {

// Histogram of latencies in milliseconds, with logarithmic bins.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void add(Duration latency);
    // Upper edge of the bin that contains the quantile `fraction`, in milliseconds; 0 when empty.
    // `fraction` is between 0 and 1.
    double quantile(double fraction) const;
    double maxLatency() const { return this->maximum; }
    std::uint64_t count() const { return this->total; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> bins;
    double maximum = 0;
    std::uint64_t total = 0;
};

// A period in which writes to a group were sent and none was confirmed.
struct WriteGap
{
    GroupId group;
    // Offset from the start of the run.
    Duration begin{0};
    Duration length{0};
    // Time since the group's last confirmed write, including time in which no write was sent.
    Duration sinceLastConfirmed{0};
};

class Measurements
{
public:
    explicit Measurements(TimePoint startOfRun);

    void operationFinished(OperationKind kind, Outcome outcome, Reason reason, Duration latency);
    void readServed(bool byReplica);
    void writeSent(const GroupId &group, TimePoint now);
    void writeConfirmed(const GroupId &group, TimePoint now);
    // Closes the gaps that are still open.
    void finish(TimePoint now);
    // Increments a named counter.
    void count(const std::string &name) { ++this->counts[name]; }

    // Share of the reads that replicas served, between 0 and 1; 0 without reads.
    double replicaShare() const;
    // The longest gap; its length is 0 if no write was sent.
    WriteGap longestGap() const;
    // Gaps longer than GapThreshold, ordered by their ends.
    const std::vector<WriteGap> &gaps() const { return this->longGaps; }
    std::uint64_t operations() const { return this->operationCount; }
    std::uint64_t operationsOk() const { return this->operationOkCount; }

    using OutcomeKey = std::tuple<OperationKind, Outcome, Reason>;
    const std::map<OutcomeKey, std::uint64_t> &outcomes() const { return this->outcomeCounts; }
    const std::map<OperationKind, LatencyHistogram> &latencies() const { return this->histograms; }
    const std::map<std::string, std::uint64_t> &otherCounts() const { return this->counts; }

    static constexpr std::chrono::milliseconds GapThreshold{200};

private:
    struct GroupWrites
    {
        // Whether a write was sent since the last confirmed one.
        bool waiting = false;
        // Start of the current gap; valid while `waiting`.
        TimePoint gapBegan{};
        // Default value until a write was confirmed.
        TimePoint lastConfirmedAt{};
    };

    void closeGap(const GroupId &group, GroupWrites &writes, TimePoint now);

    TimePoint startedAt;
    std::map<OperationKind, LatencyHistogram> histograms;
    std::map<OutcomeKey, std::uint64_t> outcomeCounts;
    std::map<std::string, std::uint64_t> counts;
    std::map<GroupId, GroupWrites> groups;
    std::vector<WriteGap> longGaps;
    WriteGap longest;
    std::uint64_t reads = 0;
    std::uint64_t readsByReplicas = 0;
    std::uint64_t operationCount = 0;
    std::uint64_t operationOkCount = 0;
};

} // namespace rhubarbweir
