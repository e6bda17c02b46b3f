// Settings and hooks of the session pooler.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"
#include "rhubarbweir/coordination/control/control_settings.hpp"
#include "rhubarbweir/coordination/sessions/route_table.hpp"
#include "rhubarbweir/coordination/sessions/statement.hpp"
#include "rhubarbweir/state/fleet_state.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbweir {

// Identifies one caller's session in this process. Never 0 and never reused.
using SessionNumber = std::uint64_t;

struct PoolerSettings
{
    InstanceId instance;
    FailureDomainId failureDomain;

    // A target that owes an answer and has sent nothing for this long is reported as silent. A
    // multiple of the longest typical statement time with a full queue.
    Duration silentAfter = std::chrono::milliseconds(1200);
    // Time limit for opening a connection to a target.
    Duration connectTimeout = std::chrono::milliseconds(1000);
    // Initial delay before reconnecting to a target that failed; doubles up to the maximum.
    Duration reconnectBackoff = std::chrono::milliseconds(100);
    Duration maxReconnectBackoff = std::chrono::milliseconds(1000);
    // No connection is opened for this long after a target rejected one because it had too many. A
    // tenth of the time for which targets keep the connections of an unreachable machine.
    Duration connectionLimitBackoff = std::chrono::milliseconds(300);
    // Initial delay after a target answered that it is busy; doubles up to the maximum. The values
    // are the time of a typical statement and of a full queue.
    Duration busyBackoff = std::chrono::milliseconds(15);
    Duration maxBusyBackoff = std::chrono::milliseconds(120);
    // A connection above the idle share is closed after being unused for this long.
    Duration surplusIdleTimeout = std::chrono::milliseconds(1000);
    // Any idle connection is closed after this where few poolers hold the connections of a group.
    Duration heldIdleTimeout = std::chrono::milliseconds(3000);
    // Limit on the counted attempts of one statement; see SessionPooler::retryElsewhere.
    unsigned maxAttempts = 5;
    // Once a group has had no primary for this long, none is expected within the timeout of a
    // statement. Longer than a planned primary change takes.
    Duration primaryAbsenceThreshold = std::chrono::milliseconds(1300);
    // From then on, a statement that needs the primary is refused after its latency objective
    // divided by this.
    unsigned absentPrimaryDivisor = 5;
    // A position of a primary is reported to control if it is newer by this than the one that
    // control has. A fraction of the staleness that callers accept.
    Duration positionReportStep = std::chrono::milliseconds(150);
    // Connections above the idle share that may be opened while statements wait.
    std::uint32_t surplusConnections = 2;
    // With more targets than this, connections are kept only to groups in use. More than twice the
    // 24 targets of a deployment with 30 instances.
    std::size_t manyTargets = 60;
    // A group counts as in use for this long after its last statement. With 300 instances a pooler
    // sends a group a statement every 8 s, so about one in a thousand finds its connection closed.
    Duration groupUseTimeout = std::chrono::seconds(60);
    // Connections of each target that are reserved for control instances, one for each.
    std::uint32_t controlConnections = 4;
    // Added to the expected delay of a target in another failure domain of the region: one round
    // trip between domains. For another region the learned distance is added instead.
    Duration otherDomainPenalty = std::chrono::milliseconds(3);
    // A read that a replica in the region can serve in time leaves the region only after it has
    // waited for its latency objective divided by this.
    unsigned regionStayDivisor = 4;
    // An average delay above this means that statements queue at the target. About three times the
    // time of a typical statement.
    Duration slowAnswerThreshold = std::chrono::milliseconds(90);
    // Added to the expected delay of a primary for reads that a replica can serve, so that replicas
    // are preferred unless they are slower by more than this.
    Duration primaryReadPenalty = std::chrono::milliseconds(30);
    // Added to the expected delay of a replica whose last known position is too old for the read.
    Duration laggingPenalty = std::chrono::milliseconds(40);
    // Once the oldest statement of a priority has waited this long, the newest is served first
    // (adaptive LIFO). About a third of a typical latency objective.
    Duration lifoThreshold = std::chrono::milliseconds(100);
    // Initial delay before a lagging replica is tried again for the position that it did not have;
    // doubles up to the maximum. Ranges from a typical replication lag to the time after which
    // callers give up.
    Duration laggingBackoff = std::chrono::milliseconds(30);
    Duration maxLaggingBackoff = std::chrono::milliseconds(240);
    // A replica that has had none of the requested positions for this long counts as behind. A few
    // times the typical replication lag.
    Duration behindThreshold = std::chrono::milliseconds(300);
    // A key that was taken away stops within this time; empty if keys may stop later.
    std::optional<Duration> revokeWithin;
    // Whether the limits of teams are kept.
    bool limitsTeams = false;
    // Limit on queued statements over all groups; further ones are refused.
    std::size_t queueLimit = 512;
    // Limit on the queued statements of one team over all groups. A quarter of the limit on all, so
    // that one team cannot displace the others.
    std::size_t teamQueueLimit = 128;
    // Limit on the values and prepared statements of a session, in bytes. They are sent to a target
    // together with a statement.
    std::size_t sessionStateLimit = std::size_t{2} << 20U;
    // The pooler remembers the names that it gave to prepared statements up to this size, in bytes
    // of their shapes, and then gives new ones. A few hundred shapes are common.
    std::size_t preparedNamesLimit = std::size_t{4} << 20U;
    // A target's connection with this many prepared statements is cleared before its next
    // transaction.
    std::size_t preparedPerConnection = 512;
};

