// Statements of text sessions: requests of callers, commands to targets, and answers.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/log_position.hpp"

#include <optional>
#include <string>

namespace rhubarbweir {

enum class TextStatementKind {
    Begin,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Malformed,
};

template<>
struct EnumNames<TextStatementKind>
{
    static constexpr std::string_view Names[] = {"begin",      "commit",    "rollback", "read",
                                                 "write",      "set_value", "prepare",  "execute",
                                                 "deallocate", "malformed"};
};

struct TextStatement
{
    std::string id;
    TextStatementKind kind = TextStatementKind::Malformed;
    // Begin: a read-only transaction. Prepare: a read-only statement.
    bool readOnly = false;
    // Name of the session value or prepared statement.
    std::string name;
    // SetValue: the value. Prepare: the shape. Execute: the item and data.
    std::string argument;
    // The whole statement as received; forwarded unchanged.
    std::string text;
};

// Why a statement failed. Busy to TooMany guarantee that the attempt has no effect.
enum class StatementFault {
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    WrongTarget,
    TooMany,
    // May have taken effect.
    InDoubt,
    Timeout,
    Failed,
    NoSuchName,
    Malformed,
    NoDatabase,
    // The caller's key belongs to no team.
    Denied,
};

template<>
struct EnumNames<StatementFault>
{
    static constexpr std::string_view Names[] = {
        "busy",    "aborted", "lagging",      "read_only", "wrong_target", "too_many", "in_doubt",
        "timeout", "failed",  "no_such_name", "malformed", "no_database",  "denied"};
};

enum class TransactionState {
    None,
    Open,
    // Accepts only its end, by a commit or rollback.
    Failed,
};

template<>
struct EnumNames<TransactionState>
{
    static constexpr std::string_view Names[] = {"none", "open", "failed"};
};

// An answer from a target or to a caller.
struct StatementAnswer
{
    // Rows as encoded by the target; passed to the caller unchanged.
    std::string rows;
    // The target's proof that it ran the statement; empty for answers of the pooler itself.
    std::string signature;
    std::optional<StatementFault> fault;
    // Explanation of the fault.
    std::string detail;
    TransactionState state = TransactionState::None;
    std::optional<LogPosition> position;
};

enum class TargetCommandKind {
    // The caller's text, unchanged.
    Forward,
    // A caller's execute, with the name that the prepared statement has on the connection.
    Execute,
    Begin,
    BeginReadOnly,
    Rollback,
    SetValue,
    Prepare,
    // Clears session values and prepared statements.
    Discard,
};

// A command to a target. All but Forward and Execute originate from the pooler.
struct TargetCommand
{
    TargetCommandKind kind = TargetCommandKind::Forward;
    // Id of the caller's statement; empty for a command of the pooler.
    std::string id;
    std::string text;
    std::string name;
    std::string argument;
    bool readOnly = false;
    // The target answers Lagging and runs nothing unless its log holds this position.
    std::optional<LogPosition> minimum;
};

} // namespace rhubarbweir
