// An atomic edit of the table as stored in the control log, and its result.
#pragma once

#include "rhubarbweir/state/table_row.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbweir {

struct EditTable
{
    // Unique for each edit. A resend with the same id returns the first result.
    std::string requestId;
    std::string editor;
    std::vector<RowChange> changes;
};

struct EditResult
{
    EditOutcome outcome = EditOutcome::Invalid;
    // Revision at which the edit was accepted or refused.
    std::uint64_t revision = 0;
    // Rows whose version differed from the expected one, as they were when the edit was decided.
    std::vector<TableRow> conflicts;
    // All problems of the edit if it is invalid.
    std::vector<RowProblem> problems;
};

} // namespace rhubarbweir
