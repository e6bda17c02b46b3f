// Validates an edit of the table against the schema and reports all problems, not only the first.
#pragma once

#include "rhubarbweir/state/group_record.hpp"
#include "rhubarbweir/state/table_edit.hpp"
#include "rhubarbweir/state/table_schema.hpp"

#include <map>
#include <vector>

namespace rhubarbweir {

// `after` holds all rows of the table as they would be after the edit.
std::vector<RowProblem> findProblems(const EditTable &edit, const RowMap &after,
                                     const std::map<GroupId, GroupRecord> &groups);

} // namespace rhubarbweir
