// Messages between the system and databases: announcements, statements, terms.
#pragma once

#include "rhubarbweir/coordination/proxy/caller_messages.hpp"

#include <string>
#include <vector>

namespace rhubarbweir {

enum class TargetRole {
    Replica,
    Primary,
};

enum class StatementKind {
    Read,
    Write,
    Begin,
    Commit,
    Rollback,
    // Reports whether a request ran. One that did not run is sealed, so that it never will.
    AskOutcome,
};

enum class StatementResult {
    // Ran. For AskOutcome: the asked request ran, `position` is its place in the log.
    Ok,
    // A replica has not applied the asked position; nothing ran.
    Behind,
    // Not the primary of the asked term; nothing ran.
    NotPrimary,
    // The request was sealed by an outcome query; it never ran and never will.
    Sealed,
    // The statement itself is at fault; no effect.
    Refused,
    // The time left ran out before it started; nothing ran.
    DeadlinePassed,
    // No such open transaction; nothing ran.
    TransactionEnded,
};

template<>
struct EnumNames<TargetRole>
{
    static constexpr std::string_view Names[] = {"replica", "primary"};
};
template<>
struct EnumNames<StatementKind>
{
    static constexpr std::string_view Names[] = {"read",   "write",    "begin",
                                                 "commit", "rollback", "ask_outcome"};
};
template<>
struct EnumNames<StatementResult>
{
    static constexpr std::string_view Names[] = {
        "ok", "behind", "not_primary", "sealed", "refused", "deadline_passed", "transaction_ended"};
};

// A database's state at one moment.
struct TargetStatus
{
    // Echo of StatusProbe::probeId; 0 when sent unasked.
    std::uint64_t probeId = 0;
    TargetId target;
    GroupId group;
    TargetRole role = TargetRole::Replica;
    // Newest term the database was fenced into.
    std::uint64_t adoptedTerm = 0;
    // Last log entry held durably, applied or not.
    LogPosition received;
    // Last log entry visible to reads.
    LogPosition applied;
};

// First message on a connection from a proxy. The database counts it against its limit.
struct OpenConnection
{
    InstanceId holder;
    std::uint64_t generation = 0;
};

struct ConnectionOpened
{
    std::uint64_t generation = 0;
    TargetStatus status;
};

struct ConnectionRefused
{
    std::uint64_t generation = 0;
    std::string reason;
};

struct Statement
{
    // Generation of the connection that carries it.
    std::uint64_t generation = 0;
    RequestKey request;
    StatementKind kind = StatementKind::Read;
    // Term in which a primary has to run it; 0 for a read on a replica.
    std::uint64_t term = 0;
    // Least applied position of a read.
    LogPosition minimum;
    std::string key;
    std::string value;
    WriteOperation operation = WriteOperation::Set;
    // 0 outside a transaction.
    std::uint64_t transaction = 0;
    // For AskOutcome.
    RequestKey asked;
    Duration timeLeft{0};
};

struct StatementReply
{
    std::uint64_t generation = 0;
    RequestKey request;
    StatementResult result = StatementResult::Refused;
    LogPosition position;
    std::string key;
    std::string value;
    TargetStatus status;
};

// Asks a database for its status over an open connection; takes no slot.
struct StatusProbe
{
    std::uint64_t probeId = 0;
};

// What one proxy uses of a database, as the database counts it.
struct HolderUse
{
    InstanceId holder;
    std::uint32_t connections = 0;
    std::uint32_t slots = 0;
};

// Sent by a database to control on a fixed interval; control treats it as a lease.
struct Announcement
{
    TargetStatus status;
    // Host and port for statements.
    std::string address;
    FailureDomainId failureDomain;
    std::vector<HolderUse> uses;
};

// Takes a database out of every earlier term.
struct FenceTarget
{
    GroupId group;
    std::uint64_t term = 0;
};

struct TargetFenced
{
    TargetStatus status;
};

struct PeerAddress
{
    TargetId target;
    std::string address;
};

// Makes a fenced database the primary of `term`; it writes one empty entry in the new term.
struct PromoteTarget
{
    GroupId group;
    std::uint64_t term = 0;
    std::vector<PeerAddress> members;
};

struct TargetPromoted
{
    TargetStatus status;
};

// Makes a database replicate from the primary of `term`, dropping any diverged tail.
struct FollowPrimary
{
    GroupId group;
    std::uint64_t term = 0;
    PeerAddress primary;
};

enum class LogEntryKind {
    // First entry of a primary in its term.
    NoOp,
    Write,
    Transaction,
    // Forbids the entry's request.
    Sealed,
};

template<>
struct EnumNames<LogEntryKind>
{
    static constexpr std::string_view Names[] = {"no_op", "write", "transaction", "sealed"};
};

// A value as it is after a log entry.
struct KeyChange
{
    std::string key;
    std::string value;
};

// One entry of a stand-in database's replicated log.
struct LogEntry
{
    LogPosition at;
    LogEntryKind kind = LogEntryKind::NoOp;
    // Requests that the entry answers; a transaction holds its commit first, then its begin and
    // its writes.
    std::vector<RequestKey> requests;
    std::vector<KeyChange> changes;
};

// Between stand-in databases: the primary of `term` extends a replica's log after `previous`.
// Without entries it only checks `previous`.
struct ReplicateEntries
{
    GroupId group;
    TargetId primary;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    LogPosition previous;
    std::vector<LogEntry> entries;
};

// Answers ReplicateEntries. Sent with sequence 0 by a replica that connects to its primary.
struct ReplicateAnswer
{
    GroupId group;
    TargetId target;
    // The replica's adopted term.
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    bool accepted = false;
    // Accepted: last position held that matches the primary's log.
    // Otherwise: where the primary should try next.
    LogPosition held;
};

} // namespace rhubarbweir
