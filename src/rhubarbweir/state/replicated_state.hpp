// The replicated state machine of control: applies commands in log order, the same on every
// instance.
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
    // False when the command came too late or breaks a rule; nothing was changed then, except
    // that the result of a refused edit is remembered.
    bool accepted = false;
    std::vector<GroupId> changedGroups;
    // Set for EditTable.
    std::optional<EditResult> edit;
};

// The whole state at one index.
struct StateSnapshot
{
    std::uint64_t revision = 0;
    LogTime time;
    TableSnapshot table;
    std::map<GroupId, GroupRecord> groups;
    GrantBook grants;
    std::map<GroupId, std::uint64_t> groupRevisions;
};

class ReplicatedState
{
public:
    // `index` is the command's place in the log; calls have rising indexes.
    ApplyResult apply(std::uint64_t index, const Command &command);

    // Index of the last command that changed what proxies or operators see.
    std::uint64_t revision() const { return this->currentRevision; }
    LogTime time() const { return this->currentTime; }
    const ConfigurationTable &table() const { return this->configurationTable; }
    const std::map<GroupId, GroupRecord> &groups() const { return this->groupRecords; }
    const GrantBook &grants() const { return this->grantBook; }

    // Null for an unknown group.
    const GroupRecord *findGroup(const GroupId &group) const;
    // The holders of a group; empty where none were set.
    const GroupGrants &grantsOf(const GroupId &group) const;
    // Revision of the last change of the group.
    std::uint64_t revisionOf(const GroupId &group) const;
    // Groups with a revision above `revision`, in the order of their names.
    std::set<GroupId> groupsChangedSince(std::uint64_t revision) const;
    // The record's size once fixed, else the table's.
    std::uint32_t sizeOf(const GroupId &group) const;
    // Empty for a target that no group has.
    GroupId groupOf(const TargetId &target) const;

    StateSnapshot snapshot() const;
    void restore(const StateSnapshot &snapshot);

private:
    using Changed = std::vector<GroupId>;

    bool run(const StartLeadership &command, std::uint64_t index, Changed &changed);
    bool run(const RegisterMember &command, std::uint64_t index, Changed &changed);
    bool run(const BeginTerm &command, std::uint64_t index, Changed &changed);
    bool run(const ChoosePrimary &command, std::uint64_t index, Changed &changed);
    bool run(const ConfirmPrimary &command, std::uint64_t index, Changed &changed);
    bool run(const HoldWrites &command, std::uint64_t index, Changed &changed);
    bool run(const ReleaseWrites &command, std::uint64_t index, Changed &changed);
    bool run(const SetGrants &command, std::uint64_t index, Changed &changed);
    ApplyResult runEdit(const EditTable &edit, std::uint64_t index);
    // The record when it is in `term`, else null.
    GroupRecord *findInTerm(const GroupId &group, std::uint64_t term);
    void touch(const std::vector<GroupId> &groups, std::uint64_t index);
    // Groups whose views depend on the rows.
    std::vector<GroupId> groupsOf(const std::vector<RowChange> &changes) const;

    std::uint64_t currentRevision = 0;
    // Never falls.
    LogTime currentTime;
    ConfigurationTable configurationTable;
    std::map<GroupId, GroupRecord> groupRecords;
    GrantBook grantBook;
    std::map<GroupId, std::uint64_t> groupRevisions;
    // Derived from groupRevisions.
    std::map<std::uint64_t, std::set<GroupId>> groupsByRevision;
    // Derived from groupRecords.
    std::map<TargetId, GroupId> groupByTarget;
};

} // namespace rhubarbweir
