// Settings and hooks of a fleet's control instance.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"
#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/state/log_position.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace rhubarbweir {

struct FleetSettings
{
    // Lease of a pooler and the clocks' drift. The lease outlasts an election and the return of a
    // control instance, so that a change of leader does not stop statements.
    ControlSettings lease;
    // Interval at which targets announce themselves.
    Duration heartbeatInterval = std::chrono::milliseconds(1200);
    // A report of a pooler counts for three of its renewals.
    Duration reportLifetime = std::chrono::milliseconds(1600);
    // A survey of a group's targets ends after this, once one has answered.
    Duration surveyPatience = std::chrono::milliseconds(500);
    // A leaving primary is kept so long while a pooler is silent; well within the time for which
    // targets serve after they were told to leave.
    Duration drainPatience = std::chrono::milliseconds(3000);
    // A planned change waits so long for a replica to reach the primary's position.
    Duration catchUpPatience = std::chrono::milliseconds(2000);
    // The same after the primary was lost: a few times the usual replication lag.
    Duration lostCatchUpPatience = std::chrono::milliseconds(150);
    // The same when the primary is only overloaded; then it goes on.
    Duration reliefPatience = std::chrono::milliseconds(500);
    // A primary is relieved after it was overloaded for this long without a break.
    Duration overloadPatience = std::chrono::milliseconds(500);
    // Least time between two reliefs of a group; a few times the length of a change.
    Duration reliefInterval = std::chrono::milliseconds(10000);
    // Pause between two probes of one target: a tenth of the shortest promotion.
    Duration probeInterval = std::chrono::milliseconds(50);
    // Pause before a promotion without an answer is asked for again.
    Duration promotionInterval = std::chrono::milliseconds(400);
    // A promoted target that does not lead after this is given up.
    Duration promotionPatience = std::chrono::milliseconds(4000);
    // A proposal that was not applied by then is made again.
    Duration proposalPatience = std::chrono::milliseconds(1000);
    // A primary whose own reports say otherwise for this long loses its authority.
    Duration rolePatience = std::chrono::milliseconds(1500);
};

// What a target says of itself when asked.
struct TargetProbe
{
    bool isPrimary = false;
    std::uint64_t term = 0;
    LogPosition received;
};

// Asks the platform to make `target` the primary of `group`.
struct PromotionRequest
{
    GroupId group;
    TargetId target;
    std::uint64_t token = 0;
};

enum class PromotionOutcome {
    Accepted,
    // The target does not run.
    Refused,
    // No clear answer; the call may have taken effect.
    Unknown,
};

template<>
struct EnumNames<PromotionOutcome>
{
    static constexpr std::string_view Names[] = {"accepted", "refused", "unknown"};
};

// How a call of a target or an operator ends.
enum class FleetCallOutcome {
    Accepted,
    // Another instance leads; its address is in the answer, where known.
    NotLeader,
    Unavailable,
};

template<>
struct EnumNames<FleetCallOutcome>
{
    static constexpr std::string_view Names[] = {"accepted", "not_leader", "unavailable"};
};

using FleetReply = std::variant<FleetLease, FleetRedirect>;
using FleetCallDone = std::function<void(FleetCallOutcome)>;
using FleetEventFields = std::vector<std::pair<std::string, std::string>>;

struct FleetHooks
{
    // Errors: those of QuorumLog::propose.
    std::function<absl::StatusOr<std::uint64_t>(const FleetCommand &)> propose;
    std::function<bool()> isLeader;
    // Whether this instance is the only leader and has applied all that was committed before.
    std::function<bool(TimePoint)> leaseValid;
    // Internal address of the leader; empty when unknown.
    std::function<std::string()> leaderAddress;
    std::function<std::vector<std::string>()> controlAddresses;
    std::function<void(ConnectionId, const FleetReply &)> sendToPooler;
    // Answered through FleetController::probed().
    std::function<void(const RegisteredTarget &)> probe;
    // Answered through FleetController::promotionAnswered().
    std::function<void(const PromotionRequest &)> promote;
    // Tells a deposed primary to follow `term`. Best effort.
    std::function<void(const RegisteredTarget &, std::uint64_t term)> stepDown;
    std::function<void(std::string_view event, const FleetEventFields &)> event;
};

} // namespace rhubarbweir
