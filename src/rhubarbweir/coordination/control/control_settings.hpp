// Settings and hooks of a control instance's decisions.
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

// Names one connection of this process, whoever is on the other side; never used twice.
using ConnectionId = std::uint64_t;

// Messages by who sends or receives them.
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

    // Length of a proxy's lease.
    Duration leaseFor = std::chrono::seconds(2);
    // Two clocks differ in speed by at most one part in so many.
    std::int64_t driftDivisor = 20;
    // A target that announced nothing for so long is silent.
    Duration silentAfter = std::chrono::milliseconds(600);
    // A report of an observer counts for so long.
    Duration observationLifetime = std::chrono::milliseconds(1000);
    // Interval of this instance's own reports to the leader.
    Duration reportInterval = std::chrono::milliseconds(250);
    // Orders that a target did not answer are repeated after this.
    Duration orderInterval = std::chrono::milliseconds(100);
    // A fresh group waits so long for all its databases once a majority announced itself.
    Duration assignmentPatience = std::chrono::milliseconds(1000);
    // A chosen target that is not primary after this is given up.
    Duration promotionPatience = std::chrono::milliseconds(1500);
    // A planned change is called off when the replica has not caught up by then.
    Duration plannedChangePatience = std::chrono::seconds(2);
    // A planned change waits so long for the holders to have the hold in force.
    Duration holdPatience = std::chrono::milliseconds(60);
    // A planned change waits so long for the preferred and the old primary to be fenced.
    Duration plannedFencePatience = std::chrono::milliseconds(100);
    // Pause before control tries again to move a primary off a leaving target.
    Duration plannedRetryPause = std::chrono::seconds(5);
    // A draining holder keeps the slots in use for so long.
    Duration drainPatience = std::chrono::seconds(10);
    // A proposal that was not applied by then is made again.
    Duration proposalPatience = std::chrono::milliseconds(500);
    // An edit that was not applied by then is answered as unknown.
    Duration editPatience = std::chrono::seconds(3);
    // Automatic actions kept for StatusReport.
    std::size_t actionLimit = 256;
};

// What the decisions need of the quorum log. All but `propose` only ask.
struct QuorumPort
{
    // Appends a payload; returns its index. It may still be lost or replaced: only
    // ControlNode::applied() says that it is committed, and it never runs within this call.
    // Errors: Unavailable when not leading.
    std::function<absl::StatusOr<std::uint64_t>(std::string payload, TimePoint now)> propose;
    std::function<bool()> isLeader;
    std::function<InstanceId()> leader;
    // Empty while no leader is known.
    std::function<std::string()> leaderAddress;
    // No other instance can lead before this point; the past while this one does not lead.
    std::function<TimePoint()> leaseEnd;
    // When this instance began to lead.
    std::function<TimePoint()> leadershipStart;
    std::function<std::uint64_t()> term;
    std::function<std::vector<VoterStatus>()> voters;
};

// Bytes of commands and snapshots; see protocol/state_codec.hpp.
// Errors of decoding: InvalidArgument, Unimplemented for another format version.
struct StateCodec
{
    std::function<std::string(const Command &)> encodeCommand;
    std::function<absl::StatusOr<Command>(std::string_view)> decodeCommand;
    std::function<std::string(const StateSnapshot &)> encodeSnapshot;
    std::function<absl::StatusOr<StateSnapshot>(std::string_view)> decodeSnapshot;
};

// What control did or noticed, for the event log.
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

// Empty fields do not apply to the event.
struct ControlEvent
{
    ControlEventKind kind = ControlEventKind::LeadershipStarted;
    GroupId group;
    TargetId target;
    InstanceId instance;
    // Term of the group.
    std::uint64_t term = 0;
    std::uint64_t revision = 0;
    // Why it was done, with the evidence.
    std::string cause;
};

// All hooks run inside a call of ControlNode and must not call back into it. Sending on a
// connection that is gone does nothing.
struct ControlHooks
{
    std::function<void(ConnectionId, const ProxyReply &)> sendToProxy;
    std::function<void(ConnectionId, const TargetOrder &)> sendToTarget;
    std::function<void(ConnectionId, const OperatorReply &)> sendToOperator;
    std::function<void(const InstanceId &, const ObserverReport &)> sendToControl;
    std::function<void(const ControlEvent &)> event;
};

} // namespace rhubarbweir
