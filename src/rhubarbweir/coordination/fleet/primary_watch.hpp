// Weighs what poolers, targets and probes say of a primary, and tells when it counts as lost.
//
// One pooler alone proves nothing: its own link may be cut. A slow primary still answers, so only
// refused connections and complete silence count.
#pragma once

#include "rhubarbweir/coordination/control/lease_book.hpp"
#include "rhubarbweir/coordination/fleet/fleet_settings.hpp"

#include <map>
#include <set>

namespace rhubarbweir {

enum class PrimaryVerdict {
    Alive,
    // Worth a probe by this instance.
    Suspected,
    Lost,
};

template<>
struct EnumNames<PrimaryVerdict>
{
    static constexpr std::string_view Names[] = {"alive", "suspected", "lost"};
};

struct PrimaryEvidence
{
    PrimaryVerdict verdict = PrimaryVerdict::Alive;
    std::size_t poolers = 0;
    std::size_t complaints = 0;
    unsigned failedProbes = 0;
    bool heartbeatOverdue = false;
};

class PrimaryWatch
{
public:
    explicit PrimaryWatch(const FleetSettings &fleetSettings);

    // Forgets everything: this instance became the leader.
    void reset(TimePoint now);
    void heartbeat(const TargetId &target, TimePoint now);
    void reported(const ProxyRun &run, const RenewLease &report, TimePoint now);
    void probed(const TargetId &target, bool answered);
    // Forgets what was held against the target.
    void forgive(const TargetId &target, TimePoint now);

    PrimaryEvidence judge(const TargetId &target, const LeaseBook &leases, TimePoint now) const;
    // Whether many poolers report the group's primary as overloaded while no replica can help.
    bool isOverloaded(const GroupId &group, const LeaseBook &leases, TimePoint now) const;
    // Poolers that reach the target less those that complain of it.
    int reachability(const TargetId &target, TimePoint now) const;

private:
    struct Report;
    bool counts(const ProxyRun &run, const Report &report, const LeaseBook &leases,
                TimePoint now) const;

    struct Report
    {
        // From here on the pooler has reported without a gap.
        TimePoint since;
        TimePoint expiresAt;
        std::map<TargetId, ObservedState> complaints;
        std::set<GroupId> overloaded;
    };

    const FleetSettings &settings;
    TimePoint startedAt;
    std::map<ProxyRun, Report> reports;
    std::map<TargetId, TimePoint> heardAt;
    // Probes without an answer in a row.
    std::map<TargetId, unsigned> failedProbes;
};

} // namespace rhubarbweir
