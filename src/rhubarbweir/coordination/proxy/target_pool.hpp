// One proxy's use of the targets of a group: slots, connections, statuses and health. Every
// statement passes through send(), which checks the lease.
#pragma once

#include "rhubarbweir/coordination/proxy/slot_ledger.hpp"
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

    // `grants` is empty when this proxy holds nothing of the group any more.
    void setGroup(const GroupView &group, const std::vector<TargetGrant> &grants, TimePoint now);
    void setLease(TimePoint deadline, TimePoint now);
    bool leaseHolds(TimePoint now) const;
    // Opens, closes and watches connections.
    void maintain(TimePoint now);
    TimePoint nextDeadline(TimePoint now) const;

    void opened(Generation generation, const TargetStatus &status, TimePoint now);
    void refused(Generation generation, OpenFailure failure, TimePoint now);
    void closed(Generation generation, TimePoint now);
    void heard(const TargetStatus &status, TimePoint now);

    bool canAcquire(const TargetId &target, TimePoint now) const;
    // Takes a slot and an idle connection.
    std::optional<Generation> acquire(const TargetId &target, TimePoint now);
    // False, and nothing sent, when the lease ended or the connection is closing.
    bool send(Generation generation, const Statement &statement, TimePoint now);
    void probeAll(std::uint64_t probeId);
    // Gives the slot and the connection back.
    void release(Generation generation);
    // Closes the connection; its slot is free once the connection is gone.
    void discard(Generation generation);
    // Busy connections that were lost, or closed because of silence or the lease's end.
    std::vector<Generation> takeLost();

    const TargetStatus *status(const TargetId &target) const;
    const TargetId *targetOf(Generation generation) const;
    ObservedState health(const TargetId &target) const { return this->targetHealth.state(target); }
    bool isConnected(const TargetId &target) const;
    // The view's primary says of itself that it is the primary of the view's term.
    bool hasServingPrimary(const GroupView &view) const;
    const SlotLedger &slots() const { return this->ledger; }
    std::size_t connectionCount() const { return this->connections.size(); }
    std::vector<TargetObservation> observations(TimePoint now) const;

private:
    void closeAll(TimePoint now);
    void silence(const TargetId &target);
    void report(ProxyEventKind kind, const TargetId &target, Generation generation);

    const ProxySettings &settings;
    TargetPoolHooks hooks;
    GroupId group;
    SlotLedger ledger;
    TargetConnections connections;
    TargetHealth targetHealth;
    std::map<TargetId, TargetStatus> statuses;
    // Connections that hold a slot of their target.
    std::map<Generation, TargetId> slotHolders;
    std::vector<Generation> lost;
    // closeAllowance before the lease ends: nothing is opened or sent from then on.
    TimePoint workUntil;
    // Last call of maintain(), to notice that this process stood still.
    TimePoint lastMaintained;
};

} // namespace rhubarbweir
