// Committed control state of one database group: members, term, primary and phase.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/ids.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace rhubarbweir {

enum class GroupPhase {
    // No primary has been chosen yet.
    Unassigned,
    Steady,
    // Writes are held while a replica catches up for a planned primary change.
    PlannedHold,
    // A majority of the group is being moved to the new term, so that the old primary can no
    // longer confirm writes.
    Fencing,
    // The chosen target is being promoted.
    Promoting,
};

template<>
struct EnumNames<GroupPhase>
{
    static constexpr std::string_view Names[] = {"unassigned", "steady", "planned_hold", "fencing",
                                                 "promoting"};
};

struct GroupMember
{
    std::string address;
    FailureDomainId failureDomain;
};

struct GroupRecord
{
    // Number of databases. 0 until the first term begins, fixed afterwards.
    std::uint32_t size = 0;
    // Never more than the group's size.
    std::map<TargetId, GroupMember> members;
    // Never decreases.
    std::uint64_t term = 0;
    GroupPhase phase = GroupPhase::Unassigned;
    // Set in Steady and PlannedHold only.
    TargetId primary;
    // Promoting: the target to promote. PlannedHold: the target to move to.
    // Fencing: the preferred target; may be empty.
    TargetId chosen;
    // Request id of the operator's last planned change.
    std::string plannedRequest;
};

// Smallest number of databases that is more than half of `size`.
constexpr std::uint32_t majorityOf(std::uint32_t size)
{
    return size / 2 + 1;
}

} // namespace rhubarbweir
