// Settings and hooks of a fleet's control instance.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"
#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/state/log_position.hpp"
#include "rhubarbweir/state/team_limit.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace rhubarbweir {

struct FleetSettings
{
    // Pooler leases and clock drift. A lease outlasts an election and the restart of a control
    // instance, so that a change of leader does not interrupt statements.
    ControlSettings lease;
    // Interval at which targets announce themselves.
    Duration heartbeatInterval = std::chrono::milliseconds(1200);
    // A pooler's report is valid for about three of its renewal intervals.
    Duration reportLifetime = std::chrono::milliseconds(1600);
    // A survey of a group's targets ends after this if some target has answered.
    Duration surveyTimeout = std::chrono::milliseconds(500);
    // Changes of the view other than those of an authority are collected for this long.
    Duration viewCollectionTime = std::chrono::milliseconds(30);
    // Changes of the view are sent again to a pooler that has reported none of them by then. Two
    // renewals.
    Duration viewResendInterval = std::chrono::milliseconds(1000);
    // A pooler that has not reported a configuration document by then is sent it again.
    Duration documentResendInterval = std::chrono::milliseconds(3000);
    // Configuration documents go to poolers at no more than this rate, so that the messages between
    // control instances do not wait behind them on the link; 0 for any rate.
    std::uint64_t documentBytesPerSecond = 0;
    // A draining primary keeps its authority for at most this long while a pooler is silent. Well
    // within the time for which targets serve after they were told to stop.
    Duration drainTimeout = std::chrono::milliseconds(3000);
    // A planned change waits this long for a replica to reach the primary's position.
    Duration catchUpTimeout = std::chrono::milliseconds(2000);
    // The same after the primary was lost. A few times the typical replication lag.
    Duration failoverCatchUpTimeout = std::chrono::milliseconds(150);
    // The same when the primary is only overloaded, or leaves a synchronous group; the change is
    // cancelled after it.
    Duration reliefTimeout = std::chrono::milliseconds(500);
    // While no target that answers knows the newest granted term, a survey waits this long for one
    // that does. A promotion before rolls back every commit of that term.
    Duration newestTermTimeout = std::chrono::milliseconds(1000);
    // A survey waits this long for a target of the newest granted term or without entries that a
    // promotion rolled back, and in a synchronous group for one that is known to hold all confirmed
    // commits; then it takes the best of those that answer. Longer than most network partitions. A
    // target without an announcement for this long is not waited for.
    Duration lastResortTimeout = std::chrono::seconds(15);
    // A leaving primary of a synchronous group that no replica could follow within reliefTimeout
    // serves on for this long before the next attempt.
    Duration leaveRetryInterval = std::chrono::milliseconds(2000);
    // An overloaded primary is replaced after being overloaded continuously for this long.
    Duration overloadThreshold = std::chrono::milliseconds(500);
    // Minimum time between two changes of a group's primary because of overload. A few times the
    // duration of a change.
    Duration reliefInterval = std::chrono::milliseconds(10000);
    // Interval of probes of one target during a change. A tenth of the shortest promotion.
    Duration probeInterval = std::chrono::milliseconds(50);
    // A promotion is requested again after this without an answer, and then after intervals that
    // double up to the other one, so that a slow platform answers the newest request.
    Duration promotionInterval = std::chrono::milliseconds(400);
    Duration maxPromotionInterval = std::chrono::seconds(20);
    // Minimum time between promotions requested by two control instances, so that the platform sees
    // one instance at a time.
    Duration promotionTurn = std::chrono::milliseconds(3000);
    // A promoted target is given up if it has not become primary after this.
    Duration promotionTimeout = std::chrono::milliseconds(4000);
    // A proposal that was not applied within this is repeated.
    Duration proposalTimeout = std::chrono::milliseconds(1000);
    // A primary that reports itself as a replica for this long loses its authority.
    Duration roleMismatchThreshold = std::chrono::milliseconds(1500);
    // Empty if teams are not limited.
    std::optional<TeamLimitRules> teamLimits;
};

// Minimum time between two passes over all poolers that events cause. Events of a crowd are then
// handled together. Zero for a small fleet, in which each event is handled at once.
inline Duration crowdInterval(std::size_t poolers)
{
    constexpr std::size_t smallFleet = 64;
    // At 300 poolers 30 ms. A pass over them takes one to three milliseconds of a processor.
    constexpr std::chrono::microseconds perPooler{100};
    return poolers <= smallFleet ? Duration::zero()
                                 : Duration(perPooler * static_cast<Duration::rep>(poolers));
}

