// Serves callers' text sessions over pooled connections to a group's targets.
//
// A statement passes from its session through a route, the queue and a connection to a target.
// Reads, writes and commits run at targets. Everything else is answered by the pooler and replayed
// on a target's connection before the statement that needs it. A target is used as the primary, and
// its log position as a freshness bound, only under a valid lease and the group's authority.
#pragma once

#include "rhubarbweir/coordination/proxy/retry_budget.hpp"
#include "rhubarbweir/coordination/sessions/configuration_proof.hpp"
#include "rhubarbweir/coordination/sessions/session.hpp"
#include "rhubarbweir/coordination/sessions/statement_queue.hpp"
#include "rhubarbweir/coordination/sessions/target_tracker.hpp"
#include "rhubarbweir/coordination/sessions/team_budget.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarbweir {

class SessionPooler
{
public:
    SessionPooler(PoolerSettings settings, PoolerHooks hooks);

    // Callers. Unless the outcome is Opened, the session does not exist. The key counts only on a
    // route that is not public.
    SessionOpening sessionOpened(SessionNumber session, const std::string &database,
                                 const KeyDigest &key, TimePoint now);
    void statement(SessionNumber session, TextStatement statement, TimePoint now);
    void sessionClosed(SessionNumber session, TimePoint now);

    // Targets. The hook PoolerHooks::openTarget starts a connection.
    void targetOpened(ConnectionId connection, const std::optional<LogPosition> &position,
                      TimePoint now);
    void targetAnswered(ConnectionId connection, const StatementAnswer &answer, TimePoint now);
    void targetClosed(ConnectionId connection, TargetFailure failure, TimePoint now);

    // Control.
    void viewReceived(const FleetView &view, TimePoint now);
    void routesReceived(RouteTable table, TimePoint now);
    void leaseReceived(TimePoint end, std::uint32_t poolers, std::uint32_t formerPoolers,
                       TimePoint now);

    // The leader's newest configuration had this version when it answered the renewal that was sent
    // at `sentAt`.
    void configurationAnswered(std::uint64_t version, TimePoint sentAt, TimePoint now);

    // Positions of primaries that other poolers learned. `sentAt` is when the answered renewal was
    // sent, so the ages were taken later.
    void positionsReceived(const std::vector<GroupPosition> &positions, TimePoint sentAt,
                           TimePoint now);
    // Positions that this pooler learned and that are newer than those received.
    std::vector<GroupPosition> positionsToReport(TimePoint now);

    // The report to send with the next renewal, or at once after PoolerHooks::tokensNeeded. Empty
    // if no team has a limit, or if the answer to an earlier report is awaited.
    std::optional<TokenReport> tokenReport(TimePoint now);
    void tokensAnswered(const TokenAnswer &answer, TimePoint now);
    // The answer to the last report will not come, or the next one goes to another instance.
    // `isRefused` if the instance does not lead, and has not counted the report.
    void tokensUnanswered(bool isRefused);

    void advance(TimePoint now);
    // When advance() is due.
    TimePoint nextDeadline() const;

    // Closes up to `count` sessions that have no statement and no transaction.
    void closeIdleSessions(std::size_t count, TimePoint now);
    // Closes the session if it has no statement and no transaction.
    bool closeIfIdle(SessionNumber session, TimePoint now);
    // Closes the sessions without a pending statement; the others start no further one from their
    // backlog. Call again to close those that were answered meanwhile.
    void closeWhenAnswered(TimePoint now);
    // Answers every pending statement with a fault and closes all sessions.
    void closeAll(TimePoint now);

    bool isReady() const { return this->view.routes().version != 0 && this->view.revision() != 0; }
    // Whether sessions that need a key can be served.
    bool servesTeams(TimePoint now) const;
    const AuthorityView &authorityView() const { return this->view; }
    std::vector<TargetObservation> observations() const
    {
        return this->targetTracker.observations();
    }
    // Groups whose replicas are all behind while the primary answers slowly.
    std::vector<GroupId> overloadedGroups(TimePoint now) const;
    std::size_t sessionCount() const { return this->sessions.size(); }
    // Statements that wait for a connection.
    std::size_t waitingCount() const { return this->queue.size(); }
    // Those of them that can no longer be in time.
    std::size_t lateCount() const { return this->queue.lateCount(); }

private:
    struct OwnPosition
    {
        std::uint64_t generation = 0;
        LogPosition position;
        TimePoint asOf;
    };

