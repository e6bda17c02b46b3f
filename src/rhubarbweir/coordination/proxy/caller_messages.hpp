// Messages between callers and proxies.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/log_position.hpp"
#include "rhubarbweir/state/request_key.hpp"
#include "rhubarbweir/state/session_token.hpp"
#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <string>

namespace rhubarbweir {

enum class RequestKind {
    Read,
    Write,
    Begin,
    Commit,
    Rollback,
    AskOutcome,
};

enum class Consistency {
    // Data no older than CallerRequest::maxAge.
    Bounded,
    // Read-your-writes and monotonic reads: everything that the session wrote or read before.
    Session,
    // Linearizable.
    Latest,
};

// How a write changes the value under its key.
enum class WriteOperation {
    Set,
    // Adds an integer. Not idempotent, so a second run shows in the value.
    Add,
};

enum class Outcome {
    // Executed; a write is confirmed by a majority of its group.
    Ok,
    // Not executed, and will not be.
    NotRun,
    // Rejected by the target, without effect.
    Failed,
    // May have been executed; RequestKind::AskOutcome resolves it.
    OutcomeUnknown,
};

// Why a request has an outcome other than Ok.
enum class Reason {
    None,
    Malformed,
    UnsupportedVersion,
    Draining,
    NoCurrentView,
    UnknownGroup,
    Overloaded,
    DeadlinePassed,
    NoPrimary,
    NoHolder,
    HolderUnreachable,
    ReplicasBehind,
    TransactionElsewhere,
    TransactionEnded,
    ConnectionLost,
    PrimaryChanged,
    NotConfirmed,
    Sealed,
    RefusedByTarget,
    ReplicationSlow,
    DuplicateRequestId,
};

template<>
struct EnumNames<RequestKind>
{
    static constexpr std::string_view Names[] = {"read",   "write",    "begin",
                                                 "commit", "rollback", "ask_outcome"};
};
template<>
struct EnumNames<Consistency>
{
    static constexpr std::string_view Names[] = {"bounded", "session", "latest"};
};
template<>
struct EnumNames<WriteOperation>
{
    static constexpr std::string_view Names[] = {"set", "add"};
};
template<>
struct EnumNames<Outcome>
{
    static constexpr std::string_view Names[] = {"Ok", "NotRun", "Failed", "OutcomeUnknown"};
};
template<>
struct EnumNames<Reason>
{
    static constexpr std::string_view Names[] = {"none",
                                                 "malformed",
                                                 "unsupported_version",
                                                 "draining",
                                                 "no_current_view",
                                                 "unknown_group",
                                                 "overloaded",
                                                 "deadline_passed",
                                                 "no_primary",
                                                 "no_holder",
                                                 "holder_unreachable",
                                                 "replicas_behind",
                                                 "transaction_elsewhere",
                                                 "transaction_ended",
                                                 "connection_lost",
                                                 "primary_changed",
                                                 "not_confirmed",
                                                 "sealed",
                                                 "refused_by_target",
                                                 "replication_slow",
                                                 "duplicate_request_id"};
};

// Opens a session, or resumes one when `session` is not empty.
struct OpenSession
{
    CallerId caller;
    SessionId session;
    SessionToken token;
};

struct SessionOpened
{
    SessionId session;
    InstanceId proxy;
};

// Asks the caller to resume its session on another proxy; the token stays valid.
struct MoveSession
{
    Reason reason = Reason::Draining;
};

struct CallerRequest
{
    CallerId caller;
    SessionId session;
    // Unique within the session.
    std::uint64_t requestId = 0;
    RequestKind kind = RequestKind::Read;
    GroupId group;
    // 0 outside a transaction; otherwise the request id of its Begin.
    std::uint64_t transaction = 0;
    std::string key;
    std::string value;
    WriteOperation operation = WriteOperation::Set;
    Consistency consistency = Consistency::Session;
    // Maximum staleness of a bounded read.
    Duration maxAge{0};
    // Whether the request is idempotent and may be retried without an outcome query.
    bool repeatable = false;
    // Time left until the caller's deadline when the message was sent.
    Duration timeLeft{0};
    // For AskOutcome: id of the request whose outcome is queried.
    std::uint64_t askedRequestId = 0;
    SessionToken token;
};

struct CallerAnswer
{
    SessionId session;
    std::uint64_t requestId = 0;
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    // Suggested delay before a retry; 0 for no suggestion.
    Duration retryAfter{0};
    std::string key;
    std::string value;
    GroupId group;
    TargetId servedBy;
    bool servedByReplica = false;
    // Log position that the request read or wrote; `token` already covers it.
    LogPosition position;
    SessionToken token;
};

inline RequestKey keyOf(const CallerRequest &request)
{
    return RequestKey{request.session, request.requestId};
}

} // namespace rhubarbweir