// A target's answer to a probe.
struct TargetProbe
{
    bool isPrimary = false;
    std::uint64_t term = 0;
    LogPosition received;
};

// Request to the platform to make `target` the primary of `group`.
struct PromotionRequest
{
    GroupId group;
    TargetId target;
    std::uint64_t token = 0;
    // Increases with each request of an instance.
    std::uint64_t number = 0;
};

enum class PromotionOutcome {
    Accepted,
    // The target is not running.
    Refused,
    // No clear answer; the promotion may have taken effect, or may still do so.
    Unknown,
    // The platform was not reached.
    NotSent,
};

template<>
struct EnumNames<PromotionOutcome>
{
    static constexpr std::string_view Names[] = {"accepted", "refused", "unknown", "not_sent"};
};

// Outcome of a call of a target or an operator.
enum class FleetCallOutcome {
    Accepted,
    // The announcement changes nothing. Acknowledged like an accepted one, so that the target does
    // not call every instance in turn.
    Ignored,
    // Another instance leads; the caller is redirected to it if its address is known.
    NotLeader,
    Unavailable,
    // The content does not fit into the control log.
    TooLarge,
};

template<>
struct EnumNames<FleetCallOutcome>
{
    static constexpr std::string_view Names[] = {"accepted", "ignored", "not_leader", "unavailable",
                                                 "too_large"};
};

using FleetReply = std::variant<FleetLease, FleetRedirect, TokenAnswer, AnnouncementAnswers>;
using FleetCallDone = std::function<void(FleetCallOutcome)>;
using FleetEventFields = std::vector<std::pair<std::string, std::string>>;

struct FleetHooks
{
    // Errors: those of QuorumLog::propose.
    std::function<absl::StatusOr<std::uint64_t>(const FleetCommand &)> propose;
    std::function<bool()> isLeader;
    // Whether this instance is the only leader and has applied every entry committed before.
    std::function<bool(TimePoint)> leaseValid;
    // Internal address of the leader; empty when unknown.
    std::function<std::string()> leaderAddress;
    std::function<std::vector<std::string>()> controlAddresses;
    std::function<void(ConnectionId, const FleetReply &)> sendToPooler;
    // Compresses a configuration document for poolers.
    std::function<OpaqueBytes(const OpaqueBytes &)> compress;
    // A document without what poolers must not hold. May be empty.
    std::function<OpaqueBytes(const OpaqueBytes &)> documentForPoolers;
    // Compressed difference of a document to an earlier one. May be empty; poolers are then sent
    // whole documents.
    std::function<OpaqueBytes(const OpaqueBytes &base, const OpaqueBytes &document)> documentDelta;
    // Encodes and compresses a view with many entries, once for all poolers. May be empty; views
    // are then sent unpacked.
    std::function<OpaqueBytes(const FleetView &)> packView;
    // Whether so many bytes wait to be sent on the connection that more would only queue up. May be
    // empty.
    std::function<bool(ConnectionId)> isBacklogged;
    // Internal addresses of the seeds in this instance's settings. May be empty.
    std::function<std::vector<std::string>()> seedAddresses;
    // Tells the observer at the internal address that this instance leads. Best effort.
    std::function<void(const std::string &address)> callObserver;
    // The groups that the document names, with how many replicas hold a commit of each before it is
    // confirmed.
    std::function<std::map<GroupId, std::uint32_t>(const OpaqueBytes &document)> groups;
    // Limits of the teams that have one. Only called with FleetSettings::teamLimits.
    std::function<std::map<TeamId, TeamLimit>(const OpaqueBytes &document)> teamLimits;
    // Answered through FleetController::probed().
    std::function<void(const RegisteredTarget &)> probe;
    // Answered through FleetController::promotionAnswered().
    std::function<void(const PromotionRequest &)> promote;
    // Tells a deposed primary to follow `term`. Best effort.
    std::function<void(const RegisteredTarget &, std::uint64_t term)> stepDown;
    std::function<void(std::string_view event, const FleetEventFields &)> event;
};

} // namespace rhubarbweir
