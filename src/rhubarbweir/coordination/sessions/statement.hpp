// Statements of text sessions: what a caller asks, what goes to a target, and the answers.
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
    // Begin: a read-only transaction. Prepare: a statement that only reads.
    bool readOnly = false;
    // Of the session value or prepared statement.
    std::string name;
    // SetValue: the value. Prepare: the shape. Execute: the item and data.
    std::string argument;
    // The whole statement as the caller wrote it; forwarded unchanged.
    std::string text;
};

// Why a statement failed. All up to TooMany promise that nothing of the attempt is kept.
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
};

template<>
struct EnumNames<StatementFault>
{
    static constexpr std::string_view Names[] = {
        "busy",     "aborted", "lagging", "read_only",    "wrong_target", "too_many",
        "in_doubt", "timeout", "failed",  "no_such_name", "malformed",    "no_database"};
};

enum class TransactionState {
    None,
    Open,
    // Only ending it is possible.
    Failed,
};

// An answer to a caller, or of a target.
struct StatementAnswer
{
    // Rows as the target encoded them; the caller gets them unchanged.
    std::string rows;
    // The target's proof that it ran the statement; empty for the pooler's own answers.
    std::string signature;
    std::optional<StatementFault> fault;
    // Text beside the fault.
    std::string detail;
    TransactionState state = TransactionState::None;
    std::optional<LogPosition> position;
};

enum class TargetCommandKind {
    // The caller's text, unchanged.
    Forward,
    // The caller's execution under the connection's own name of the prepared statement.
    Execute,
    Begin,
    BeginReadOnly,
    Rollback,
    SetValue,
    Prepare,
    // Clears session values and prepared statements.
    Discard,
};

// One statement to a target. All but Forward and Execute are the pooler's own.
struct TargetCommand
{
    TargetCommandKind kind = TargetCommandKind::Forward;
    // Of the caller's statement; empty for the pooler's own.
    std::string id;
    std::string text;
    std::string name;
    std::string argument;
    bool readOnly = false;
    // The log must hold this position, or the target answers Lagging and runs nothing.
    std::optional<LogPosition> minimum;
};

} // namespace rhubarbweir
