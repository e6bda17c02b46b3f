// Failure detector for primaries: combines reports of poolers, heartbeats of targets and probes by
// this instance.
//
// The report of a single pooler is not sufficient, because its own link may be cut. A slow primary
// still answers, so only refused connections and complete silence are evidence.
#pragma once

#include "rhubarbweir/coordination/control/lease_tracker.hpp"
#include "rhubarbweir/coordination/fleet/fleet_settings.hpp"

#include <map>
#include <optional>
#include <set>

namespace rhubarbweir {

enum class PrimaryHealth {
    Alive,
    // To be probed by this instance.
    Suspected,
    Lost,
};

template<>
struct EnumNames<PrimaryHealth>
{
    static constexpr std::string_view Names[] = {"alive", "suspected", "lost"};
};

struct PrimaryEvidence
{
    PrimaryHealth health = PrimaryHealth::Alive;
    std::size_t poolers = 0;
    std::size_t complaints = 0;
    unsigned failedProbes = 0;
    bool heartbeatOverdue = false;
};

class PrimaryFailureDetector
{
public:
    explicit PrimaryFailureDetector(const FleetSettings &fleetSettings);

    // Discards all evidence. Call when this instance becomes the leader.
    void reset(TimePoint now);
    void recordHeartbeat(const TargetId &target, TimePoint now);
    void recordReport(const ProxyRun &run, const RenewLease &report, TimePoint now);
    void recordProbe(const TargetId &target, bool answered);
    // Discards the evidence against the target.
    void clearEvidence(const TargetId &target, TimePoint now);

    // The start of the observation if there was none since.
    TimePoint lastHeartbeat(const TargetId &target) const;
    PrimaryEvidence evaluate(const TargetId &target, const LeaseTracker &leases,
                             TimePoint now) const;
    // Whether more than a third of the poolers report the group as overloaded; see
    // SessionPooler::overloadedGroups().
    bool isOverloaded(const GroupId &group, const LeaseTracker &leases, TimePoint now) const;
    // Number of reporting poolers that do not complain of the target minus those that do.
    int reachability(const TargetId &target, TimePoint now) const;

private:
    struct Report;
    struct Tally;
    const Tally &tally(const LeaseTracker &leases, TimePoint now) const;
    bool isReportValid(const ProxyRun &run, const Report &report, const LeaseTracker &leases,
                       TimePoint now) const;

    struct Report
    {
        // The pooler has reported without a gap from here on.
        TimePoint since;
        TimePoint expiresAt;
        std::map<TargetId, ObservedState> complaints;
        std::set<GroupId> overloaded;
    };

    // What all valid reports say together at one time.
    struct Tally
    {
        TimePoint countedAt;
        std::size_t poolers = 0;
        std::map<TargetId, std::size_t> complaints;
        std::map<GroupId, std::size_t> overloaded;
    };

    const FleetSettings &settings;
    TimePoint startedAt;
    std::map<ProxyRun, Report> reports;
    std::map<TargetId, TimePoint> lastHeartbeatAt;
    // Consecutive probes without an answer.
    std::map<TargetId, unsigned> failedProbes;
    // Counted once for all groups that are evaluated at the same time. Empty after a change of the
    // reports.
    mutable std::optional<Tally> counted;
};

} // namespace rhubarbweir
