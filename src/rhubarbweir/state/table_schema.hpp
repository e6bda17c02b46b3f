// The table's fields: what each accepts and its default, and the values that follow from rows.
#pragma once

#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/table_row.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbweir {

// Names of the table's fields.
inline constexpr std::string_view SizeField = "size";
inline constexpr std::string_view SlotsField = "slots";
inline constexpr std::string_view ConnectionsField = "connections";
inline constexpr std::string_view QueueLimitField = "queue_limit";
inline constexpr std::string_view WeightField = "weight";
inline constexpr std::string_view LeavingField = "leaving";
// Names the group of a target; needed for rows of a target that has not announced itself.
inline constexpr std::string_view GroupField = "group";

// Most databases that the groups named in the table may have together.
inline constexpr std::uint64_t MaxDatabases = 16384;
// Longest name of a group or target, in characters.
inline constexpr std::size_t MaxNameLength = 64;

struct FieldRule
{
    RowScope scope = RowScope::Group;
    std::string_view field;
    // The value is the name of a group instead of a number.
    bool isName = false;
    // Inclusive.
    std::uint64_t least = 0;
    std::uint64_t greatest = 0;
    // Counts where the row is absent. A target's slots and connections default to its group's.
    std::uint64_t defaultValue = 0;
};

// Null for an unknown field.
const FieldRule *findFieldRule(RowScope scope, std::string_view field);
// What the field accepts, for people.
std::string describe(const FieldRule &rule);
// A decimal number without sign or blanks.
std::optional<std::uint64_t> parseNumber(std::string_view text);
// Letters, digits, '.', '_' and '-', at most MaxNameLength of them.
bool isValidName(std::string_view name);

using RowMap = std::map<RowKey, TableRow>;

// What one target may have open in all, over all proxies.
struct TargetLimits
{
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

// The row's value, else the field's default. `field` has to be a numeric one.
std::uint64_t numberIn(const RowMap &rows, RowScope scope, const std::string &name,
                       std::string_view field);
// The target's own rows, else its group's, else the defaults.
TargetLimits limitsIn(const RowMap &rows, const GroupId &group, const TargetId &target);
bool hasRow(const RowMap &rows, RowScope scope, const std::string &name, std::string_view field);

} // namespace rhubarbweir
