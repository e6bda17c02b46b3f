// Decisions of a fleet's control instance: the operators' configuration, the registration of
// targets, leases and views of poolers, and the choice of primaries. Only the leader of the quorum
// log decides; the others redirect.
//
// A pooler may use a primary only under an authority in its view and a valid lease. An authority is
// revoked by a log entry. A change of the primary continues once every pooler has reported a view
// that includes this entry, or its older leases have ended.
#pragma once

#include "rhubarbweir/coordination/fleet/budget_allocator.hpp"
#include "rhubarbweir/coordination/fleet/departed_replicas.hpp"
#include "rhubarbweir/coordination/fleet/observer_registry.hpp"
#include "rhubarbweir/coordination/fleet/pooler_registry.hpp"
#include "rhubarbweir/coordination/fleet/primary_change.hpp"
#include "rhubarbweir/coordination/fleet/view_sender.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace rhubarbweir {

class FleetController
{
public:
    FleetController(FleetSettings settings, FleetHooks hooks);

    // Applies a command that the quorum log committed.
    void applied(std::uint64_t index, const FleetCommand &command, TimePoint now);
    void restored(const FleetState::Snapshot &snapshot, TimePoint now);
    void leadershipChanged(TimePoint now);
    void advance(TimePoint now);
    // When advance() is due.
    TimePoint nextDeadline() const
    {
        return std::min({this->wakeAt, this->views.nextDeadline(), this->answerRegistrationsAt});
    }

    void receiveFromPooler(ConnectionId connection, const RenewLease &message, TimePoint now);
    void positionsReported(ConnectionId connection, const PositionReport &report)
    {
        this->positions.report(connection, report);
    }
    // A pooler needs tokens before its next renewal.
    void tokensRequested(ConnectionId connection, const TokenRequest &request, TimePoint now);
    void connectionClosed(ConnectionId connection);

    // A target announced itself. `done` may be called before the function returns.
    void targetAnnounced(const RegisteredTarget &target, FleetCallDone done, TimePoint now);
    // `born` tells which start of the target leaves; empty if that is not known.
    void targetLeft(const TargetId &target, const std::optional<std::int64_t> &born,
                    FleetCallDone done, TimePoint now);
    // Another control instance took announcements.
    void announcementsRelayed(ConnectionId connection, const AnnouncementBatch &batch,
                              TimePoint now);
    // Sends the answers that are due to instances that took announcements.
    void sendAnnouncementAnswers();
    // Whether there are so many targets that all control instances take announcements.
    bool relaysAnnouncements() const;
    // Internal address of the instance to which the target should announce itself; empty for this
    // one.
    std::string announceAddress(const TargetId &target) const;
    // An operator sent a valid configuration document.
    void configurationSent(std::uint64_t version, OpaqueBytes document, FleetCallDone done,
                           TimePoint now);
    // The newest committed document; empty if there is none or this instance does not hold the
    // leader's lease.
    std::optional<ConfigurationDocument> configuration(TimePoint now) const;
    std::string leaderAddress() const { return this->hooks.leaderAddress(); }

    void probed(const RegisteredTarget &target, const std::optional<TargetProbe> &result,
                TimePoint now);
    void promotionAnswered(const PromotionRequest &request, PromotionOutcome outcome,
                           TimePoint now);

    const FleetState &state() const { return this->fleet; }
    // Tokens of the teams that have a limit; empty unless this instance leads and limits teams.
    std::map<TeamId, BudgetAllocator::TeamStatus> teamStatus() const;

private:
    struct PendingCall
    {
        FleetCallDone done;
        TimePoint deadline;
    };

    struct ProposedTarget
    {
        RegisteredTarget target;
        std::uint64_t index = 0;
    };

    // The answer that a start has to confirm before it is registered.
    struct Question
    {
        ProxyRun run;
        std::uint64_t sequence = 0;
    };

