// See configuration_table.hpp.
#include "rhubarbweir/state/configuration_table.hpp"

#include "rhubarbweir/state/table_check.hpp"

#include <algorithm>

namespace rhubarbweir {

EditResult ConfigurationTable::apply(const EditTable &edit, std::uint64_t revision, LogTime now,
                                     const std::map<GroupId, GroupRecord> &groups)
{
    this->forgetExpired(now);
    if (const RememberedEdit *first = this->findRemembered(edit.requestId))
        return first->result;
    EditResult result = this->decide(edit, groups);
    result.revision = revision;
    this->remember(edit.requestId, result, now);
    return result;
}

EditResult ConfigurationTable::decide(const EditTable &edit,
                                      const std::map<GroupId, GroupRecord> &groups)
{
    EditResult result;
    RowMap after = this->rowsAfter(edit);
    result.problems = findProblems(edit, after, groups);
    result.conflicts = this->conflictsOf(edit);
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

std::vector<TableRow> ConfigurationTable::conflictsOf(const EditTable &edit) const
{
    std::vector<TableRow> conflicts;
    for (const RowChange &change : edit.changes) {
        const auto found = this->currentRows.find(change.key);
        // An absent row stands for itself, with version 0.
        const TableRow current =
            found == this->currentRows.end() ? TableRow{change.key, "", 0} : found->second;
        if (current.version != change.expectedVersion)
            conflicts.push_back(current);
    }
    return conflicts;
}

RowMap ConfigurationTable::rowsAfter(const EditTable &edit) const
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

const RememberedEdit *ConfigurationTable::findRemembered(const std::string &requestId) const
{
    const auto found = this->rememberedIndex.find(requestId);
    if (found == this->rememberedIndex.end())
        return nullptr;
    return &this->remembered[found->second - this->firstRemembered];
}

void ConfigurationTable::remember(const std::string &requestId, const EditResult &result,
                                  LogTime now)
{
    this->rememberedIndex[requestId] = this->firstRemembered + this->remembered.size();
    this->remembered.push_back({requestId, now + RememberedEditLifetime, result});
    this->forgetExpired(now);
}

void ConfigurationTable::forgetExpired(LogTime now)
{
    while (!this->remembered.empty()
           && (this->remembered.size() > MaxRememberedEdits
               || this->remembered.front().expiresAt <= now)) {
        this->rememberedIndex.erase(this->remembered.front().requestId);
        this->remembered.pop_front();
        ++this->firstRemembered;
    }
}

TableSnapshot ConfigurationTable::snapshot() const
{
    TableSnapshot snapshot;
    for (const auto &[key, row] : this->currentRows)
        snapshot.rows.push_back(row);
    snapshot.removedVersions = this->removedVersions;
    snapshot.remembered.assign(this->remembered.begin(), this->remembered.end());
    return snapshot;
}

void ConfigurationTable::restore(const TableSnapshot &snapshot)
{
    *this = ConfigurationTable();
    for (const TableRow &row : snapshot.rows)
        this->currentRows[row.key] = row;
    this->removedVersions = snapshot.removedVersions;
    for (const RememberedEdit &edit : snapshot.remembered) {
        this->rememberedIndex[edit.requestId] = this->remembered.size();
        this->remembered.push_back(edit);
    }
}

} // namespace rhubarbweir
