// Messages exchanged with databases: announcements, statements and term changes.
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
    // Reports whether a request was executed. If not, the request is sealed: its id is recorded in
    // the log, so that it can never be executed later.
    AskOutcome,
};

enum class StatementResult {
    // Executed. For AskOutcome: the queried request was executed at `position` in the log.
    Ok,
    // The replica has not applied the required position yet; not executed.
    Behind,
    // Not the primary of the requested term; not executed.
    NotPrimary,
    // The request was sealed by an outcome query; it was not executed and never will be.
    Sealed,
    // The statement is invalid; no effect.
    Refused,
    // The deadline passed before the statement started; not executed.
    DeadlinePassed,
    // The transaction is not open; not executed.
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

// State of a database at one point in time.
struct TargetStatus
{
    // StatusProbe::probeId of the probe that is answered; 0 for an unsolicited status.
    std::uint64_t probeId = 0;
    TargetId target;
    GroupId group;
    TargetRole role = TargetRole::Replica;
    // Newest term into which the database was fenced.
    std::uint64_t adoptedTerm = 0;
    // Last log entry that is durable, applied or not.
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
    // Generation of the connection over which it is sent.
    std::uint64_t generation = 0;
    RequestKey request;
    StatementKind kind = StatementKind::Read;
    // Term whose primary has to execute it; 0 for a read on a replica.
    std::uint64_t term = 0;
    // Minimum applied position for a read.
    LogPosition minimum;
    std::string key;
    std::string value;
    WriteOperation operation = WriteOperation::Set;
    // 0 outside a transaction.
    std::uint64_t transaction = 0;
    // For AskOutcome: the request whose outcome is queried.
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

// Requests the status of a database over an open connection; occupies no slot.
struct StatusProbe
{
    std::uint64_t probeId = 0;
};

// Connections and slots that one proxy uses, as counted by the database.
struct HolderUse
{
    InstanceId holder;
    std::uint32_t connections = 0;
    std::uint32_t slots = 0;
};

// Heartbeat that a database sends to control on a fixed interval; control treats it as a lease.
struct Announcement
{
    TargetStatus status;
    // Host and port for statements.
    std::string address;
    FailureDomainId failureDomain;
    std::vector<HolderUse> uses;
};

// Fences a database: it stops serving all terms before `term`.
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

// Makes a fenced database the primary of `term`. It starts the term with an empty log entry.
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

// Makes a database replicate from the primary of `term` and truncate a diverged log tail.
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
    // Seals the entry's request: it can never be executed.
    Sealed,
};

template<>
struct EnumNames<LogEntryKind>
{
    static constexpr std::string_view Names[] = {"no_op", "write", "transaction", "sealed"};
};

// Value of a key after a log entry is applied.
struct KeyChange
{
    std::string key;
    std::string value;
};

// Entry in the replicated log of a stand-in database.
struct LogEntry
{
    LogPosition at;
    LogEntryKind kind = LogEntryKind::NoOp;
    // Requests that the entry completes. For a transaction: its commit, then its begin and writes.
    std::vector<RequestKey> requests;
    std::vector<KeyChange> changes;
};

// Between stand-in databases: the primary of `term` appends to a replica's log after `previous`.
// Without entries it only checks that the logs match at `previous`.
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
    // If accepted: last position at which the log matches the primary's.
    // Otherwise: position from which the primary should retry.
    LogPosition held;
};

} // namespace rhubarbweir
