// Keeps every group at one primary: first assignment, failover, planned change, and targets that
// come back. Driven by the committed phase of each group, so that a new leader resumes where the
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

    // Forgets what was ordered; the new leader orders again.
    void beginOffice();
    void advanceGroup(const GroupId &group, TimePoint now);
    // Reason::None when the change may be proposed.
    Reason checkPlannedChange(const PlannedChange &request, TimePoint now) const;
    // The request's target, or the best one where it names none; may be empty.
    TargetId plannedTarget(const PlannedChange &request, TimePoint now) const;

private:
    // What this leader did in the group's present term and phase.
    struct Progress
    {
        std::uint64_t term = 0;
        GroupPhase phase = GroupPhase::Unassigned;
        // When this leader first saw the phase.
        TimePoint since;
        // When an order to a target may be repeated.
        std::map<TargetId, TimePoint> nextOrderAt;
        // Connection on which a target was last told to follow the primary.
        std::map<TargetId, ConnectionId> followOrderedOn;
        // PlannedHold: when the hold was known to be in force; max() before.
        TimePoint heldSince = TimePoint::max();
        // Unassigned: when a majority had announced itself; max() before.
        TimePoint majoritySince = TimePoint::max();
    };

    Progress &progressOf(const GroupId &group, const GroupRecord &record, TimePoint now);
    void assign(const GroupId &group, const GroupRecord &record, Progress &progress, TimePoint now);
    void watchPrimary(const GroupId &group, const GroupRecord &record, Progress &progress,
                      TimePoint now);
    void movePrimaryOffLeaving(const GroupId &group, const GroupRecord &record, TimePoint now);
    void catchUp(const GroupId &group, const GroupRecord &record, Progress &progress,
                 TimePoint now);
    void fence(const GroupId &group, const GroupRecord &record, Progress &progress, TimePoint now);
    void choose(const GroupId &group, const GroupRecord &record, const Progress &progress,
                TimePoint now);
    void promote(const GroupId &group, const GroupRecord &record, Progress &progress,
                 TimePoint now);
    void orderFollowers(const GroupId &group, const GroupRecord &record, const TargetId &primary,
                        Progress &progress, TimePoint now);

    // Empty while there is no cause to give the primary up.
    std::string causeToReplace(const GroupRecord &record, const Progress &progress,
                               TimePoint now) const;
    void beginTerm(const GroupId &group, const GroupRecord &record, const TargetId &preferred,
                   std::string cause, TimePoint now);
    // Sends unless the target has no connection or the last order to it is younger than its
    // interval. Returns whether it sent.
    bool order(const TargetId &target, const TargetOrder &message, Progress &progress,
               Duration interval, TimePoint now);
    bool isHoldInForce(const GroupId &group, const Progress &progress, TimePoint now) const;
    bool isLeaving(const TargetId &target) const;
    bool isPrimaryOf(const TargetId &target, std::uint64_t term) const;
    TargetId bestReplica(const GroupRecord &record, TimePoint now) const;

    const ControlContext &context;
    std::map<GroupId, Progress> progress;
    // When control may try again to move a primary off a leaving target.
    std::map<GroupId, TimePoint> nextMoveAt;
};

} // namespace rhubarbweir
