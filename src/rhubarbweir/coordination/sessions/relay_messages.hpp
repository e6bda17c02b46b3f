// Messages between poolers for sessions that another pooler, the holder, serves.
#pragma once

#include "rhubarbweir/coordination/sessions/statement.hpp"
#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/opaque_bytes.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace rhubarbweir {

// Chosen by the pooler that has the caller's connection. Never reused, also not by a later start of
// it, so that a delayed answer cannot reach another caller.
using RelayId = std::uint64_t;

struct RelayOpen
{
    RelayId relay = 0;
    std::string database;
    // Bytes of the caller's KeyDigest.
    OpaqueBytes key;
};

struct RelayStatement
{
    RelayId relay = 0;
    TextStatement statement;
};

// Answers come in the order of the statements.
struct RelayAnswer
{
    RelayId relay = 0;
    StatementAnswer answer;
};

// The caller has left.
struct RelayClose
{
    RelayId relay = 0;
};

enum class RelayEndReason {
    // The holder has closed a session that was open.
    Closed,
    // The session was never opened, so none of its statements ran: the holder is not able to serve
    // it, or is leaving.
    Refused,
    Leaving,
};

template<>
struct EnumNames<RelayEndReason>
{
    static constexpr std::string_view Names[] = {"closed", "refused", "leaving"};
};

struct RelayEnded
{
    RelayId relay = 0;
    RelayEndReason reason = RelayEndReason::Closed;
};

// Sent while an answer is overdue; the holder returns it at once.
struct RelayPing
{
    bool isAnswer = false;
};

using RelayMessage =
    std::variant<RelayOpen, RelayStatement, RelayAnswer, RelayClose, RelayEnded, RelayPing>;

} // namespace rhubarbweir
