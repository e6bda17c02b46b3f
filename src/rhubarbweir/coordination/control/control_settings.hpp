// Settings, hooks and event types of ControlNode.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"
#include "rhubarbweir/coordination/control/operator_messages.hpp"
#include "rhubarbweir/coordination/proxy/target_messages.hpp"
#include "rhubarbweir/state/command.hpp"
#include "rhubarbweir/state/replicated_state.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rhubarbweir {

// Identifies a connection of this process to any peer. Ids are never reused.
using ConnectionId = std::uint64_t;

// Messages grouped by sender and receiver.
using ProxyReply = std::variant<LeaseGranted, LeaseRefused, ViewChanged>;
using TargetReport = std::variant<Announcement, TargetStatus, TargetFenced, TargetPromoted>;
using TargetOrder = std::variant<FenceTarget, PromoteTarget, FollowPrimary, StatusProbe>;
using OperatorRequest =
    std::variant<TableEdit, TableQuery, InForceQuery, StatusQuery, PlannedChange>;
using OperatorReply =
    std::variant<TableEditResult, TableRows, InForceReport, StatusReport, PlannedChangeResult>;

struct ControlSettings
{
    InstanceId instance;
    std::string address;
    FailureDomainId failureDomain;

    // Duration of a proxy's lease.
    Duration leaseFor = std::chrono::seconds(2);
    // Two clocks differ in rate by at most 1 / driftDivisor.
    std::int64_t driftDivisor = 20;
    // A target is silent if it has not reported for this long.
    Duration silentAfter = std::chrono::milliseconds(600);
    // How long an observer's report remains valid.
    Duration observationLifetime = std::chrono::milliseconds(1000);
    // Interval at which this instance reports to the leader.
    Duration reportInterval = std::chrono::milliseconds(250);
    // Interval at which unanswered orders to a target are repeated.
    Duration orderInterval = std::chrono::milliseconds(100);
    // How long a new group waits for all its databases once a majority has announced itself.
    Duration assignmentTimeout = std::chrono::milliseconds(1000);
    // A chosen target that has not become primary within this time is given up.
    Duration promotionPatience = std::chrono::milliseconds(1500);
    // A planned change is cancelled if the replica has not caught up within this time.
    Duration plannedChangeTimeout = std::chrono::seconds(2);
    // How long a planned change waits until the write hold is in force at the holders.
    Duration holdTimeout = std::chrono::milliseconds(60);
    // How long a planned change waits for the preferred target to be fenced before another one may
    // be chosen.
    Duration plannedFenceTimeout = std::chrono::milliseconds(100);
    // Delay before another attempt to move a primary off a leaving target.
    Duration plannedRetryDelay = std::chrono::seconds(5);
    // How long a draining holder keeps the slots that it has in use.
    Duration drainPatience = std::chrono::seconds(10);
    // A proposal that has not been applied within this time is proposed again.
    Duration proposalPatience = std::chrono::milliseconds(500);
    // An edit that has not been applied within this time is answered as unknown.
    Duration editPatience = std::chrono::seconds(3);
    // Number of automatic actions kept for StatusReport.
    std::size_t actionLimit = 256;
};

// Interface to the quorum log. All functions except `propose` are queries.
struct QuorumPort
{
    // Appends a payload and returns its index. The entry may still be lost or replaced: it is
    // committed only when ControlNode::applied() is called, which never happens within this call.
    // Errors: Unavailable if this instance is not the leader.
    std::function<absl::StatusOr<std::uint64_t>(std::string payload, TimePoint now)> propose;
    std::function<bool()> isLeader;
    std::function<InstanceId()> leader;
    // Empty if no leader is known.
    std::function<std::string()> leaderAddress;
    // No other instance can become leader before this time. In the past if this instance is not the
    // leader.
    std::function<TimePoint()> leaseEnd;
    // When this instance last became leader.
    std::function<TimePoint()> leadershipStart;
    std::function<std::uint64_t()> term;
    std::function<std::vector<VoterStatus>()> voters;
};

// Serialization of commands and snapshots; see protocol/state_codec.hpp.
// Errors of the decode functions: InvalidArgument; Unimplemented for another format version.
struct StateCodec
{
    std::function<std::string(const Command &)> encodeCommand;
    std::function<absl::StatusOr<Command>(std::string_view)> decodeCommand;
    std::function<std::string(const StateSnapshot &)> encodeSnapshot;
    std::function<absl::StatusOr<StateSnapshot>(std::string_view)> decodeSnapshot;
};

// Actions and observations of control, for the event log.
enum class ControlEventKind {
    LeadershipStarted,
    LeadershipEnded,
    TargetRegistered,
    TargetRefused,
    TargetStateChanged,
    TermBegun,
    PrimaryChosen,
    PrimaryConfirmed,
    WritesHeld,
    WritesReleased,
    FollowOrdered,
    GrantsChanged,
    ProxyLeaseStarted,
    ProxyLeaseEnded,
    LeaseRefused,
    TableEdited,
    CommandMalformed,
};

template<>
struct EnumNames<ControlEventKind>
{
    static constexpr std::string_view Names[] = {
        "leadership_started",   "leadership_ended",  "target_registered", "target_refused",
        "target_state_changed", "term_begun",        "primary_chosen",    "primary_confirmed",
        "writes_held",          "writes_released",   "follow_ordered",    "grants_changed",
        "proxy_lease_started",  "proxy_lease_ended", "lease_refused",     "table_edited",
        "command_malformed"};
};

// Fields that do not apply to the event are empty.
struct ControlEvent
{
    ControlEventKind kind = ControlEventKind::LeadershipStarted;
    GroupId group;
    TargetId target;
    InstanceId instance;
    // Term of the group.
    std::uint64_t term = 0;
    std::uint64_t revision = 0;
    // Reason for the action, including the evidence.
    std::string cause;
};

// All hooks are called from within ControlNode and must not call back into it. Sending on a closed
// connection has no effect.
struct ControlHooks
{
    std::function<void(ConnectionId, const ProxyReply &)> sendToProxy;
    std::function<void(ConnectionId, const TargetOrder &)> sendToTarget;
    std::function<void(ConnectionId, const OperatorReply &)> sendToOperator;
    std::function<void(const InstanceId &, const ObserverReport &)> sendToControl;
    std::function<void(const ControlEvent &)> event;
};

} // namespace rhubarbweir
