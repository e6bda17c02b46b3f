// Maintains the primary of each group: first assignment, failover, planned changes, and targets
// that return. Acts on the committed phase of each group, so that a new leader continues where the
// former one stopped.
#pragma once

#include "rhubarbweir/coordination/control/control_context.hpp"

#include <map>
#include <string>

namespace rhubarbweir {

class FailoverManager
{
public:
    explicit FailoverManager(const ControlContext &controlContext);

    // Discards the record of orders sent, so that a new leader sends them again.
    void beginOffice();
    void advanceGroup(const GroupId &group, TimePoint now);
    // Returns Reason::None if the change may be proposed.
    Reason checkPlannedChange(const PlannedChange &request, TimePoint now) const;
    // Returns the requested target, or the best replica if the request names none. May be empty.
    TargetId plannedTarget(const PlannedChange &request, TimePoint now) const;

private:
    // Actions of this leader in the current term and phase of a group.
    struct Progress
    {
        std::uint64_t term = 0;
        GroupPhase phase = GroupPhase::Unassigned;
        // When this leader first observed the phase.
        TimePoint phaseSince;
        // Earliest time at which an order to a target may be repeated.
        std::map<TargetId, TimePoint> nextOrderAt;
        // Connection on which a target was last ordered to follow the primary.
        std::map<TargetId, ConnectionId> followOrderedOn;
        // PlannedHold: when the hold was first known to be in force; max() before.
        TimePoint holdInForceSince = TimePoint::max();
        // Unassigned: since when a majority has been alive; max() before.
        TimePoint majoritySince = TimePoint::max();
    };

    Progress &progressOf(const GroupId &group, const GroupRecord &record, TimePoint now);
    void assign(const GroupId &group, const GroupRecord &record, Progress &groupProgress,
                TimePoint now);
    void monitorPrimary(const GroupId &group, const GroupRecord &record, Progress &groupProgress,
                        TimePoint now);
    void movePrimaryOffLeaving(const GroupId &group, const GroupRecord &record, TimePoint now);
    void awaitCatchUp(const GroupId &group, const GroupRecord &record, Progress &groupProgress,
                      TimePoint now);
    void fence(const GroupId &group, const GroupRecord &record, Progress &groupProgress,
               TimePoint now);
    void choose(const GroupId &group, const GroupRecord &record, const Progress &groupProgress,
                TimePoint now);
    void promote(const GroupId &group, const GroupRecord &record, Progress &groupProgress,
                 TimePoint now);
    void orderFollowers(const GroupId &group, const GroupRecord &record, const TargetId &primary,
                        Progress &groupProgress, TimePoint now);

    // Returns why the primary has to be replaced; empty if it does not.
    std::string replacementCause(const GroupRecord &record, const Progress &groupProgress,
                                 TimePoint now) const;
    void beginTerm(const GroupId &group, const GroupRecord &record, const TargetId &preferred,
                   std::string cause, TimePoint now);
    // Sends the order unless the target has no connection or the last order to it was sent less
    // than `interval` ago. Returns whether it sent the order.
    bool sendOrder(const TargetId &target, const TargetOrder &message, Progress &groupProgress,
                   Duration interval, TimePoint now);
    bool isHoldInForce(const GroupId &group, const Progress &groupProgress, TimePoint now) const;
    bool isLeaving(const TargetId &target) const;
    bool isPrimaryOf(const TargetId &target, std::uint64_t term) const;
    TargetId bestReplica(const GroupRecord &record, TimePoint now) const;

    const ControlContext &context;
    std::map<GroupId, Progress> progressByGroup;
    // Earliest time for the next attempt to move a primary off a leaving target.
    std::map<GroupId, TimePoint> nextMoveAt;
};

} // namespace rhubarbweir
