// Rows of the operators' table and changes to them.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace rhubarbweir {

enum class RowScope {
    Group,
    Target,
};

template<>
struct EnumNames<RowScope>
{
    static constexpr std::string_view Names[] = {"group", "target"};
};

struct RowKey
{
    RowScope scope = RowScope::Group;
    // Name of the group or target.
    std::string name;
    std::string field;

    friend bool operator==(const RowKey &a, const RowKey &b)
    {
        return a.scope == b.scope && a.name == b.name && a.field == b.field;
    }
    friend bool operator<(const RowKey &a, const RowKey &b)
    {
        return std::tie(a.scope, a.name, a.field) < std::tie(b.scope, b.name, b.field);
    }
};

struct TableRow
{
    RowKey key;
    std::string value;
    // Incremented with each change of the row; 0 means that the row is absent.
    std::uint64_t version = 0;
};

struct RowChange
{
    RowKey key;
    // Version that the edit is based on; 0 for a new row.
    std::uint64_t expectedVersion = 0;
    std::string value;
    bool remove = false;
};

enum class EditOutcome {
    Accepted,
    // A row's version differs from the expected one; nothing was changed.
    VersionConflict,
    // The edit violates a rule of the table; nothing was changed.
    Invalid,
    // The receiving instance is not the leader; nothing was changed.
    NotLeader,
    // The leader could not commit in time, so the edit may or may not take effect; resend it with
    // the same request id.
    Unknown,
};

template<>
struct EnumNames<EditOutcome>
{
    static constexpr std::string_view Names[] = {"accepted", "version_conflict", "invalid",
                                                 "not_leader", "unknown"};
};

enum class RowFault {
    UnknownField,
    UnknownName,
    NotANumber,
    OutOfRange,
    SumTooLarge,
    DuplicateChange,
};

template<>
struct EnumNames<RowFault>
{
    static constexpr std::string_view Names[] = {"unknown_field", "unknown_name",
                                                 "not_a_number",  "out_of_range",
                                                 "sum_too_large", "duplicate_change"};
};

struct RowProblem
{
    RowKey key;
    RowFault fault = RowFault::UnknownField;
    // Human-readable description of what is accepted.
    std::string expected;
};

} // namespace rhubarbweir
