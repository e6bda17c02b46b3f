// See configuration_table.hpp.
#include "rhubarbweir/state/configuration_table.hpp"

#include "rhubarbweir/state/table_check.hpp"

#include <algorithm>

namespace rhubarbweir {

EditResult ConfigurationTable::apply(const EditTable &edit, std::uint64_t revision, LogTime now,
                                     const std::map<GroupId, GroupRecord> &groups)
{
    this->dropExpiredEdits(now);
    if (const CompletedEdit *first = this->findCompletedEdit(edit.requestId))
        return first->result;
    EditResult result = this->validateAndApply(edit, groups);
    result.revision = revision;
    this->storeResult(edit.requestId, result, now);
    return result;
}

EditResult ConfigurationTable::validateAndApply(const EditTable &edit,
                                                const std::map<GroupId, GroupRecord> &groups)
{
    EditResult result;
    RowMap after = this->rowsAfterEdit(edit);
    result.problems = findProblems(edit, after, groups);
    result.conflicts = this->findConflicts(edit);
    if (!result.problems.empty()) {
        result.outcome = EditOutcome::Invalid;
        return result;
    }
    if (!result.conflicts.empty()) {
        result.outcome = EditOutcome::VersionConflict;
        return result;
    }
    for (const RowChange &change : edit.changes) {
        const auto current = this->currentRows.find(change.key);
        if (change.remove && current != this->currentRows.end())
            this->removedVersions[change.key] = current->second.version;
        else if (!change.remove)
            this->removedVersions.erase(change.key);
    }
    this->currentRows = std::move(after);
    result.outcome = EditOutcome::Accepted;
    return result;
}

std::vector<TableRow> ConfigurationTable::findConflicts(const EditTable &edit) const
{
    std::vector<TableRow> conflicts;
    for (const RowChange &change : edit.changes) {
        const auto found = this->currentRows.find(change.key);
        // An absent row is reported with an empty value and version 0.
        const TableRow current =
            found == this->currentRows.end() ? TableRow{change.key, "", 0} : found->second;
        if (current.version != change.expectedVersion)
            conflicts.push_back(current);
    }
    return conflicts;
}

RowMap ConfigurationTable::rowsAfterEdit(const EditTable &edit) const
{
    RowMap after = this->currentRows;
    for (const RowChange &change : edit.changes) {
        if (change.remove) {
            after.erase(change.key);
            continue;
        }
        const auto removed = this->removedVersions.find(change.key);
        TableRow &row = after[change.key];
        if (row.version == 0 && removed != this->removedVersions.end())
            row.version = removed->second;
        row.key = change.key;
        row.value = change.value;
        ++row.version;
    }
    return after;
}

const CompletedEdit *ConfigurationTable::findCompletedEdit(const std::string &requestId) const
{
    const auto found = this->completedEditNumbers.find(requestId);
    if (found == this->completedEditNumbers.end())
        return nullptr;
    return &this->completedEdits[found->second - this->firstCompletedNumber];
}

void ConfigurationTable::storeResult(const std::string &requestId, const EditResult &result,
                                     LogTime now)
{
    this->completedEditNumbers[requestId] =
        this->firstCompletedNumber + this->completedEdits.size();
    this->completedEdits.push_back({requestId, now + CompletedEditRetention, result});
    this->dropExpiredEdits(now);
}

void ConfigurationTable::dropExpiredEdits(LogTime now)
{
    while (!this->completedEdits.empty()
           && (this->completedEdits.size() > MaxCompletedEdits
               || this->completedEdits.front().expiresAt <= now)) {
        this->completedEditNumbers.erase(this->completedEdits.front().requestId);
        this->completedEdits.pop_front();
        ++this->firstCompletedNumber;
    }
}

TableSnapshot ConfigurationTable::snapshot() const
{
    TableSnapshot snapshot;
    for (const auto &[key, row] : this->currentRows)
        snapshot.rows.push_back(row);
    snapshot.removedVersions = this->removedVersions;
    snapshot.remembered.assign(this->completedEdits.begin(), this->completedEdits.end());
    return snapshot;
}

void ConfigurationTable::restore(const TableSnapshot &snapshot)
{
    *this = ConfigurationTable();
    for (const TableRow &row : snapshot.rows)
        this->currentRows[row.key] = row;
    this->removedVersions = snapshot.removedVersions;
    for (const CompletedEdit &edit : snapshot.remembered) {
        this->completedEditNumbers[edit.requestId] = this->completedEdits.size();
        this->completedEdits.push_back(edit);
    }
}

} // namespace rhubarbweir
