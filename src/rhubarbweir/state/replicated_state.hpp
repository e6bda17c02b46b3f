// The replicated state machine of the control instances. It applies commands in log order with the
// same result on every instance.
#pragma once

#include "rhubarbweir/state/command.hpp"
#include "rhubarbweir/state/configuration_table.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rhubarbweir {

struct ApplyResult
{
    // False if the command was based on outdated state or violates a rule. Nothing is changed then,
    // except that the result of a refused edit is stored.
    bool accepted = false;
    std::vector<GroupId> changedGroups;
    // Set for EditTable.
    std::optional<EditResult> edit;
};

// Complete state at one log index.
struct StateSnapshot
{
    std::uint64_t revision = 0;
    LogTime time;
    TableSnapshot table;
    std::map<GroupId, GroupRecord> groups;
    GrantsByGroup grants;
    std::map<GroupId, std::uint64_t> groupRevisions;
};

class ReplicatedState
{
public:
    // `index` is the command's log index, which increases from call to call.
    ApplyResult apply(std::uint64_t index, const Command &command);

    // Log index of the last command that changed state visible to proxies or operators.
    std::uint64_t revision() const { return this->currentRevision; }
    LogTime time() const { return this->currentTime; }
    const ConfigurationTable &table() const { return this->configurationTable; }
    const std::map<GroupId, GroupRecord> &groups() const { return this->groupRecords; }
    const GrantsByGroup &grants() const { return this->grantsByGroup; }

    // Null for an unknown group.
    const GroupRecord *findGroup(const GroupId &group) const;
    // The group's grants; empty if none were set.
    const GroupGrants &grantsOf(const GroupId &group) const;
    // Revision of the group's last change; 0 for an unknown group.
    std::uint64_t revisionOf(const GroupId &group) const;
    // Groups changed after `revision`, ordered by name.
    std::set<GroupId> groupsChangedSince(std::uint64_t revision) const;
    // The size fixed in the group's record, or the table's value while none is fixed.
    std::uint32_t sizeOf(const GroupId &group) const;
    // Empty for a target that belongs to no group.
    GroupId groupOf(const TargetId &target) const;

    StateSnapshot snapshot() const;
    void restore(const StateSnapshot &snapshot);

private:
    using ChangedGroups = std::vector<GroupId>;

    bool applyCommand(const StartLeadership &command, std::uint64_t index, ChangedGroups &changed);
    bool applyCommand(const RegisterMember &command, std::uint64_t index, ChangedGroups &changed);
    bool applyCommand(const BeginTerm &command, std::uint64_t index, ChangedGroups &changed);
    bool applyCommand(const ChoosePrimary &command, std::uint64_t index, ChangedGroups &changed);
    bool applyCommand(const ConfirmPrimary &command, std::uint64_t index, ChangedGroups &changed);
    bool applyCommand(const HoldWrites &command, std::uint64_t index, ChangedGroups &changed);
    bool applyCommand(const ReleaseWrites &command, std::uint64_t index, ChangedGroups &changed);
    bool applyCommand(const SetGrants &command, std::uint64_t index, ChangedGroups &changed);
    ApplyResult applyEdit(const EditTable &edit, std::uint64_t index);
    // The group's record if it is in `term`, otherwise null.
    GroupRecord *findInTerm(const GroupId &group, std::uint64_t term);
    void setGroupRevisions(const std::vector<GroupId> &groups, std::uint64_t index);
    // Groups whose views depend on the changed rows.
    std::vector<GroupId> affectedGroups(const std::vector<RowChange> &changes) const;

    std::uint64_t currentRevision = 0;
    // Never decreases.
    LogTime currentTime;
    ConfigurationTable configurationTable;
    std::map<GroupId, GroupRecord> groupRecords;
    GrantsByGroup grantsByGroup;
    std::map<GroupId, std::uint64_t> groupRevisions;
    // Derived from groupRevisions.
    std::map<std::uint64_t, std::set<GroupId>> groupsByRevision;
    // Derived from groupRecords.
    std::map<TargetId, GroupId> groupByTarget;
};

} // namespace rhubarbweir