    // session_pooler.cpp: callers' statements.
    void process(Session &session, TextStatement statement, TimePoint now);
    std::optional<StatementFault> changeState(Session &session, const TextStatement &statement);
    void begin(Session &session, const TextStatement &statement, TimePoint now);
    bool needsKey(const Session &session) const;
    std::optional<StatementFault> updateTeam(Session &session, TimePoint now) const;
    bool refuseAtArrival(Session &session, const TextStatement &statement, TimePoint now);
    void logRefusal(StatementFault fault, SessionNumber session, const std::string &request,
                    const std::string &database) const;
    bool refuseWithoutAccess(Session &session, TimePoint now);
    void rollback(Session &session, TimePoint now);
    void runAtTarget(Session &session, TextStatement statement, TimePoint now);
    bool admitStatement(Session &session, TextStatement statement, TimePoint now);
    void answerLocally(Session &session, const TextStatement &statement,
                       std::optional<StatementFault> fault);
    void finish(Session &session, const StatementAnswer &answer, TimePoint now);
    void refuse(Session &session, StatementFault fault, const std::string &detail, TimePoint now);
    void nextFromBacklog(Session &session, TimePoint now);
    void endSession(SessionNumber number, TimePoint now);
    void failTransaction(Session &session, TimePoint now);
    void logStatement(const Session &session, std::string_view outcome, TimePoint now,
                      bool sampled) const;

    // internal/session_dispatch.cpp: selection of a connection, and sending.
    void dispatch(Session &session, TimePoint now);
    bool trySend(Session &session, TimePoint now);
    std::vector<TargetId> candidates(const Session &session, TimePoint now) const;
    std::optional<LogPosition> requiredPosition(const Session &session, TimePoint now) const;
    bool isAvailable(const TargetRecord &record, TimePoint now) const;
    bool needsAbsentPrimary(const Session &session, TimePoint now) const;
    bool canServe(const GroupId &group, bool needsPrimary, const TeamId *team, bool mayConnect,
                  TimePoint now) const;
    bool mayOpen(const TargetRecord &record, const TeamId &team, TimePoint now) const;
    void enqueue(Session &session, TimePoint now);
    void limitWaitForPrimary(Session &session, TimePoint now) const;
    void refuseQueued(const std::vector<QueueRefusal> &refusals, TimePoint now);
    void openIfAllowed(const TargetId &target, const TeamId &team, TimePoint now);
    bool waitsForIdleTransactions(const Session &session, const std::vector<TargetId> &targets,
                                  TimePoint now) const;
    void openFor(const Session &session, const std::vector<TargetId> &targets, TimePoint now);
    void keepWarm(TimePoint now);
    std::uint32_t connectionsForPoolers(const TargetRecord &record) const;
    std::uint32_t idleShare(const TargetRecord &record) const;
    bool mayKeepIdle(const TargetRecord &record) const;
    bool isWanted(const TargetRecord &record) const;
    bool hasRoomFor(const TargetRecord &record, const TeamId &team) const;
    bool isSurplus(const PooledConnection &connection, const TargetRecord &record,
                   TimePoint now) const;
    std::uint32_t connectionShare(const TargetRecord &record) const;
    void startOn(Session &session, PooledConnection &connection, TimePoint now);
    void sendBegin(Session &session, PooledConnection &connection, TimePoint now);
    void sendStatement(Session &session, PooledConnection &connection, TimePoint now);
    void sendOnPinned(Session &session, TimePoint now);
    std::vector<TargetCommand> stateCommands(Session &session, PooledConnection &connection,
                                             const TextStatement &statement);
    std::string preparedName(const PreparedStatement &prepared);
    void clearState(PooledConnection &connection, std::vector<TargetCommand> &commands) const;
    bool holdsTooManyStatements(const PooledConnection &connection) const;
    void release(PooledConnection &connection, TimePoint now);
    void dropConnection(ConnectionId connection);
    void unpin(Session &session, bool reusable, TimePoint now);
    void dispatchQueue(TimePoint now);
    void dispatchGroup(const GroupId &group, TimePoint now);
    void recheckQueue(TimePoint now);
    QueueOffer queueOffer(TimePoint now, bool offersAll);
    bool offerQueued(const WaitingStatement &waiting, TimePoint now);
    const TargetRecord *homeReplica(const GroupId &group) const;
    bool isHomeReplica(const TargetRecord &record) const;
    bool holdsAuthority(const PooledConnection &connection, std::uint64_t generation,
                        TimePoint now) const;

