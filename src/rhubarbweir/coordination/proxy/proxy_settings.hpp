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

// Names one caller connection of this process; never used twice.
using CallerConnectionId = std::uint64_t;
// Names one target connection of this process; never used twice, over all targets.
using Generation = std::uint64_t;

// Messages by who sends or receives them.
using CallerMessage = std::variant<OpenSession, CallerRequest>;
using CallerReply = std::variant<CallerAnswer, SessionOpened, MoveSession>;
using PeerMessage = std::variant<ForwardRequest, ForwardAnswer, EndTransaction>;
using TargetRequest = std::variant<Statement, StatusProbe>;
using TargetMessage = std::variant<StatementReply, TargetStatus>;

// Why a target connection could not be opened.
enum class OpenFailure {
    // Refused, reset or timed out below the protocol.
    Unreachable,
    // The database answered ConnectionRefused: it is alive and at its limit.
    RefusedByTarget,
};

struct ProxySettings
{
    InstanceId instance;
    std::string address;
    FailureDomainId failureDomain;
    // New for each start of the process.
    std::uint64_t incarnation = 0;

    // Longest life of a transaction; it pins a connection and a slot.
    Duration transactionLimit = std::chrono::seconds(10);
    // Longest time that a transaction may wait for its caller's next statement.
    Duration transactionIdleLimit = std::chrono::seconds(5);
    // Longest time left that a request may claim.
    Duration longestDeadline = std::chrono::seconds(60);
    // Requests in flight for callers of this proxy; more are refused as overloaded.
    std::size_t inFlightLimit = 8192;
    // Taken off the time left of a forwarded request, so that its answer comes back in time.
    Duration hopAllowance = std::chrono::milliseconds(4);
    // An unanswered forward of a repeatable request is tried at the other holder after this.
    Duration forwardPatience = std::chrono::milliseconds(400);
    // Target connections are closed this long before the lease ends.
    Duration closeAllowance = std::chrono::milliseconds(50);
    Duration probeInterval = std::chrono::milliseconds(100);
    // A target that answered nothing for so long is reported silent.
    Duration silentAfter = std::chrono::milliseconds(500);
    // How long a read waits for a replica to catch up before the primary may serve it.
    Duration replicaPatience = std::chrono::milliseconds(100);
    // Greatest share of reads that the primary serves because replicas are behind.
    double primaryReadShare = 0.25;
    // Retries allowed for each success.
    double retryShare = 0.1;
    // Unconfirmed writes of a group; more are refused as replication_slow.
    std::size_t unconfirmedLimit = 256;
};

// What happened on its own initiative, for the event log.
enum class ProxyEventKind {
    LeaseEnded,
    ConnectionOpened,
    ConnectionClosed,
    ConnectionFailed,
    TargetStateChanged,
    TransactionEnded,
    // The first refusal since the queues were last empty.
    RequestRefused,
    // The queues are empty again.
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

// All hooks run inside a call of ProxyNode and must not call back into it.
struct ProxyHooks
{
    std::function<void(CallerConnectionId, const CallerReply &)> answerCaller;
    // `address` is empty for an answer: it goes to the connection of the instance that asked.
    std::function<void(const InstanceId &, const std::string &address, const PeerMessage &)>
        sendPeer;
    std::function<void(Generation, const std::string &address, const OpenConnection &)> openTarget;
    std::function<void(Generation, const TargetRequest &)> sendTarget;
    // ProxyNode::targetClosed follows once the connection is gone.
    std::function<void(Generation)> closeTarget;
    std::function<void(const ProxyEvent &)> event;
};

// Totals since the start.
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