using PoolerEventFields = std::vector<std::pair<std::string, std::string>>;

struct PoolerHooks
{
    std::function<void(SessionNumber, const StatementAnswer &)> answer;
    std::function<void(SessionNumber)> closeSession;
    // The session's values and prepared statements take `bytes` from now on.
    std::function<void(SessionNumber, std::size_t bytes)> stateChanged;
    // The target is told the team; it is empty for callers without one. Answered through
    // SessionPooler::targetOpened() or targetClosed().
    std::function<void(ConnectionId, const RegisteredTarget &, const TeamId &)> openTarget;
    std::function<void(ConnectionId, const std::vector<TargetCommand> &)> sendToTarget;
    // Connections to each target of the group that this pooler may open for the team; empty if
    // all poolers share a target's connections evenly.
    std::function<std::optional<std::uint32_t>(const GroupId &, const TeamId &)> heldConnections;
    // After this, SessionPooler::targetClosed() is not called for the connection.
    std::function<void(ConnectionId)> closeTarget;
    // SessionPooler::tokenReport() should be sent to the leader at once.
    std::function<void()> tokensNeeded;
    // SessionPooler::observations() changed and should be reported to control at once.
    std::function<void()> observationsChanged;
    // A statement was answered; for counters and histograms. Without a fault on success.
    std::function<void(RouteConsistency, std::optional<StatementFault>, Duration)> finished;
    // Log event about a statement or a state change. `sampled` marks frequent events that may be
    // logged in part only.
    std::function<void(std::string_view event, const PoolerEventFields &, bool sampled)> event;
};

// Outcome of opening a session.
enum class SessionOpening {
    Opened,
    UnknownDatabase,
    // The key belongs to no team.
    Denied,
    // The key belongs to no team of a configuration that may be too old.
    Unproven,
};

// Why a connection to a target was closed or could not be opened.
enum class TargetFailure {
    Refused,
    Reset,
    Silent,
    // Another target answers at the address.
    WrongTarget,
    TooMany,
    // The target broke the protocol.
    Malformed,
};

template<>
struct EnumNames<TargetFailure>
{
    static constexpr std::string_view Names[] = {"refused",      "reset",    "silent",
                                                 "wrong_target", "too_many", "malformed"};
};

} // namespace rhubarbweir
