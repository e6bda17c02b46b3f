// Slots, connections, statuses and health of a group's targets, as one proxy uses them. Every
// statement goes through send(), which checks the lease.
#pragma once

#include "rhubarbweir/coordination/proxy/slot_tracker.hpp"
#include "rhubarbweir/coordination/proxy/target_connections.hpp"
#include "rhubarbweir/coordination/proxy/target_health.hpp"

namespace rhubarbweir {

struct TargetPoolHooks
{
    std::function<Generation()> nextGeneration;
    std::function<void(Generation, const std::string &address, const OpenConnection &)> openTarget;
    std::function<void(Generation, const TargetRequest &)> sendTarget;
    std::function<void(Generation)> closeTarget;
    std::function<void(ProxyEvent)> event;
};

class TargetPool
{
public:
    TargetPool(const ProxySettings &settings, TargetPoolHooks hooks, std::mt19937_64 &random);

    // `grants` is empty when this proxy no longer holds grants of the group.
    void setGroup(const GroupView &group, const std::vector<TargetGrant> &grants, TimePoint now);
    void setLease(TimePoint deadline, TimePoint now);
    bool isLeaseValid(TimePoint now) const;
    // Opens and closes connections as needed and detects silent targets.
    void maintain(TimePoint now);
    TimePoint nextDeadline(TimePoint now) const;

    void opened(Generation generation, const TargetStatus &status, TimePoint now);
    void refused(Generation generation, OpenFailure failure, TimePoint now);
    void closed(Generation generation, TimePoint now);
    void updateStatus(const TargetStatus &status, TimePoint now);

    bool canAcquire(const TargetId &target, TimePoint now) const;
    // Takes a slot and an idle connection; empty if either is missing.
    std::optional<Generation> acquire(const TargetId &target, TimePoint now);
    // False, without effect, if the lease has ended or the connection is not in use.
    bool send(Generation generation, const Statement &statement, TimePoint now);
    void probeAll(std::uint64_t probeId);
    // Returns the slot and the connection.
    void release(Generation generation);
    // Closes the connection; its slot is freed once closing completes.
    void discard(Generation generation);
    // Removes and returns the connections that were lost while in use, or closed because their
    // target is silent or the lease ended.
    std::vector<Generation> takeLostConnections();

    const TargetStatus *status(const TargetId &target) const;
    const TargetId *targetOf(Generation generation) const;
    ObservedState health(const TargetId &target) const { return this->targetHealth.state(target); }
    bool isConnected(const TargetId &target) const;
    // Whether the view's primary is not leaving and reports that role for the view's term.
    bool hasServingPrimary(const GroupView &view) const;
    const SlotTracker &slots() const { return this->slotTracker; }
    std::size_t connectionCount() const { return this->connections.size(); }
    std::vector<TargetObservation> observations(TimePoint now) const;

private:
    void closeAll(TimePoint now);
    void handleSilentTarget(const TargetId &target);
    void report(ProxyEventKind kind, const TargetId &target, Generation generation);

    const ProxySettings &settings;
    TargetPoolHooks hooks;
    GroupId group;
    SlotTracker slotTracker;
    TargetConnections connections;
    TargetHealth targetHealth;
    std::map<TargetId, TargetStatus> statuses;
    // Target of each connection that occupies a slot.
    std::map<Generation, TargetId> connectionsWithSlot;
    std::vector<Generation> lostConnections;
    // ProxySettings::leaseEndMargin before the lease ends; from then on nothing is opened or sent.
    TimePoint usableUntil;
    // Last call of maintain(), to detect that this process was suspended.
    TimePoint lastMaintained;
};

} // namespace rhubarbweir
