// See replicated_state.hpp.
#include "rhubarbweir/state/replicated_state.hpp"

#include <algorithm>

namespace rhubarbweir {

ApplyResult ReplicatedState::apply(std::uint64_t index, const Command &command)
{
    this->currentTime = std::max(this->currentTime, command.time);
    if (const auto *edit = std::get_if<EditTable>(&command.body))
        return this->applyEdit(*edit, index);
    ApplyResult result;
    std::visit(
        [&](const auto &body) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(body)>, EditTable>)
                result.accepted = this->applyCommand(body, index, result.changedGroups);
        },
        command.body);
    this->setGroupRevisions(result.changedGroups, index);
    return result;
}

bool ReplicatedState::applyCommand(const StartLeadership &, std::uint64_t, ChangedGroups &)
{
    return true;
}

bool ReplicatedState::applyCommand(const RegisterMember &command, std::uint64_t,
                                   ChangedGroups &changed)
{
    const auto registered = this->groupByTarget.find(command.target);
    if (registered != this->groupByTarget.end() && registered->second != command.group)
        return false;
    GroupRecord &record = this->groupRecords[command.group];
    const bool isMember = registered != this->groupByTarget.end();
    if (!isMember && record.members.size() >= this->sizeOf(command.group))
        return false;
    record.members[command.target] = command.member;
    this->groupByTarget[command.target] = command.group;
    changed.push_back(command.group);
    return true;
}

bool ReplicatedState::applyCommand(const BeginTerm &command, std::uint64_t, ChangedGroups &changed)
{
    GroupRecord *record = this->findInTerm(command.group, command.expectedTerm);
    if (record == nullptr || command.newTerm <= command.expectedTerm)
        return false;
    record->size = this->sizeOf(command.group);
    record->term = command.newTerm;
    record->phase = GroupPhase::Fencing;
    record->primary = TargetId();
    record->chosen = command.preferred;
    changed.push_back(command.group);
    return true;
}

bool ReplicatedState::applyCommand(const ChoosePrimary &command, std::uint64_t,
                                   ChangedGroups &changed)
{
    GroupRecord *record = this->findInTerm(command.group, command.term);
    if (record == nullptr || record->phase != GroupPhase::Fencing
        || record->members.count(command.target) == 0)
        return false;
    record->phase = GroupPhase::Promoting;
    record->chosen = command.target;
    changed.push_back(command.group);
    return true;
}

bool ReplicatedState::applyCommand(const ConfirmPrimary &command, std::uint64_t,
                                   ChangedGroups &changed)
{
    GroupRecord *record = this->findInTerm(command.group, command.term);
    if (record == nullptr || record->phase != GroupPhase::Promoting)
        return false;
    record->phase = GroupPhase::Steady;
    record->primary = record->chosen;
    record->chosen = TargetId();
    changed.push_back(command.group);
    return true;
}

bool ReplicatedState::applyCommand(const HoldWrites &command, std::uint64_t, ChangedGroups &changed)
{
    GroupRecord *record = this->findInTerm(command.group, command.term);
    if (record == nullptr || record->phase != GroupPhase::Steady
        || record->members.count(command.target) == 0 || record->primary == command.target)
        return false;
    record->phase = GroupPhase::PlannedHold;
    record->chosen = command.target;
    if (!command.requestId.empty())
        record->plannedRequest = command.requestId;
    changed.push_back(command.group);
    return true;
}

bool ReplicatedState::applyCommand(const ReleaseWrites &command, std::uint64_t,
                                   ChangedGroups &changed)
{
    GroupRecord *record = this->findInTerm(command.group, command.term);
    if (record == nullptr || record->phase != GroupPhase::PlannedHold)
        return false;
    record->phase = GroupPhase::Steady;
    record->chosen = TargetId();
    changed.push_back(command.group);
    return true;
}

bool ReplicatedState::applyCommand(const SetGrants &command, std::uint64_t index,
                                   ChangedGroups &changed)
{
    if (this->groupRecords.count(command.group) == 0
        || this->grantsOf(command.group).epoch != command.expectedEpoch)
        return false;
    GroupGrants &grants = this->grantsByGroup[command.group];
    ++grants.epoch;
    grants.revision = index;
    grants.holders = command.holders;
    changed.push_back(command.group);
    return true;
}

