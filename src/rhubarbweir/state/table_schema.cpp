// See table_schema.hpp.
#include "rhubarbweir/state/table_schema.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace rhubarbweir {

namespace {

constexpr FieldRule FieldRules[] = {
    {RowScope::Group, SizeField, false, 1, 9, 3},
    {RowScope::Group, SlotsField, false, 1, 1000, 3},
    {RowScope::Group, ConnectionsField, false, 1, 10000, 45},
    {RowScope::Group, QueueLimitField, false, 1, 100000, 256},
    {RowScope::Target, GroupField, true, 0, 0, 0},
    {RowScope::Target, WeightField, false, 0, 1000, 100},
    {RowScope::Target, SlotsField, false, 1, 1000, 3},
    {RowScope::Target, ConnectionsField, false, 1, 10000, 45},
    {RowScope::Target, LeavingField, false, 0, 1, 0},
};

const TableRow *findRow(const RowMap &rows, RowScope scope, const std::string &name,
                        std::string_view field)
{
    const auto found = rows.find(RowKey{scope, name, std::string(field)});
    return found == rows.end() ? nullptr : &found->second;
}

std::uint32_t effectiveLimit(const RowMap &rows, const GroupId &group, const TargetId &target,
                             std::string_view field)
{
    if (hasRow(rows, RowScope::Target, target.value, field))
        return static_cast<std::uint32_t>(numberIn(rows, RowScope::Target, target.value, field));
    return static_cast<std::uint32_t>(numberIn(rows, RowScope::Group, group.value, field));
}

} // namespace

const FieldRule *findFieldRule(RowScope scope, std::string_view field)
{
    const auto found =
        std::find_if(std::begin(FieldRules), std::end(FieldRules), [&](const FieldRule &rule) {
            return rule.scope == scope && rule.field == field;
        });
    return found == std::end(FieldRules) ? nullptr : found;
}

std::string describe(const FieldRule &rule)
{
    if (rule.isGroupName)
        return "the name of a group";
    return "a number from " + std::to_string(rule.minimum) + " to " + std::to_string(rule.maximum);
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return number;
}

bool isValidName(std::string_view name)
{
    const auto isAllowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    };
    return !name.empty() && name.size() <= MaxNameLength
           && std::all_of(name.begin(), name.end(), isAllowed);
}

std::uint64_t numberIn(const RowMap &rows, RowScope scope, const std::string &name,
                       std::string_view field)
{
    const FieldRule *rule = findFieldRule(scope, field);
    const std::uint64_t defaultValue = rule == nullptr ? 0 : rule->defaultValue;
    const TableRow *row = findRow(rows, scope, name, field);
    return row == nullptr ? defaultValue : parseNumber(row->value).value_or(defaultValue);
}

TargetLimits limitsIn(const RowMap &rows, const GroupId &group, const TargetId &target)
{
    return {effectiveLimit(rows, group, target, SlotsField),
            effectiveLimit(rows, group, target, ConnectionsField)};
}

bool hasRow(const RowMap &rows, RowScope scope, const std::string &name, std::string_view field)
{
    return findRow(rows, scope, name, field) != nullptr;
}

} // namespace rhubarbweir
