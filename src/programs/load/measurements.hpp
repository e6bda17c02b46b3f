// What the load tool measures: latencies, outcomes, where reads were served, write gaps.
#pragma once

#include "programs/load/workload.hpp"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarbweir {

// Latencies in milliseconds, in bins that are narrow where latencies are short.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void add(Duration latency);
    // Upper edge of the bin that holds the quantile, which lies between 0 and 1; 0 when empty.
    double quantile(double fraction) const;
    double greatest() const { return this->maximum; }
    std::uint64_t count() const { return this->total; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> bins;
    double maximum = 0;
    std::uint64_t total = 0;
};

// Time in which writes of a group were sent and none was confirmed.
struct WriteGap
{
    GroupId group;
    // Since the start of the run.
    Duration begin{0};
    Duration length{0};
    // From the group's last confirmed write before the gap; includes time without any write.
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
    // Ends the gaps that are still open.
    void finish(TimePoint now);
    // Anything else worth a count, by name.
    void count(const std::string &name) { ++this->counts[name]; }

    double replicaShare() const;
    // The longest gap; length 0 when no write was sent.
    WriteGap longestGap() const;
    // Gaps above GapThreshold, in order of their ends.
    const std::vector<WriteGap> &gaps() const { return this->longGaps; }
    std::uint64_t operations() const { return this->finished; }
    std::uint64_t operationsOk() const { return this->succeeded; }

    using OutcomeKey = std::tuple<OperationKind, Outcome, Reason>;
    const std::map<OutcomeKey, std::uint64_t> &outcomes() const { return this->outcomeCounts; }
    const std::map<OperationKind, LatencyHistogram> &latencies() const { return this->histograms; }
    const std::map<std::string, std::uint64_t> &otherCounts() const { return this->counts; }

    static constexpr std::chrono::milliseconds GapThreshold{200};

private:
    struct GroupWrites
    {
        // Writes that were sent and have neither been confirmed nor followed by a confirmation.
        bool waiting = false;
        // When the present gap began; valid while `waiting`.
        TimePoint gapBegan{};
        // The start of the run until a write was confirmed.
        TimePoint lastConfirmedAt{};
    };

    void endGap(const GroupId &group, GroupWrites &writes, TimePoint now);

    TimePoint startedAt;
    std::map<OperationKind, LatencyHistogram> histograms;
    std::map<OutcomeKey, std::uint64_t> outcomeCounts;
    std::map<std::string, std::uint64_t> counts;
    std::map<GroupId, GroupWrites> groups;
    std::vector<WriteGap> longGaps;
    WriteGap longest;
    std::uint64_t reads = 0;
    std::uint64_t readsByReplicas = 0;
    std::uint64_t finished = 0;
    std::uint64_t succeeded = 0;
};

} // namespace rhubarbweir