ApplyResult ReplicatedState::applyEdit(const EditTable &edit, std::uint64_t index)
{
    ApplyResult result;
    result.edit =
        this->configurationTable.apply(edit, index, this->currentTime, this->groupRecords);
    // A resent edit returns the stored result with its original revision and changes nothing.
    result.accepted =
        result.edit->outcome == EditOutcome::Accepted && result.edit->revision == index;
    if (!result.accepted)
        return result;
    result.changedGroups = this->affectedGroups(edit.changes);
    this->currentRevision = index;
    this->setGroupRevisions(result.changedGroups, index);
    return result;
}

GroupRecord *ReplicatedState::findInTerm(const GroupId &group, std::uint64_t term)
{
    const auto found = this->groupRecords.find(group);
    if (found == this->groupRecords.end() || found->second.term != term)
        return nullptr;
    return &found->second;
}

void ReplicatedState::setGroupRevisions(const std::vector<GroupId> &groups, std::uint64_t index)
{
    for (const GroupId &group : groups) {
        std::uint64_t &revision = this->groupRevisions[group];
        const auto previous = this->groupsByRevision.find(revision);
        if (previous != this->groupsByRevision.end()) {
            previous->second.erase(group);
            if (previous->second.empty())
                this->groupsByRevision.erase(previous);
        }
        revision = index;
        this->groupsByRevision[index].insert(group);
        this->currentRevision = index;
    }
}

std::vector<GroupId> ReplicatedState::affectedGroups(const std::vector<RowChange> &changes) const
{
    std::set<GroupId> affected;
    for (const RowChange &change : changes) {
        const GroupId group = change.key.scope == RowScope::Group
                                  ? GroupId(change.key.name)
                                  : this->groupOf(TargetId(change.key.name));
        if (this->groupRecords.count(group) != 0)
            affected.insert(group);
    }
    return {affected.begin(), affected.end()};
}

const GroupRecord *ReplicatedState::findGroup(const GroupId &group) const
{
    const auto found = this->groupRecords.find(group);
    return found == this->groupRecords.end() ? nullptr : &found->second;
}

const GroupGrants &ReplicatedState::grantsOf(const GroupId &group) const
{
    static const GroupGrants noGrants;
    const auto found = this->grantsByGroup.find(group);
    return found == this->grantsByGroup.end() ? noGrants : found->second;
}

std::uint64_t ReplicatedState::revisionOf(const GroupId &group) const
{
    const auto found = this->groupRevisions.find(group);
    return found == this->groupRevisions.end() ? 0 : found->second;
}

std::set<GroupId> ReplicatedState::groupsChangedSince(std::uint64_t revision) const
{
    std::set<GroupId> changed;
    for (auto entry = this->groupsByRevision.upper_bound(revision);
         entry != this->groupsByRevision.end(); ++entry)
        changed.insert(entry->second.begin(), entry->second.end());
    return changed;
}

std::uint32_t ReplicatedState::sizeOf(const GroupId &group) const
{
    const GroupRecord *record = this->findGroup(group);
    if (record != nullptr && record->size != 0)
        return record->size;
    return static_cast<std::uint32_t>(
        numberIn(this->configurationTable.rows(), RowScope::Group, group.value, SizeField));
}

GroupId ReplicatedState::groupOf(const TargetId &target) const
{
    const auto found = this->groupByTarget.find(target);
    return found == this->groupByTarget.end() ? GroupId() : found->second;
}

StateSnapshot ReplicatedState::snapshot() const
{
    StateSnapshot snapshot;
    snapshot.revision = this->currentRevision;
    snapshot.time = this->currentTime;
    snapshot.table = this->configurationTable.snapshot();
    snapshot.groups = this->groupRecords;
    snapshot.grants = this->grantsByGroup;
    snapshot.groupRevisions = this->groupRevisions;
    return snapshot;
}

void ReplicatedState::restore(const StateSnapshot &snapshot)
{
    *this = ReplicatedState();
    this->currentRevision = snapshot.revision;
    this->currentTime = snapshot.time;
    this->configurationTable.restore(snapshot.table);
    this->groupRecords = snapshot.groups;
    this->grantsByGroup = snapshot.grants;
    this->groupRevisions = snapshot.groupRevisions;
    for (const auto &[group, revision] : this->groupRevisions)
        this->groupsByRevision[revision].insert(group);
    for (const auto &[group, record] : this->groupRecords) {
        for (const auto &[target, member] : record.members)
            this->groupByTarget[target] = group;
    }
}

} // namespace rhubarbweir
