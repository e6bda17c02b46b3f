// See table_check.hpp.
#include "rhubarbweir/state/table_check.hpp"

#include <optional>
#include <set>

namespace rhubarbweir {

namespace {

// Checks one edit; collects problems in the order of its changes, then those across rows.
class TableCheck
{
public:
    TableCheck(const EditTable &tableEdit, const RowMap &rowsAfter,
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

    std::vector<RowProblem> run()
    {
        for (const RowChange &change : this->edit.changes)
            this->checkChange(change);
        this->checkAcrossRows();
        return std::move(this->problems);
    }

private:
    void add(const RowKey &key, RowFault fault, std::string expected)
    {
        this->problems.push_back({key, fault, std::move(expected)});
        this->faulty.insert(key);
    }

    void checkChange(const RowChange &change)
    {
        if (!this->seen.insert(change.key).second)
            this->add(change.key, RowFault::DuplicateChange, "one change for each row");
        if (!isValidName(change.key.name)) {
            this->add(change.key, RowFault::UnknownName, "letters, digits, '.', '_' and '-'");
            return;
        }
        const FieldRule *rule = findFieldRule(change.key.scope, change.key.field);
        if (rule == nullptr) {
            this->add(change.key, RowFault::UnknownField, "a field of the table");
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

    // The group that the target announced, else the one that its group row names.
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
                this->add(change.key, RowFault::UnknownName,
                          "an announced group, or one with a size row");
        } else if (!this->groupOf(TargetId(change.key.name))) {
            this->add(change.key, RowFault::UnknownName,
                      "an announced target, or one with a group row");
        }
    }

    void checkValue(const RowChange &change, const FieldRule &rule)
    {
        if (rule.isName) {
            this->checkGroupRow(change, rule);
            return;
        }
        const auto number = parseNumber(change.value);
        if (!number)
            this->add(change.key, RowFault::NotANumber, describe(rule));
        else if (*number < rule.least || *number > rule.greatest)
            this->add(change.key, RowFault::OutOfRange, describe(rule));
    }

    void checkGroupRow(const RowChange &change, const FieldRule &rule)
    {
        const auto announced = this->groupByTarget.find(TargetId(change.key.name));
        if (!isValidName(change.value) || !this->isKnownGroup(GroupId(change.value)))
            this->add(change.key, RowFault::UnknownName, describe(rule));
        else if (announced != this->groupByTarget.end() && announced->second.value != change.value)
            this->add(change.key, RowFault::OutOfRange,
                      "the group that the target announced: " + announced->second.value);
    }

    void checkAcrossRows()
    {
        // A row with a fault of its own would only cause faults that follow from it.
        const std::set<RowKey> faultyRows = this->faulty;
        for (const RowChange &change : this->edit.changes) {
            if (faultyRows.count(change.key) != 0)
                continue;
            if (change.key.scope == RowScope::Group)
                this->checkGroupAfter(change);
            else
                this->checkTargetAfter(change);
        }
        this->checkDatabaseSum();
    }

    void checkGroupAfter(const RowChange &change)
    {
        const GroupId group(change.key.name);
        const auto record = this->groups.find(group);
        const std::uint64_t size = numberIn(this->after, RowScope::Group, group.value, SizeField);
        if (change.key.field == SizeField && record != this->groups.end()) {
            const GroupRecord &known = record->second;
            // A majority of another size need not overlap the one that confirmed a write.
            if (known.size != 0 && known.size != size)
                this->add(change.key, RowFault::OutOfRange,
                          std::to_string(known.size) + ", fixed since the first term");
            else if (known.members.size() > size)
                this->add(change.key, RowFault::OutOfRange,
                          "at least the number of announced databases");
        }
        this->checkLimits(change, limitsIn(this->after, group, TargetId()));
        if (record == this->groups.end())
            return;
        for (const auto &[target, member] : record->second.members)
            this->checkLimits(change, limitsIn(this->after, group, target));
    }

    void checkTargetAfter(const RowChange &change)
    {
        const TargetId target(change.key.name);
        const auto group = this->groupOf(target);
        if (group)
            this->checkLimits(change, limitsIn(this->after, *group, target));
    }

    // A slot needs a connection.
    void checkLimits(const RowChange &change, const TargetLimits &limits)
    {
        const bool isLimit = change.key.field == SlotsField || change.key.field == ConnectionsField;
        if (isLimit && limits.slots > limits.connections
            && this->overLimit.insert(change.key).second)
            this->add(change.key, RowFault::SumTooLarge, "no more slots than connections");
    }

    void checkDatabaseSum()
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
                this->add(change.key, RowFault::SumTooLarge,
                          "at most " + std::to_string(MaxDatabases) + " databases in all");
        }
    }

    const EditTable &edit;
    const RowMap &after;
    const std::map<GroupId, GroupRecord> &groups;
    std::map<TargetId, GroupId> groupByTarget;
    std::set<RowKey> seen;
    // Rows with a problem.
    std::set<RowKey> faulty;
    std::set<RowKey> overLimit;
    std::vector<RowProblem> problems;
};

} // namespace

std::vector<RowProblem> findProblems(const EditTable &edit, const RowMap &after,
                                     const std::map<GroupId, GroupRecord> &groups)
{
    return TableCheck(edit, after, groups).run();
}

} // namespace rhubarbweir