    // internal/session_regions.cpp: targets in other regions.
    // A target that may run a statement, with the expected delay.
    using RankedTarget = std::pair<Duration, TargetId>;
    void keepInRegion(const PendingStatement &pending, std::vector<RankedTarget> &ranked,
                      TimePoint now) const;
    bool mayServeInRegion(const PendingStatement &pending, const RankedTarget &ranked,
                          TimePoint now) const;
    void logDistances();

    // internal/session_tokens.cpp: tokens of teams.
    const TeamLimit *limitOf(const TeamId &team) const;
    bool mayProceed(Session &session, TimePoint now);
    void awaitToken(Session &session, TimePoint now);
    void refuseWithoutToken(Session &session, TokenShortage shortage, TimePoint now);
    void settleToken(PendingStatement &pending, bool hasRun, TimePoint now);
    static bool didOperationRun(const PendingStatement &pending,
                                const std::optional<StatementFault> &fault);
    void stopAwaiting(const Session &session);
    void serveAwaiting(const TeamId &team, TimePoint now);
    void serveUnlimited(TimePoint now);
    void requestTokensIfDue(TimePoint now);

    // internal/session_answers.cpp: answers of targets, lost connections and timeouts.
    void recordPosition(const PooledConnection &connection, const AwaitedAnswer &awaited,
                        const StatementAnswer &answer, TimePoint now);
    void internalCommandAnswered(PooledConnection &connection, const AwaitedAnswer &awaited,
                                 const StatementAnswer &answer, TimePoint now);
    void statementAnswered(Session &session, PooledConnection &connection,
                           const AwaitedAnswer &awaited, const StatementAnswer &answer,
                           TimePoint now);
    void statementFailed(Session &session, PooledConnection &connection,
                         const StatementAnswer &answer, TimePoint now);
    bool retryElsewhere(Session &session, StatementFault fault, const TargetId &target,
                        TimePoint now);
    void requeue(Session &session, TimePoint now);
    void connectionLost(Session &session, TimePoint now);
    void expirePending(Session &session, TimePoint now);
    void expireSent(Session &session, TimePoint now);
    static StatementFault notRunFault(StatementFault fault);
    void expireConnections(TimePoint now);
    void expireGroupsInUse(TimePoint now);

    PoolerSettings settings;
    PoolerHooks hooks;
    AuthorityView view;
    ConfigurationProof proof;
    TargetTracker targetTracker;
    RetryBudget retries;
    std::map<SessionNumber, Session> sessions;
    // Holds the statements in StatementStage::Queued, except those that are being refused.
    StatementQueue queue;
    std::deque<QueueRefusal> queueRefusals;
    bool refusingQueued = false;
    // Tokens of the teams, and sessions whose statement awaits one, by arrival.
    TeamBudget budget;
    std::map<TeamId, std::deque<SessionNumber>> awaitingToken;
    // Positions of each group's primary under the current log generation, learned here or received.
    std::map<GroupId, FreshnessTracker> freshness;
    std::map<GroupId, TimePoint> lastSample;
    // The newest position learned here, and when the newest one that the leader has was asked for.
    std::map<GroupId, OwnPosition> ownPositions;
    std::map<GroupId, TimePoint> sharedAsOf;
    // Contains every session with a pending statement or a pinned connection. Others are removed by
    // the next advance().
    std::map<SessionNumber, const Session *> activeSessions;
    // When the last statement arrived for each group in use.
    std::map<GroupId, TimePoint> groupsInUse;
    // Failure domains of other regions, as logged last.
    std::set<FailureDomainId> loggedDistant;
    // Names of prepared statements on targets' connections, by access mode (read-only or not) and
    // shape; forgotten together once their shapes take `preparedNamesSize` bytes. No name is given
    // twice, so what connections still hold of forgotten ones does no harm.
    std::map<std::pair<bool, std::string>, std::string> preparedNames;
    std::size_t preparedNamesSize = 0;
    std::uint64_t lastPreparedName = 0;
    bool dispatchingQueue = false;
    bool closingWhenAnswered = false;
    TimePoint nextCheck;
    TimePoint advancedAt;
};

} // namespace rhubarbweir
