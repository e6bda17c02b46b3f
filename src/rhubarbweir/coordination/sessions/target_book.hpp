// What a pooler knows of each target: its connections, delay, position and failures.
#pragma once

#include "rhubarbweir/coordination/proxy/freshness_tracker.hpp"
#include "rhubarbweir/coordination/sessions/authority_view.hpp"
#include "rhubarbweir/coordination/sessions/pooler_settings.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarbweir {

enum class ConnectionPhase {
    Connecting,
    Idle,
    // Runs statements of a session, or awaits answers that nobody needs any more.
    InUse,
};

// An answer that a connection still owes.
struct AwaitedAnswer
{
    TargetCommandKind kind = TargetCommandKind::Forward;
    // 0 when nobody waits for it.
    SessionNumber session = 0;
    TimePoint sentAt;
    // Authority generation under which it was sent to the primary; 0 for a replica.
    std::uint64_t generation = 0;
    // Position that the target's log must hold.
    std::optional<LogPosition> minimum = std::nullopt;
};

struct PooledConnection
{
    ConnectionId id = 0;
    TargetId target;
    GroupId group;
    ConnectionPhase phase = ConnectionPhase::Connecting;
    TimePoint connectDeadline;
    TimePoint idleSince;
    // State at the target, as acknowledged or sent.
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
    // In the order of sending.
    std::deque<AwaitedAnswer> awaited;
    // Session whose transaction or statement owns the connection; 0 for none.
    SessionNumber owner = 0;
    // A transaction was begun on it and not ended.
    bool inTransaction = false;
    // Its state at the target is not what was sent: not to be used again.
    bool isDamaged = false;
};

// Statements in flight at a target whose speed is not known yet.
inline constexpr double InitialWindow = 4;

struct TargetRecord
{
    RegisteredTarget target;
    std::set<ConnectionId> connections;
    // Statements sent and not answered.
    unsigned inFlight = 0;
    // Smoothed time from sending a statement to its answer.
    Duration delay = std::chrono::milliseconds(15);
    // Statements that may be in flight at once; grows while answers are quick.
    double window = InitialWindow;
    std::optional<LogPosition> position;
    TimePoint heardAt;

    bool hasRoom() const { return this->inFlight < static_cast<unsigned>(this->window); }
    // A replica that lacked a position is not asked for it, or a later one, before this.
    LogPosition lacked;
    // Since when it has lacked every position that it was asked for.
    std::optional<TimePoint> behindSince;
    TimePoint laggingUntil;
    Duration laggingPause{0};
    // Nothing new is sent before this.
    TimePoint suspendedUntil;
    TimePoint tooManyUntil;
    Duration pause{0};
    // Pause after the last answer that it was too busy; 0 after any other.
    Duration busyPause{0};
    ObservedState state = ObservedState::Alive;
};

class TargetBook
{
public:
    explicit TargetBook(const PoolerSettings &poolerSettings);

    // Follows the view; returns connections of targets that are gone.
    std::vector<ConnectionId> follow(const AuthorityView &view, TimePoint now);

    TargetRecord *find(const TargetId &target);
    const TargetRecord *find(const TargetId &target) const;
    PooledConnection *connection(ConnectionId id);
    std::map<ConnectionId, PooledConnection> &connections() { return this->open; }
    const std::map<TargetId, TargetRecord> &records() const { return this->targets; }

    PooledConnection &addConnection(const TargetRecord &record, TimePoint now);
    void removeConnection(ConnectionId id);
    // An idle connection of the target; one with the same session values goes first.
    PooledConnection *idleConnection(const TargetId &target,
                                     const std::map<std::string, std::string> &values);
    std::size_t connecting(const TargetId &target) const;

    void sent(PooledConnection &connection, AwaitedAnswer answer);
    // The answer's entry; empty when none was owed.
    std::optional<AwaitedAnswer> answered(PooledConnection &connection, TimePoint now);
    void heard(const TargetId &target, TimePoint now);
    // The target had no room for a statement: it gets none for a while.
    void busy(const TargetId &target, TimePoint now);
    // The target's log lacks `minimum`.
    void lacks(const TargetId &target, const LogPosition &minimum, TimePoint now);
    void failed(const TargetId &target, TargetFailure failure, TimePoint now);
    // Marks targets that owe an answer for too long. True when a state changed.
    bool findSilent(TimePoint now);
    std::vector<TargetObservation> observations() const;
    // Whether every replica of the group is behind for a while, and the primary answers late.
    bool isOverloaded(const GroupId &group, const TargetId &primary, TimePoint now) const;

    // Expected time until an answer, for choosing between targets.
    Duration expectedDelay(const TargetRecord &record, bool isPrimary,
                           const std::optional<LogPosition> &minimum) const;

private:
    void adaptWindow(TargetRecord &record) const;
    bool changeState(TargetRecord &record, ObservedState state);

    const PoolerSettings &settings;
    std::map<TargetId, TargetRecord> targets;
    std::map<ConnectionId, PooledConnection> open;
    ConnectionId lastId = 0;
};

} // namespace rhubarbweir
