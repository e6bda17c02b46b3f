// See table_check.hpp.
#include "rhubarbweir/state/table_check.hpp"

#include <optional>
#include <set>

namespace rhubarbweir {

namespace {

// Checks one edit. Problems of single rows come first, in the order of the changes, followed by
// problems that involve several rows.
class EditValidator
{
public:
    EditValidator(const EditTable &tableEdit, const RowMap &rowsAfter,
                  const std::map<GroupId, GroupRecord> &knownGroups)
        : edit(tableEdit)
        , after(rowsAfter)
        , groups(knownGroups)
    {
        for (const auto &[group, record] : this->groups) {
            for (const auto &[target, member] : record.members)
                this->groupByTarget[target] = group;
        }
    }

    std::vector<RowProblem> validate()
    {
        for (const RowChange &change : this->edit.changes)
            this->checkChange(change);
        this->checkCrossRowRules();
        return std::move(this->problems);
    }

private:
    void addProblem(const RowKey &key, RowFault fault, std::string expected)
    {
        this->problems.push_back({key, fault, std::move(expected)});
        this->invalidRows.insert(key);
    }

    void checkChange(const RowChange &change)
    {
        if (!this->changedKeys.insert(change.key).second)
            this->addProblem(change.key, RowFault::DuplicateChange, "at most one change per row");
        if (!isValidName(change.key.name)) {
            this->addProblem(change.key, RowFault::UnknownName,
                             "letters, digits, '.', '_' and '-'");
            return;
        }
        const FieldRule *rule = findFieldRule(change.key.scope, change.key.field);
        if (rule == nullptr) {
            this->addProblem(change.key, RowFault::UnknownField, "a known field of the table");
            return;
        }
        if (!change.remove) {
            this->checkName(change);
            this->checkValue(change, *rule);
        }
    }

    bool isKnownGroup(const GroupId &group) const
    {
        return this->groups.count(group) != 0
               || hasRow(this->after, RowScope::Group, group.value, SizeField);
    }

    // The group that the target announced, or the one named by its group row.
    std::optional<GroupId> groupOf(const TargetId &target) const
    {
        const auto announced = this->groupByTarget.find(target);
        if (announced != this->groupByTarget.end())
            return announced->second;
        const auto row =
            this->after.find(RowKey{RowScope::Target, target.value, std::string(GroupField)});
        if (row == this->after.end())
            return std::nullopt;
        return GroupId(row->second.value);
    }

    void checkName(const RowChange &change)
    {
        if (change.key.scope == RowScope::Group) {
            if (!this->isKnownGroup(GroupId(change.key.name)))
                this->addProblem(change.key, RowFault::UnknownName,
                                 "an announced group, or one with a size row");
        } else if (!this->groupOf(TargetId(change.key.name))) {
            this->addProblem(change.key, RowFault::UnknownName,
                             "an announced target, or one with a group row");
        }
    }

    void checkValue(const RowChange &change, const FieldRule &rule)
    {
        if (rule.isGroupName) {
            this->checkGroupRow(change, rule);
            return;
        }
        const auto number = parseNumber(change.value);
        if (!number)
            this->addProblem(change.key, RowFault::NotANumber, describe(rule));
        else if (*number < rule.minimum || *number > rule.maximum)
            this->addProblem(change.key, RowFault::OutOfRange, describe(rule));
    }

    void checkGroupRow(const RowChange &change, const FieldRule &rule)
    {
        const auto announced = this->groupByTarget.find(TargetId(change.key.name));
        if (!isValidName(change.value) || !this->isKnownGroup(GroupId(change.value)))
            this->addProblem(change.key, RowFault::UnknownName, describe(rule));
        else if (announced != this->groupByTarget.end() && announced->second.value != change.value)
            this->addProblem(change.key, RowFault::OutOfRange,
                             "the group that the target announced: " + announced->second.value);
    }

    void checkCrossRowRules()
    {
        // Rows that are invalid by themselves are skipped: they would only cause follow-up
        // problems.
        const std::set<RowKey> rowsToSkip = this->invalidRows;
        for (const RowChange &change : this->edit.changes) {
            if (rowsToSkip.count(change.key) != 0)
                continue;
            if (change.key.scope == RowScope::Group)
                this->checkGroupSizeAndLimits(change);
            else
                this->checkTargetLimits(change);
        }
        this->checkTotalDatabases();
    }

    void checkGroupSizeAndLimits(const RowChange &change)
    {
        const GroupId group(change.key.name);
        const auto record = this->groups.find(group);
        const std::uint64_t size = numberIn(this->after, RowScope::Group, group.value, SizeField);
        if (change.key.field == SizeField && record != this->groups.end()) {
            const GroupRecord &known = record->second;
            // A majority of a different group size need not overlap with the majority that
            // confirmed a write.
            if (known.size != 0 && known.size != size)
                this->addProblem(change.key, RowFault::OutOfRange,
                                 std::to_string(known.size) + ", fixed since the first term");
            else if (known.members.size() > size)
                this->addProblem(change.key, RowFault::OutOfRange,
                                 "at least the number of announced databases");
        }
        this->checkSlotsWithinConnections(change, limitsIn(this->after, group, TargetId()));
        if (record == this->groups.end())
            return;
        for (const auto &[target, member] : record->second.members)
            this->checkSlotsWithinConnections(change, limitsIn(this->after, group, target));
    }

    void checkTargetLimits(const RowChange &change)
    {
        const TargetId target(change.key.name);
        const auto group = this->groupOf(target);
        if (group)
            this->checkSlotsWithinConnections(change, limitsIn(this->after, *group, target));
    }

    // Every slot occupies a connection.
    void checkSlotsWithinConnections(const RowChange &change, const TargetLimits &limits)
    {
        const bool isLimit = change.key.field == SlotsField || change.key.field == ConnectionsField;
        if (isLimit && limits.slots > limits.connections
            && this->rowsOverLimit.insert(change.key).second)
            this->addProblem(change.key, RowFault::SumTooLarge,
                             "at most as many slots as connections");
    }

    void checkTotalDatabases()
    {
        std::uint64_t sum = 0;
        for (const auto &[key, row] : this->after) {
            if (key.scope == RowScope::Group && key.field == SizeField)
                sum += parseNumber(row.value).value_or(0);
        }
        if (sum <= MaxDatabases)
            return;
        for (const RowChange &change : this->edit.changes) {
            if (change.key.scope == RowScope::Group && change.key.field == SizeField)
                this->addProblem(change.key, RowFault::SumTooLarge,
                                 "at most " + std::to_string(MaxDatabases) + " databases in total");
        }
    }

    const EditTable &edit;
    const RowMap &after;
    const std::map<GroupId, GroupRecord> &groups;
    std::map<TargetId, GroupId> groupByTarget;
    std::set<RowKey> changedKeys;
    // Rows with at least one problem.
    std::set<RowKey> invalidRows;
    std::set<RowKey> rowsOverLimit;
    std::vector<RowProblem> problems;
};

} // namespace

std::vector<RowProblem> findProblems(const EditTable &edit, const RowMap &after,
                                     const std::map<GroupId, GroupRecord> &groups)
{
    return EditValidator(edit, after, groups).validate();
}

} // namespace rhubarbweir