    bool canDecide(TimePoint now) const;
    // The log index of the proposal; empty if the log refused it.
    std::optional<std::uint64_t> propose(const FleetCommand &command, FleetCallDone done,
                                         TimePoint now);
    void waitForCommit(std::uint64_t index, FleetCallDone done, TimePoint now);
    void recordTarget(const RecordTarget &report, FleetCallDone done, TimePoint now);
    void finishCalls(std::uint64_t index, FleetCallOutcome outcome);
    void failAllCalls();
    void expireCalls(TimePoint now);
    void poolerRegistered(const ProxyRun &run, TimePoint now);
    // Makes the next supervision due, at once unless the last one was just before in a large fleet.
    void requestSupervision(TimePoint now);
    void superviseGroups(TimePoint now);
    void answerRegistrations(TimePoint now);
    void superviseGroup(const PrimaryAuthority &authority, TimePoint now);
    void grantFirstAuthorities(TimePoint now);
    void revoke(const PrimaryAuthority &authority, const std::string &cause,
                ChangeCause changeCause, const FleetEventFields &evidence, TimePoint now);
    void recordKeptPrimary(const GrantAuthority &granted, TimePoint now);
    void deposeFormerPrimary(const RegisteredTarget &target);
    bool needsRelief(const GroupId &group, TimePoint now);
    bool reportsReplicaRole(const RegisteredTarget &primary, TimePoint now);
    PoolerRegistryPorts registryPorts();
    ViewSenderPorts viewPorts();
    ObserverRegistryPorts observerPorts();
    bool provesToRun(ConnectionId connection, const RenewLease &message);
    void delayPromotions(TimePoint now);
    void answerObserver(ConnectionId connection, const RenewLease &message, TimePoint now);
    PrimaryChangePorts changePorts(const GroupId &group);
    std::optional<TokenAnswer>
    answerTokens(const ProxyRun &run, const std::optional<TokenReport> &report, TimePoint now);
    void prepareTokens(TimePoint now);
    void countPoolers(TimePoint now);
    const std::map<GroupId, std::uint32_t> &namedGroups();
    bool isNamed(const GroupId &group);
    bool mayRegister(const RegisteredTarget &target);
    std::vector<RegisteredTarget> displacedBy(const RegisteredTarget &target);
    void ignoreAnnouncement(const RegisteredTarget &target, const std::string &cause,
                            const FleetCallDone &done);
    std::uint32_t syncReplicasOf(const GroupId &group);
    void probeTarget(const RegisteredTarget &target, TimePoint now);

    FleetSettings settings;
    FleetHooks hooks;
    FleetState fleet;
    LeaseTracker leases;
    PoolerRegistry registry;
    PositionTable positions;
    ViewSender views;
    ObserverRegistry observers;
    PrimaryFailureDetector detector;
    DepartedReplicas departed;
    bool leads = false;
    TimePoint wakeAt;
    // Time of the running advance(), or of the last one that supervised the groups.
    TimePoint advanceTime;
    // Registered runs whose renewal is not answered yet, with its sequence; when that is due, and
    // when it was done last.
    std::map<ProxyRun, std::uint64_t> registrations;
    TimePoint answerRegistrationsAt = TimePoint::max();
    TimePoint registrationsAnsweredAt;
    // When expired leases and poolers are looked for.
    TimePoint evictAt;
    // Latest announcement of each target, also if it changed nothing.
    std::map<TargetId, RegisteredTarget> lastAnnouncements;
    // The last state of each target that this leader proposed and that is not applied yet.
    std::map<TargetId, ProposedTarget> proposedTargets;
    std::map<std::uint64_t, std::vector<PendingCall>> calls;
    // By connection of the instance that took the announcements.
    std::map<ConnectionId, AnnouncementAnswers> announcementAnswers;
    // Asked once on a connection, so that renewals that cross a question raise no further ones.
    std::map<ConnectionId, Question> questions;
    std::uint64_t promotionsRequested = 0;
    // No promotion is requested before this, because another instance requested some.
    TimePoint promoteFrom;
    // Running primary changes, by group; empty unless this instance leads.
    std::map<GroupId, PrimaryChange> changes;
    // Deadline of the authority command proposed for each group; proposed again after it.
    std::map<GroupId, TimePoint> proposedUntil;
    std::map<GroupId, ChangeCause> changeCauses;
    // Since when each group has been reported as overloaded without a break, and when a primary
    // change because of overload began last.
    std::map<GroupId, TimePoint> overloadedSince;
    std::map<GroupId, TimePoint> relievedAt;
    std::map<TargetId, TimePoint> probeAt;
    // When a primary was first seen draining, and when it was last granted the authority back as no
    // replica could follow it.
    std::map<TargetId, TimePoint> drainingSince;
    std::map<TargetId, TimePoint> keptAt;
    // What FleetHooks::groups told of the configuration of this version.
    std::uint64_t groupsVersion = 0;
    std::map<GroupId, std::uint32_t> groups;
    // Empty if teams are not limited.
    std::optional<BudgetAllocator> budgets;
    // Version of the configuration whose limits the allocator applies.
    std::uint64_t limitsVersion = 0;
    // Since when a primary has reported itself as a replica.
    std::map<TargetId, TimePoint> replicaRoleSince;
};

} // namespace rhubarbweir
