// The decisions of a fleet's control instance: the operators' configuration, the registration of
// targets, leases and views of poolers, and who is primary. Only the leader of the quorum log
// decides; the others redirect.
//
// A pooler may use a primary only under the authority in a view that it holds under a lease. An
// authority is taken away by a log entry; a change goes on once every pooler has reported a view
// with that entry, or its older leases have ended.
#pragma once

#include "rhubarbweir/coordination/fleet/pooler_registry.hpp"
#include "rhubarbweir/coordination/fleet/primary_change.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace rhubarbweir {

class FleetController
{
public:
    FleetController(FleetSettings settings, FleetHooks hooks);

    // The quorum log committed a payload.
    void applied(std::uint64_t index, const FleetCommand &command, TimePoint now);
    void restored(const FleetState::Snapshot &snapshot, TimePoint now);
    void leadershipChanged(TimePoint now);
    void advance(TimePoint now);
    // When advance() is due.
    TimePoint nextDeadline() const { return this->wakeAt; }

    void receiveFromPooler(ConnectionId connection, const RenewLease &message, TimePoint now);
    void connectionClosed(ConnectionId connection);

    // A target announced itself. `done` may run from within the call.
    void targetAnnounced(const RegisteredTarget &target, FleetCallDone done, TimePoint now);
    void targetLeft(const TargetId &target, FleetCallDone done, TimePoint now);
    // An operator sent a valid document.
    void configurationSent(std::uint64_t version, OpaqueBytes document, FleetCallDone done,
                           TimePoint now);
    // The newest committed document; empty when this instance cannot be sure of it.
    std::optional<ConfigurationDocument> configuration(TimePoint now) const;
    std::string leaderAddress() const { return this->hooks.leaderAddress(); }

    void probed(const RegisteredTarget &target, const std::optional<TargetProbe> &result,
                TimePoint now);
    void promotionAnswered(const PromotionRequest &request, PromotionOutcome outcome,
                           TimePoint now);

    const FleetState &state() const { return this->fleet; }

private:
    struct PendingCall
    {
        FleetCallDone done;
        TimePoint deadline;
    };

    bool canDecide(TimePoint now) const;
    void propose(const FleetCommand &command, FleetCallDone done, TimePoint now);
    void finishCalls(std::uint64_t index, FleetCallOutcome outcome);
    void failAllCalls();
    void expireCalls(TimePoint now);
    void poolerRegistered(const ProxyRun &run, TimePoint now);
    void sendLease(ProxyLease &lease, std::uint64_t sequence, std::uint64_t configurationVersion,
                   TimePoint now);
    void pushView(TimePoint now);
    void superviseGroups(TimePoint now);
    void superviseGroup(const PrimaryAuthority &authority, TimePoint now);
    void grantFirstAuthorities(TimePoint now);
    void revoke(const PrimaryAuthority &authority, const std::string &cause,
                ChangeCause changeCause, const FleetEventFields &evidence, TimePoint now);
    bool needsRelief(const GroupId &group, TimePoint now);
    bool deniesRole(const RegisteredTarget &primary, TimePoint now);
    PoolerRegistryPorts registryPorts();
    PrimaryChangePorts changePorts(const GroupId &group);
    void probeSuspected(const RegisteredTarget &target, TimePoint now);

    FleetSettings settings;
    FleetHooks hooks;
    FleetState fleet;
    LeaseBook leases;
    PoolerRegistry registry;
    PrimaryWatch watch;
    bool leads = false;
    TimePoint wakeAt;
    // Time of the running advance().
    TimePoint roundTime;
    // Configuration version that each pooler reported last.
    std::map<ProxyRun, std::uint64_t> versions;
    // Newest call of each target, also those that changed nothing.
    std::map<TargetId, RegisteredTarget> heard;
    std::map<std::uint64_t, std::vector<PendingCall>> calls;
    // Running changes, by group; only the leader has any.
    std::map<GroupId, PrimaryChange> changes;
    // Groups with a proposed authority command, until when it is waited for.
    std::map<GroupId, TimePoint> proposedUntil;
    std::map<GroupId, ChangeCause> changeCauses;
    // Since when a primary was reported as overloaded without a break, and when its group was
    // relieved last.
    std::map<GroupId, TimePoint> overloadedSince;
    std::map<GroupId, TimePoint> relievedAt;
    std::map<TargetId, TimePoint> probeAt;
    // When a primary was first seen to leave.
    std::map<TargetId, TimePoint> drainingSince;
    // Since when a primary's own reports say that it is a replica.
    std::map<TargetId, TimePoint> deniesSince;
};

} // namespace rhubarbweir
