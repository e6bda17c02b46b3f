// Settings and hooks of a proxy's traffic side.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"
#include "rhubarbweir/coordination/proxy/caller_messages.hpp"
#include "rhubarbweir/coordination/proxy/peer_messages.hpp"
#include "rhubarbweir/coordination/proxy/target_messages.hpp"

#include <functional>
#include <string>
#include <variant>

namespace rhubarbweir {

// Identifies a caller connection within this process; never reused.
using CallerConnectionId = std::uint64_t;
// Identifies a target connection within this process; never reused, also not for another target.
using Generation = std::uint64_t;

// Messages grouped by sender or receiver.
using CallerMessage = std::variant<OpenSession, CallerRequest>;
using CallerReply = std::variant<CallerAnswer, SessionOpened, MoveSession>;
using PeerMessage = std::variant<ForwardRequest, ForwardAnswer, EndTransaction>;
using TargetRequest = std::variant<Statement, StatusProbe>;
using TargetMessage = std::variant<StatementReply, TargetStatus>;

// Why a target connection could not be opened.
enum class OpenFailure {
    // Refused, reset or timed out at the transport level.
    Unreachable,
    // The database answered ConnectionRefused: it is alive, but at its connection limit.
    RefusedByTarget,
};

struct ProxySettings
{
    InstanceId instance;
    std::string address;
    FailureDomainId failureDomain;
    // Differs for each start of the process.
    std::uint64_t incarnation = 0;

    // Maximum duration of a transaction, which occupies a connection and a slot.
    Duration transactionLimit = std::chrono::seconds(10);
    // Maximum time between two statements of a transaction.
    Duration transactionIdleLimit = std::chrono::seconds(5);
    // Upper bound of CallerRequest::timeLeft; greater values are reduced to it.
    Duration maxTimeLeft = std::chrono::seconds(60);
    // Maximum number of requests in flight for callers of this proxy; further ones are refused as
    // overloaded.
    std::size_t inFlightLimit = 8192;
    // Subtracted from the time left of a forwarded request, so that the answer arrives in time.
    Duration hopAllowance = std::chrono::milliseconds(4);
    // A repeatable request that a remote holder has not answered for this long is sent to another
    // holder.
    Duration forwardTimeout = std::chrono::milliseconds(400);
    // Target connections are closed this long before the lease ends, to allow for the closing.
    Duration leaseEndMargin = std::chrono::milliseconds(50);
    Duration probeInterval = std::chrono::milliseconds(100);
    // A target that sent nothing for this long is reported as silent.
    Duration silentAfter = std::chrono::milliseconds(500);
    // Maximum time that a read waits for a replica to catch up before the primary may serve it.
    Duration replicaCatchUpLimit = std::chrono::milliseconds(100);
    // Share of the primary's slots available to reads that lagging replicas cannot serve. It also
    // limits how many of them run ahead of waiting writes.
    double primaryReadShare = 0.25;
    // Retries allowed per successful request.
    double retryShare = 0.1;
    // Maximum number of unconfirmed writes of a group; further ones are refused as
    // replication_slow.
    std::size_t unconfirmedLimit = 256;
};

// Events for the event log.
enum class ProxyEventKind {
    LeaseEnded,
    ConnectionOpened,
    ConnectionClosed,
    ConnectionFailed,
    TargetStateChanged,
    TransactionEnded,
    // The first refusal since the queues were last empty.
    RequestRefused,
    // The queues are empty again after refusals.
    RefusalsEnded,
    OutcomeAsked,
    DrainStarted,
    Drained,
};

template<>
struct EnumNames<ProxyEventKind>
{
    static constexpr std::string_view Names[] = {"lease_ended",
                                                 "connection_opened",
                                                 "connection_closed",
                                                 "connection_failed",
                                                 "target_state_changed",
                                                 "transaction_ended",
                                                 "request_refused",
                                                 "refusals_ended",
                                                 "outcome_asked",
                                                 "drain_started",
                                                 "drained"};
};

struct ProxyEvent
{
    ProxyEventKind kind = ProxyEventKind::LeaseEnded;
    GroupId group;
    // Set where the event is about a target.
    TargetId target;
    Generation generation = 0;
    ObservedState state = ObservedState::Alive;
    // Set where the event is about a request.
    RequestKey request;
    Reason reason = Reason::None;
};

// All hooks run within a call to ProxyNode and must not call back into it.
struct ProxyHooks
{
    std::function<void(CallerConnectionId, const CallerReply &)> answerCaller;
    // `address` is empty for a message that goes over the existing connection of the instance.
    std::function<void(const InstanceId &, const std::string &address, const PeerMessage &)>
        sendPeer;
    std::function<void(Generation, const std::string &address, const OpenConnection &)> openTarget;
    std::function<void(Generation, const TargetRequest &)> sendTarget;
    // ProxyNode::targetClosed must be called once the connection is closed.
    std::function<void(Generation)> closeTarget;
    std::function<void(const ProxyEvent &)> event;
};

// Totals since the start of the process, and current gauges.
struct ProxyCounters
{
    std::uint64_t requests = 0;
    std::uint64_t answersOk = 0;
    std::uint64_t answersNotRun = 0;
    std::uint64_t answersFailed = 0;
    std::uint64_t answersUnknown = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
    std::uint64_t forwards = 0;
    std::uint64_t retries = 0;
    std::uint64_t refusedOverloaded = 0;
    // Gauges.
    std::uint64_t inFlight = 0;
    std::uint64_t queued = 0;
    std::uint64_t connections = 0;
    std::uint64_t openTransactions = 0;
};

} // namespace rhubarbweir
