// Tracks each target of a pooler: connections, delay, log position, load and failures.
#pragma once

#include "rhubarbweir/coordination/proxy/freshness_tracker.hpp"
#include "rhubarbweir/coordination/sessions/authority_view.hpp"
#include "rhubarbweir/coordination/sessions/domain_distances.hpp"
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
    // Runs statements of a session, or awaits answers that no session needs any more.
    InUse,
};

// An answer that a connection has not received yet.
struct AwaitedAnswer
{
    TargetCommandKind kind = TargetCommandKind::Forward;
    // 0 when no session waits for it.
    SessionNumber session = 0;
    TimePoint sentAt;
    // Authority generation under which the command was sent to the primary; 0 for any other target.
    std::uint64_t generation = 0;
    // TargetCommand::minimum of the command.
    std::optional<LogPosition> minimum = std::nullopt;
};

struct PooledConnection
{
    ConnectionId id = 0;
    TargetId target;
    GroupId group;
    // The target knows the connection as this team's, so it serves no other one.
    TeamId team;
    ConnectionPhase phase = ConnectionPhase::Connecting;
    TimePoint connectStartedAt;
    TimePoint connectDeadline;
    TimePoint idleSince;
    // Session values and prepared statements at the target, as sent.
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
    // In the order of sending.
    std::deque<AwaitedAnswer> awaited;
    // Session whose transaction or statement owns the connection; 0 for none.
    SessionNumber owner = 0;
    // A transaction is open on the connection.
    bool inTransaction = false;
    // The target refused a session value or prepared statement, so `values` and `prepared` are
    // wrong and the connection must not be reused.
    bool hasUnknownState = false;
};

// Initial window of a target whose speed is not known yet.
inline constexpr double InitialWindow = 4;

struct TargetRecord
{
    RegisteredTarget target;
    std::set<ConnectionId> connections;
    // Commands sent and not answered.
    unsigned inFlight = 0;
    // Moving average of the time from sending a statement to its answer.
    Duration delay = std::chrono::milliseconds(15);
    // Limit on `inFlight`; grows while answers are quick and shrinks when they are slow.
    double window = InitialWindow;
    std::optional<LogPosition> position;
    TimePoint lastContactAt;

    bool hasCapacity() const { return this->inFlight < static_cast<unsigned>(this->window); }
    // Position that the replica did not have when last requested. Reads that need it or a later one
    // are not sent before `laggingUntil`.
    LogPosition missingPosition;
    // When the replica first failed to have a requested position; empty once it has had one again.
    std::optional<TimePoint> behindSince;
    TimePoint laggingUntil;
    Duration laggingBackoff{0};
    // No new statement is sent before this.
    TimePoint suspendedUntil;
    // No connection is opened before this.
    TimePoint connectBlockedUntil;
    Duration backoff{0};
    // Delay after the last busy answer; halved by every answer to a statement.
    Duration busyBackoff{0};
    ObservedState state = ObservedState::Alive;
};

struct TargetGroup
{
    // By id.
    std::vector<const TargetRecord *> members;
    // The replica that this pooler keeps a connection to where the limits allow none to each
    // target; null without a replica.
    const TargetRecord *home = nullptr;
    TargetId primary;
    // Members that are ready and not the primary, and those of them in this region.
    std::uint32_t replicas = 0;
    std::uint32_t replicasInRegion = 0;
};

class TargetTracker
{
public:
    explicit TargetTracker(const PoolerSettings &poolerSettings);

    // Applies `change`, which is already part of `view`. Returns the connections of targets that
    // were removed or replaced.
    std::vector<ConnectionId> applyView(const AuthorityView &view, const FleetView &change,
                                        TimePoint now);

