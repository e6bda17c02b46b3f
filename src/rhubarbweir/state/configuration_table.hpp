// The operators' table: versioned rows, atomic edits, and the first result of every request id.
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

// A request id's first result is kept at least so long in log-carried time, unless more than
// MaxRememberedEdits newer edits followed. A resend after that is a new edit; the versions that
// it names then still keep it from being applied twice.
inline constexpr Duration RememberedEditLifetime = std::chrono::hours(1);
inline constexpr std::size_t MaxRememberedEdits = 4096;

struct RememberedEdit
{
    std::string requestId;
    LogTime expiresAt;
    EditResult result;
};

struct TableSnapshot
{
    std::vector<TableRow> rows;
    // Last versions of removed rows, so that a version is never used twice.
    std::map<RowKey, std::uint64_t> removedVersions;
    // Oldest first.
    std::vector<RememberedEdit> remembered;
};

class ConfigurationTable
{
public:
    // Applies the edit whole or not at all. `groups` tells which names are known: a row is
    // accepted when its group has members, or has a size row after the edit, and when its
    // target announced itself, or has a group row after the edit.
    EditResult apply(const EditTable &edit, std::uint64_t revision, LogTime now,
                     const std::map<GroupId, GroupRecord> &groups);

    const RowMap &rows() const { return this->currentRows; }
    std::size_t rememberedCount() const { return this->remembered.size(); }

    TableSnapshot snapshot() const;
    void restore(const TableSnapshot &snapshot);

private:
    const RememberedEdit *findRemembered(const std::string &requestId) const;
    std::vector<TableRow> conflictsOf(const EditTable &edit) const;
    RowMap rowsAfter(const EditTable &edit) const;
    EditResult decide(const EditTable &edit, const std::map<GroupId, GroupRecord> &groups);
    void remember(const std::string &requestId, const EditResult &result, LogTime now);
    void forgetExpired(LogTime now);

    RowMap currentRows;
    std::map<RowKey, std::uint64_t> removedVersions;
    // Oldest first; expiry times never fall.
    std::deque<RememberedEdit> remembered;
    // Positions in `remembered`, counted from `firstRemembered`.
    std::map<std::string, std::uint64_t> rememberedIndex;
    std::uint64_t firstRemembered = 0;
};

} // namespace rhubarbweir
