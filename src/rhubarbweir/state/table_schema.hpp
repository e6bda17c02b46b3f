// Schema of the table: accepted values and default of each field, and lookup of effective values.
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
// The group of a target; required before other rows of a target that has not announced itself.
inline constexpr std::string_view GroupField = "group";

// Maximum sum of the sizes of all groups in the table.
inline constexpr std::uint64_t MaxDatabases = 16384;
// Maximum length of the name of a group or target, in characters.
inline constexpr std::size_t MaxNameLength = 64;

struct FieldRule
{
    RowScope scope = RowScope::Group;
    std::string_view field;
    // Whether the value is a group name instead of a number.
    bool isGroupName = false;
    // Inclusive bounds.
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
    // Used while the row is absent. A target's slots and connections default to its group's values.
    std::uint64_t defaultValue = 0;
};

// Null for an unknown field.
const FieldRule *findFieldRule(RowScope scope, std::string_view field);
// Human-readable description of the values that the field accepts.
std::string describe(const FieldRule &rule);
// Parses a decimal number without sign or blanks. Absent for any other text.
std::optional<std::uint64_t> parseNumber(std::string_view text);
// Whether `name` is 1 to MaxNameLength characters long and consists of letters, digits, '.', '_'
// and '-'.
bool isValidName(std::string_view name);

using RowMap = std::map<RowKey, TableRow>;

// Limits of one target, summed over all proxies.
struct TargetLimits
{
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

// The row's value, or the field's default if the row is absent. `field` must be numeric.
std::uint64_t numberIn(const RowMap &rows, RowScope scope, const std::string &name,
                       std::string_view field);
// Effective limits of a target: its own rows, or its group's rows, or the defaults.
TargetLimits limitsIn(const RowMap &rows, const GroupId &group, const TargetId &target);
bool hasRow(const RowMap &rows, RowScope scope, const std::string &name, std::string_view field);

} // namespace rhubarbweir