    TargetRecord *find(const TargetId &target);
    const TargetRecord *find(const TargetId &target) const;
    PooledConnection *connection(ConnectionId id);
    std::map<ConnectionId, PooledConnection> &connections() { return this->open; }
    const std::map<ConnectionId, PooledConnection> &connections() const { return this->open; }
    const std::map<TargetId, TargetRecord> &records() const { return this->targets; }
    // Empty for an unknown group.
    const TargetGroup &group(const GroupId &group) const;
    // How many of `poolers` have the same home replica as this one, if they are spread evenly over
    // the failure domains. The group must have a home replica.
    std::uint32_t poolersOfHome(const TargetGroup &group, std::uint32_t poolers) const;

    PooledConnection &addConnection(const TargetRecord &record, const TeamId &team, TimePoint now);
    void removeConnection(ConnectionId id);
    // An idle connection of the team to the target; one with the same session values is preferred.
    PooledConnection *idleConnection(const TargetId &target, const TeamId &team,
                                     const std::map<std::string, std::string> &values);
    // Whether the target has an idle connection of the team, or of any team if it is null.
    bool hasIdleConnection(const TargetId &target, const TeamId *team) const;
    // The idle connection of another team that has been unused for longest; null if there is none.
    const PooledConnection *idleOfOtherTeam(const TargetId &target, const TeamId &team) const;
    std::size_t connectingCount(const TargetId &target, const TeamId &team) const;
    std::size_t connectionCount(const TargetRecord &record, const TeamId &team) const;
    // Whether a connection is being opened for the team and has not taken unusually long.
    bool opensSoon(const TargetId &target, const TeamId &team, TimePoint now) const;

    // The target accepted the connection.
    void connectionOpened(const PooledConnection &connection, TimePoint now);
    void commandSent(PooledConnection &connection, AwaitedAnswer answer);
    // Removes and returns the entry of the answer; empty when no answer was awaited.
    std::optional<AwaitedAnswer> answerReceived(PooledConnection &connection, TimePoint now);
    void markAlive(const TargetId &target, TimePoint now);
    // The target answered busy: shrinks its window and suspends it for a backoff.
    void markBusy(const TargetId &target, TimePoint now);
    // The target's log does not hold `minimum`.
    void markLagging(const TargetId &target, const LogPosition &minimum, TimePoint now);
    void markFailed(const TargetId &target, TargetFailure failure, TimePoint now);
    // Marks targets whose answers are overdue. True when a state changed.
    bool markSilentTargets(TimePoint now);
    // When the first suspension or lag that ends after `after` ends; TimePoint::max() for none.
    // `after` must not be earlier than the last forgetSuspensionsUntil().
    TimePoint suspensionEndAfter(TimePoint after) const;
    void forgetSuspensionsUntil(TimePoint now);
    std::vector<TargetObservation> observations() const;
    // Whether every replica of the group has been behind for PoolerSettings::behindThreshold and
    // the primary answers slowly. False for a group without replicas.
    bool isOverloaded(const GroupId &group, const TargetId &primary, TimePoint now) const;

    const DomainDistances &distances() const { return this->domainDistances; }
    // Expected time until an answer plus penalties, for ranking targets.
    Duration expectedDelay(const TargetRecord &record, bool isPrimary,
                           const std::optional<LogPosition> &minimum) const;

private:
    std::vector<ConnectionId> applyTarget(const TargetId &id, const AuthorityView &view,
                                          TimePoint now);
    void addToGroup(const TargetRecord &record);
    void removeFromGroup(const TargetRecord &record);
    void chooseHome(TargetGroup &group) const;
    void recordDistance(const TargetRecord &record, Duration took, TimePoint now);
    void suspend(TargetRecord &record, TimePoint until);
    void adaptWindow(TargetRecord &record) const;
    bool changeState(TargetRecord &record, ObservedState state);

    const PoolerSettings &settings;
    std::map<TargetId, TargetRecord> targets;
    // The records of `targets` by group. No group is empty.
    std::map<GroupId, TargetGroup> groups;
    // Contains every target with a `suspendedUntil` or `laggingUntil` that was not forgotten. May
    // contain targets that were removed.
    std::set<TargetId> suspended;
    DomainDistances domainDistances;
    std::map<ConnectionId, PooledConnection> open;
    ConnectionId lastId = 0;
};

} // namespace rhubarbweir
