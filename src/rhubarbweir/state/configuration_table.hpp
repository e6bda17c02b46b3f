// The operators' configuration table: versioned rows, atomic edits, and stored edit results that
// make resent edits idempotent.
#pragma once

#include "rhubarbweir/state/group_record.hpp"
#include "rhubarbweir/state/log_time.hpp"
#include "rhubarbweir/state/table_edit.hpp"
#include "rhubarbweir/state/table_schema.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace rhubarbweir {

// Minimum time, in log time, for which the result of a request id is kept, unless more than
// MaxCompletedEdits newer edits have followed. A resend after that counts as a new edit; its
// expected row versions still prevent it from being applied twice.
inline constexpr Duration CompletedEditRetention = std::chrono::hours(1);
inline constexpr std::size_t MaxCompletedEdits = 4096;

// Result of an edit that was decided, kept to answer resends of the same request id.
struct CompletedEdit
{
    std::string requestId;
    LogTime expiresAt;
    EditResult result;
};

struct TableSnapshot
{
    std::vector<TableRow> rows;
    // Last version of each removed row, so that no version is reused if the row is added again.
    std::map<RowKey, std::uint64_t> removedVersions;
    // Oldest first.
    std::vector<CompletedEdit> remembered;
};

class ConfigurationTable
{
public:
    // Applies the edit atomically, or returns the stored result of an earlier edit with the same
    // request id. `groups` holds the known groups: a group row is valid if its group has members
    // or, after the edit, a size row; a target row is valid if its target has announced itself or,
    // after the edit, has a group row.
    EditResult apply(const EditTable &edit, std::uint64_t revision, LogTime now,
                     const std::map<GroupId, GroupRecord> &groups);

    const RowMap &rows() const { return this->currentRows; }
    std::size_t completedEditCount() const { return this->completedEdits.size(); }

    TableSnapshot snapshot() const;
    void restore(const TableSnapshot &snapshot);

private:
    const CompletedEdit *findCompletedEdit(const std::string &requestId) const;
    std::vector<TableRow> findConflicts(const EditTable &edit) const;
    RowMap rowsAfterEdit(const EditTable &edit) const;
    EditResult validateAndApply(const EditTable &edit,
                                const std::map<GroupId, GroupRecord> &groups);
    void storeResult(const std::string &requestId, const EditResult &result, LogTime now);
    void dropExpiredEdits(LogTime now);

    RowMap currentRows;
    std::map<RowKey, std::uint64_t> removedVersions;
    // Oldest first; expiry times never decrease.
    std::deque<CompletedEdit> completedEdits;
    // Request id -> sequence number. An edit's index in `completedEdits` is its sequence number
    // minus `firstCompletedNumber`.
    std::map<std::string, std::uint64_t> completedEditNumbers;
    std::uint64_t firstCompletedNumber = 0;
};

} // namespace rhubarbweir
