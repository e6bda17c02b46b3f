// See primary_watch.hpp.
#include "rhubarbweir/coordination/fleet/primary_watch.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// One lost probe may be a lost packet; two in a row beside a complaint are not.
constexpr unsigned ConvincingProbes = 2;
// A target is overdue after missing one announcement and half of the next interval.
constexpr double OverdueIntervals = 2.5;
// Poolers with few callers of a group may not see its overload.
constexpr std::size_t OverloadShare = 3;

} // namespace

PrimaryWatch::PrimaryWatch(const FleetSettings &fleetSettings)
    : settings(fleetSettings)
{
}

void PrimaryWatch::reset(TimePoint now)
{
    this->startedAt = now;
    this->reports.clear();
    this->heardAt.clear();
    this->failedProbes.clear();
}

void PrimaryWatch::heartbeat(const TargetId &target, TimePoint now)
{
    this->heardAt[target] = now;
}

void PrimaryWatch::reported(const ProxyRun &run, const RenewLease &renewal, TimePoint now)
{
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

void PrimaryWatch::probed(const TargetId &target, bool answered)
{
    if (answered) {
        this->failedProbes.erase(target);
        return;
    }
    ++this->failedProbes[target];
}

void PrimaryWatch::forgive(const TargetId &target, TimePoint now)
{
    this->failedProbes.erase(target);
    this->heardAt[target] = now;
    for (auto &[run, report] : this->reports)
        report.complaints.erase(target);
}

// A pooler that was out of touch tells at first what it saw on the far side of a cut.
bool PrimaryWatch::counts(const ProxyRun &run, const Report &report, const LeaseBook &leases,
                          TimePoint now) const
{
    const bool isSettled = now >= report.since + this->settings.reportLifetime;
    return isSettled && now < report.expiresAt && leases.hasLease(run, now);
}

bool PrimaryWatch::isOverloaded(const GroupId &group, const LeaseBook &leases, TimePoint now) const
{
    std::size_t poolers = 0;
    std::size_t complaints = 0;
    for (const auto &[run, report] : this->reports) {
        if (!this->counts(run, report, leases, now))
            continue;
        ++poolers;
        complaints += report.overloaded.count(group);
    }
    return complaints * OverloadShare > poolers;
}

PrimaryEvidence PrimaryWatch::judge(const TargetId &target, const LeaseBook &leases,
                                    TimePoint now) const
{
    PrimaryEvidence evidence;
    for (const auto &[run, report] : this->reports) {
        if (!this->counts(run, report, leases, now))
            continue;
        ++evidence.poolers;
        evidence.complaints += report.complaints.count(target);
    }
    const auto probes = this->failedProbes.find(target);
    evidence.failedProbes = probes == this->failedProbes.end() ? 0 : probes->second;
    const auto heard = this->heardAt.find(target);
    const TimePoint lastHeard = heard == this->heardAt.end() ? this->startedAt : heard->second;
    const auto patience =
        std::chrono::duration_cast<Duration>(this->settings.heartbeatInterval * OverdueIntervals);
    evidence.heartbeatOverdue = now >= lastHeard + patience;

    const bool probeFailed = evidence.failedProbes >= ConvincingProbes;
    const bool mostComplain = evidence.poolers > 1 && evidence.complaints * 2 > evidence.poolers;
    if (mostComplain || (probeFailed && (evidence.complaints > 0 || evidence.heartbeatOverdue)))
        evidence.verdict = PrimaryVerdict::Lost;
    else if (evidence.complaints > 0 || evidence.heartbeatOverdue)
        evidence.verdict = PrimaryVerdict::Suspected;
    return evidence;
}

int PrimaryWatch::reachability(const TargetId &target, TimePoint now) const
{
    int balance = 0;
    for (const auto &[run, report] : this->reports) {
        if (now < report.expiresAt)
            balance += report.complaints.count(target) == 0 ? 1 : -1;
    }
    return balance;
}

} // namespace rhubarbweir
