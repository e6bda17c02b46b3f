// One atomic edit of the table as the control log carries it, and its result.
#pragma once

#include "rhubarbweir/state/table_row.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbweir {

struct EditTable
{
    // Unique for the edit; a resend with the same id gets the first result.
    std::string requestId;
    std::string editor;
    std::vector<RowChange> changes;
};

struct EditResult
{
    EditOutcome outcome = EditOutcome::Invalid;
    // Revision that holds the edit, when accepted; otherwise the revision that refused it.
    std::uint64_t revision = 0;
    // Rows that had another version than the edit names, as they were then.
    std::vector<TableRow> conflicts;
    // Every fault of the edit, when invalid.
    std::vector<RowProblem> problems;
};

} // namespace rhubarbweir
