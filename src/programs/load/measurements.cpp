// See measurements.hpp.
#include "programs/load/measurements.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

constexpr unsigned BinCount = 600;
constexpr double MinLatencyMs = 0.05;
constexpr double MaxLatencyMs = 120'000;

double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : bins(boost::histogram::make_histogram(
        Axis(BinCount, MinLatencyMs, MaxLatencyMs, "latency in ms")))
{
}

void LatencyHistogram::add(Duration latency)
{
    const double value = toMilliseconds(latency);
    this->bins(value);
    this->maximum = std::max(this->maximum, value);
    ++this->total;
}

double LatencyHistogram::quantile(double fraction) const
{
    const double wanted = fraction * static_cast<double>(this->total);
    double seen = 0;
    for (auto &&bin : boost::histogram::indexed(this->bins, boost::histogram::coverage::all)) {
        seen += static_cast<double>(*bin);
        if (seen >= wanted && seen > 0)
            return std::min(bin.bin().upper(), this->maximum);
    }
    return this->maximum;
}

Measurements::Measurements(TimePoint startOfRun)
    : startedAt(startOfRun)
{
}

void Measurements::operationFinished(OperationKind kind, Outcome outcome, Reason reason,
                                     Duration latency)
{
    ++this->outcomeCounts[{kind, outcome, reason}];
    ++this->operationCount;
    if (outcome != Outcome::Ok)
        return;
    ++this->operationOkCount;
    this->histograms[kind].add(latency);
}

void Measurements::readServed(bool byReplica)
{
    ++this->reads;
    this->readsByReplicas += byReplica ? 1 : 0;
}

void Measurements::writeSent(const GroupId &group, TimePoint now)
{
    GroupWrites &writes = this->groups[group];
    if (writes.waiting)
        return;
    writes.waiting = true;
    writes.gapBegan = now;
}

void Measurements::writeConfirmed(const GroupId &group, TimePoint now)
{
    GroupWrites &writes = this->groups[group];
    this->closeGap(group, writes, now);
    writes.lastConfirmedAt = now;
}

void Measurements::finish(TimePoint now)
{
    for (auto &[group, writes] : this->groups)
        this->closeGap(group, writes, now);
}

void Measurements::closeGap(const GroupId &group, GroupWrites &writes, TimePoint now)
{
    if (!writes.waiting)
        return;
    writes.waiting = false;
    WriteGap gap;
    gap.group = group;
    gap.begin = std::chrono::duration_cast<Duration>(writes.gapBegan - this->startedAt);
    gap.sinceLastConfirmed = std::chrono::duration_cast<Duration>(
        now - std::max(writes.lastConfirmedAt, this->startedAt));
    gap.length = std::chrono::duration_cast<Duration>(now - writes.gapBegan);
    if (gap.length > this->longest.length)
        this->longest = gap;
    if (gap.length > GapThreshold)
        this->longGaps.push_back(gap);
}

double Measurements::replicaShare() const
{
    if (this->reads == 0)
        return 0;
    return static_cast<double>(this->readsByReplicas) / static_cast<double>(this->reads);
}

WriteGap Measurements::longestGap() const
{
    return this->longest;
}

} // namespace rhubarbweir
