// Checks of an edit of the table against the schema. All faults are found at once.
#pragma once

#include "rhubarbweir/state/group_record.hpp"
#include "rhubarbweir/state/table_edit.hpp"
#include "rhubarbweir/state/table_schema.hpp"

#include <map>
#include <vector>

namespace rhubarbweir {

// `after` holds the rows as they would be after the edit.
std::vector<RowProblem> findProblems(const EditTable &edit, const RowMap &after,
                                     const std::map<GroupId, GroupRecord> &groups);

} // namespace rhubarbweir
