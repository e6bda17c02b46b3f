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

// Names one caller's session of this process; never used twice, never 0.
using SessionNumber = std::uint64_t;

struct PoolerSettings
{
    FailureDomainId failureDomain;

    // A target that answers nothing for this long counts as silent; a multiple of the longest
    // usual statement in a full queue.
    Duration silentAfter = std::chrono::milliseconds(1200);
    // Longest time to open a connection to a target.
    Duration connectTimeout = std::chrono::milliseconds(1000);
    // Pause before a target that refused a connection is tried again; doubles up to the cap.
    Duration reconnectPause = std::chrono::milliseconds(100);
    Duration reconnectPauseCap = std::chrono::milliseconds(1000);
    // No further connection is opened for this long after a target had too many; a tenth of the
    // time for which targets keep those of a machine that is gone.
    Duration tooManyPause = std::chrono::milliseconds(300);
    // Pause after a target was too busy, doubling up to the cap: the time of a usual statement, and
    // of a full queue.
    Duration busyPause = std::chrono::milliseconds(15);
    Duration busyPauseCap = std::chrono::milliseconds(120);
    // A connection above the pooler's share is closed when unused for this long.
    Duration surplusIdle = std::chrono::milliseconds(1000);
    // Attempts of one statement at targets.
    unsigned maxAttempts = 5;
    // A group without a primary for longer than this will not have one within the time of a
    // statement; longer than a planned change.
    Duration vacancyPatience = std::chrono::milliseconds(1300);
    // What then needs the primary is refused after this part of its latency objective.
    unsigned hopelessDivisor = 5;
    // Connections above the pooler's resting share while statements wait.
    std::uint32_t surplusConnections = 2;
    // Connections of a target that are left to control instances, one each.
    std::uint32_t controlConnections = 4;
    // Expected extra delay of a target in another failure domain: one round trip between domains.
    Duration otherDomainDelay = std::chrono::milliseconds(3);
    // Answers slower than this, on average, mean that statements queue up at the target; about
    // three times a usual statement.
    Duration slowAnswer = std::chrono::milliseconds(90);
    // Keeps reads off the primary as long as replicas answer not much later than this.
    Duration primaryReadDelay = std::chrono::milliseconds(30);
    // Expected extra delay of a replica whose last known position is not enough.
    Duration laggingDelay = std::chrono::milliseconds(40);
    // Once the oldest statement waited this long the newest goes first; about a third of a usual
    // latency objective.
    Duration longWait = std::chrono::milliseconds(100);
    // Pause before a replica is asked again for a position that it lacked, doubling up to the cap:
    // from a usual replication lag to the time in which callers give up.
    Duration laggingPause = std::chrono::milliseconds(30);
    Duration laggingPauseCap = std::chrono::milliseconds(240);
    // A replica that lacked all asked positions for this long is behind: a few times the usual lag.
    Duration behindAfter = std::chrono::milliseconds(300);
    // Statements that wait, over all groups; beyond it new ones are refused.
    std::size_t queueLimit = 512;
};

using PoolerEventFields = std::vector<std::pair<std::string, std::string>>;

struct PoolerHooks
{
    std::function<void(SessionNumber, const StatementAnswer &)> answer;
    std::function<void(SessionNumber)> closeSession;
    // Answered through SessionPooler::targetOpened() or targetClosed().
    std::function<void(ConnectionId, const RegisteredTarget &)> openTarget;
    std::function<void(ConnectionId, const std::vector<TargetCommand> &)> sendToTarget;
    // targetClosed() is not called for it any more.
    std::function<void(ConnectionId)> closeTarget;
    // What this pooler sees of targets changed; it should be reported at once.
    std::function<void()> observationsChanged;
    // A statement was answered, for counters and histograms; no fault for a success.
    std::function<void(RouteConsistency, std::optional<StatementFault>, Duration)> finished;
    // A decision about one statement or a change of belief. `sampled` marks ordinary successes.
    std::function<void(std::string_view event, const PoolerEventFields &, bool sampled)> event;
};

// Why a connection to a target ended or was not made.
enum class TargetFailure {
    Refused,
    Reset,
    Silent,
    // The target at the address is another one.
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
