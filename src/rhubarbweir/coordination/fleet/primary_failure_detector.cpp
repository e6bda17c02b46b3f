// See primary_failure_detector.hpp.
#include "rhubarbweir/coordination/fleet/primary_failure_detector.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// A single failed probe may be a lost packet. Two in a row, together with a complaint or an overdue
// heartbeat, are taken as a failure.
constexpr unsigned RequiredFailedProbes = 2;
// A heartbeat is overdue after this many intervals: one was missed and half of the next interval
// has passed.
constexpr double OverdueIntervals = 2.5;
// A group is overloaded when more than 1 / this of the poolers report it. Not a majority, because
// poolers with few callers of a group may not notice its overload.
constexpr std::size_t OverloadReportDivisor = 3;

} // namespace

PrimaryFailureDetector::PrimaryFailureDetector(const FleetSettings &fleetSettings)
    : settings(fleetSettings)
{
}

void PrimaryFailureDetector::reset(TimePoint now)
{
    this->startedAt = now;
    this->reports.clear();
    this->counted.reset();
    this->lastHeartbeatAt.clear();
    this->failedProbes.clear();
}

void PrimaryFailureDetector::recordHeartbeat(const TargetId &target, TimePoint now)
{
    this->lastHeartbeatAt[target] = now;
}

void PrimaryFailureDetector::recordReport(const ProxyRun &run, const RenewLease &renewal,
                                          TimePoint now)
{
    this->counted.reset();
    Report &report = this->reports[run];
    if (now >= report.expiresAt)
        report.since = now;
    report.expiresAt = now + this->settings.reportLifetime;
    report.complaints.clear();
    report.overloaded = {renewal.overloadedGroups.begin(), renewal.overloadedGroups.end()};
    for (const TargetObservation &observation : renewal.observations) {
        if (observation.state != ObservedState::Alive)
            report.complaints[observation.target] = observation.state;
    }
}

void PrimaryFailureDetector::recordProbe(const TargetId &target, bool answered)
{
    if (answered) {
        this->failedProbes.erase(target);
        return;
    }
    ++this->failedProbes[target];
}

void PrimaryFailureDetector::clearEvidence(const TargetId &target, TimePoint now)
{
    this->failedProbes.erase(target);
    this->lastHeartbeatAt[target] = now;
    this->counted.reset();
    for (auto &[run, report] : this->reports)
        report.complaints.erase(target);
}

// A pooler that returns from a network partition first reports what it saw during the partition, so
// its reports are ignored until it has reported without a gap for the report lifetime.
bool PrimaryFailureDetector::isReportValid(const ProxyRun &run, const Report &report,
                                           const LeaseTracker &leases, TimePoint now) const
{
    const bool isEstablished = now >= report.since + this->settings.reportLifetime;
    return isEstablished && now < report.expiresAt && leases.hasLease(run, now);
}

const PrimaryFailureDetector::Tally &PrimaryFailureDetector::tally(const LeaseTracker &leases,
                                                                   TimePoint now) const
{
    if (this->counted && this->counted->countedAt == now)
        return *this->counted;
    Tally &tally = this->counted.emplace(Tally{});
    tally.countedAt = now;
    for (const auto &[run, report] : this->reports) {
        if (!this->isReportValid(run, report, leases, now))
            continue;
        ++tally.poolers;
        for (const auto &[target, state] : report.complaints)
            ++tally.complaints[target];
        for (const GroupId &group : report.overloaded)
            ++tally.overloaded[group];
    }
    return tally;
}

bool PrimaryFailureDetector::isOverloaded(const GroupId &group, const LeaseTracker &leases,
                                          TimePoint now) const
{
    const Tally &tally = this->tally(leases, now);
    const auto found = tally.overloaded.find(group);
    const std::size_t complaints = found == tally.overloaded.end() ? 0 : found->second;
    return complaints * OverloadReportDivisor > tally.poolers;
}

TimePoint PrimaryFailureDetector::lastHeartbeat(const TargetId &target) const
{
    const auto found = this->lastHeartbeatAt.find(target);
    return found == this->lastHeartbeatAt.end() ? this->startedAt : found->second;
}

PrimaryEvidence PrimaryFailureDetector::evaluate(const TargetId &target, const LeaseTracker &leases,
                                                 TimePoint now) const
{
    PrimaryEvidence evidence;
    const Tally &tally = this->tally(leases, now);
    evidence.poolers = tally.poolers;
    const auto complaints = tally.complaints.find(target);
    evidence.complaints = complaints == tally.complaints.end() ? 0 : complaints->second;
    const auto probes = this->failedProbes.find(target);
    evidence.failedProbes = probes == this->failedProbes.end() ? 0 : probes->second;
    const auto overdueAfter =
        std::chrono::duration_cast<Duration>(this->settings.heartbeatInterval * OverdueIntervals);
    evidence.heartbeatOverdue = now >= this->lastHeartbeat(target) + overdueAfter;

    const bool probeFailed = evidence.failedProbes >= RequiredFailedProbes;
    const bool mostComplain = evidence.poolers > 1 && evidence.complaints * 2 > evidence.poolers;
    if (mostComplain || (probeFailed && (evidence.complaints > 0 || evidence.heartbeatOverdue)))
        evidence.health = PrimaryHealth::Lost;
    else if (evidence.complaints > 0 || evidence.heartbeatOverdue)
        evidence.health = PrimaryHealth::Suspected;
    return evidence;
}

int PrimaryFailureDetector::reachability(const TargetId &target, TimePoint now) const
{
    int balance = 0;
    for (const auto &[run, report] : this->reports) {
        if (now < report.expiresAt)
            balance += report.complaints.count(target) == 0 ? 1 : -1;
    }
    return balance;
}

} // namespace rhubarbweir
