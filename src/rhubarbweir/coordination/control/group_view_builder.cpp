// See group_view_builder.hpp.
#include "rhubarbweir/coordination/control/group_view_builder.hpp"

namespace rhubarbweir {

namespace {

TargetView buildTargetView(const RowMap &rows, const TargetId &target, const GroupMember &member)
{
    TargetView view;
    view.target = target;
    view.address = member.address;
    view.failureDomain = member.failureDomain;
    view.weight =
        static_cast<std::uint32_t>(numberIn(rows, RowScope::Target, target.value, WeightField));
    view.leaving = numberIn(rows, RowScope::Target, target.value, LeavingField) != 0;
    return view;
}

HolderView buildHolderView(const GrantHolder &holder, std::uint64_t epoch)
{
    HolderView view;
    view.proxy = holder.proxy;
    view.address = holder.address;
    view.failureDomain = holder.failureDomain;
    view.epoch = epoch;
    for (const auto &[target, share] : holder.shares)
        view.grants.push_back({target, share.slots, share.connections});
    return view;
}

bool areWritesHeld(GroupPhase phase)
{
    return phase == GroupPhase::PlannedHold || phase == GroupPhase::Fencing
           || phase == GroupPhase::Promoting;
}

} // namespace

GroupView buildGroupView(const ReplicatedState &state, const GroupId &group)
{
    const GroupRecord &record = *state.findGroup(group);
    const RowMap &rows = state.table().rows();
    GroupView view;
    view.group = group;
    view.revision = state.revisionOf(group);
    view.size = state.sizeOf(group);
    view.term = record.term;
    view.primary = record.primary;
    view.writesHeld = areWritesHeld(record.phase);
    view.queueLimit =
        static_cast<std::uint32_t>(numberIn(rows, RowScope::Group, group.value, QueueLimitField));
    for (const auto &[target, member] : record.members)
        view.targets.push_back(buildTargetView(rows, target, member));
    const GroupGrants &grants = state.grantsOf(group);
    for (const GrantHolder &holder : grants.holders)
        view.holders.push_back(buildHolderView(holder, grants.epoch));
    return view;
}

} // namespace rhubarbweir
