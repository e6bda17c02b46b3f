// Property tests of leases and grants in virtual time: different clock rates, frozen, disconnected,
// restarted and draining holders, and changes of the limits and of the control leader.
#include "unit/control_fakes.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

const GroupId Group("g");
constexpr std::size_t TargetCount = 3;

// A reduced limit applies once every grant of the larger one has ended. Connections opened under it
// are gone once frozen proxies have resumed and databases have detected dead ones.
constexpr Duration MaxGrantLifetime = milliseconds(2700);
constexpr Duration MaxOpenLifetime = std::chrono::seconds(12);

std::string targetName(std::size_t index)
{
    return "target-" + std::to_string(index + 1);
}

// A proxy that always opens everything that its grant allows.
struct Holder
{
    std::string name;
    FailureDomainId domain;
    // Clock rate relative to that of the control instances.
    double speed = 1;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
    std::size_t control = 0;
    ConnectionId connection = 0;
    bool isFrozen = false;
    bool isDraining = false;
    std::map<std::uint64_t, TimePoint> sentAt;
    // On the proxy's own clock.
    TimePoint leaseEnd;
    GroupView view;
    // Open slots and connections by target, of the current run and of earlier runs.
    std::map<std::string, TargetShare> open;
    std::map<std::string, TargetShare> leftover;
    // Messages that arrived while the proxy was frozen.
    std::vector<std::function<void()>> inbox;
};

class GrantRun
{
public:
    explicit GrantRun(std::uint64_t seed)
        : simulation(seed)
        , controls(simulation, 3, milliseconds(50))
        , reportsUses(seed % 2 == 0)
    {
        this->controls.toProxy = [this](FakeControls::Instance &, ConnectionId connection,
                                        const ProxyReply &reply) {
            this->deliver(connection, reply);
        };
        for (std::size_t index = 0; index < 5; ++index)
            this->addHolder(index);
        for (std::size_t index = 0; index < TargetCount; ++index)
            this->simulation.every(milliseconds(250), [this, index] { this->announce(index); });
        this->simulation.every(milliseconds(20), [this] { this->check(); });
    }

    void injectFault()
    {
        Holder &holder = this->holders[this->simulation.pick(0, this->holders.size() - 1)];
        Holder *victim = &holder;
        const Duration duration = milliseconds(this->simulation.pick(50, 5000));
        switch (this->simulation.pick(0, 6)) {
        case 0:
            victim->isFrozen = true;
            this->simulation.after(duration, [this, victim] { this->resume(*victim); });
            return;
        case 1:
            this->simulation.cutOff(victim->name);
            this->simulation.after(duration,
                                   [this, victim] { this->simulation.heal(victim->name); });
            return;
        case 2:
            this->restart(*victim);
            return;
        case 3:
            victim->isDraining = !victim->isDraining;
            return;
        case 4:
            this->editLimits();
            return;
        case 5:
            this->controls.replaceLeader();
            return;
        default:
            this->partitionLeader(duration);
        }
    }

    // The old leader remains active, and the proxies can still reach it.
    void partitionLeader(Duration duration)
    {
        const bool isPartitioned =
            std::any_of(this->controls.instances.begin(), this->controls.instances.end(),
                        [](const auto &instance) { return instance.isPartitioned; });
        FakeControls::Instance *old = isPartitioned ? nullptr : this->controls.partitionLeader();
        if (old != nullptr)
            this->simulation.after(duration, [this, old] { this->controls.rejoin(*old); });
    }

    void recover()
    {
        for (FakeControls::Instance &instance : this->controls.instances)
            this->controls.rejoin(instance);
        for (Holder &holder : this->holders) {
            this->resume(holder);
            holder.isDraining = false;
            this->simulation.heal(holder.name);
        }
        this->simulation.runFor(std::chrono::seconds(11));
        this->checkComplete();
    }

    Simulation simulation;
    FakeControls controls;
    std::uint64_t changes = 0;

private:
    struct PastLimit
    {
        TargetLimits limit;
        TimePoint lastSeen;
    };

    TimePoint localTime(const Holder &holder) const
    {
        const auto elapsed = this->simulation.now().time_since_epoch();
        return TimePoint(std::chrono::nanoseconds(
            static_cast<std::int64_t>(static_cast<double>(elapsed.count()) * holder.speed)));
    }

    bool mayUseLease(const Holder &holder) const
    {
        return !holder.isFrozen && this->localTime(holder) < holder.leaseEnd;
    }

    void addHolder(std::size_t index)
    {
        Holder holder;
        holder.name = "proxy-" + std::to_string(index + 1);
        holder.domain = FailureDomainId("domain-" + std::to_string(index % 3));
        holder.speed = static_cast<double>(this->simulation.pick(9530, 10500)) / 10000;
        this->holders.push_back(holder);
        this->simulation.after(milliseconds(this->simulation.pick(1, 400)), [this, index] {
            this->simulation.every(milliseconds(400), [this, index] { this->renew(index); });
        });
    }

    void renew(std::size_t index)
    {
        Holder &holder = this->holders[index];
        if (holder.isFrozen)
            return;
        RenewLease message;
        message.proxy = InstanceId(holder.name);
        message.address = holder.name;
        message.failureDomain = holder.domain;
        message.incarnation = holder.incarnation;
        message.sequence = ++holder.sequence;
        message.revision = holder.revision;
        message.draining = holder.isDraining;
        if (!holder.sentAt.empty())
            holder.control = (holder.control + 1) % this->controls.instances.size();
        if (!holder.sentAt.empty() || holder.connection == 0)
            holder.connection = ++this->lastConnection;
        holder.sentAt = {{holder.sequence, this->localTime(holder)}};
        FakeControls::Instance *to = &this->controls.instances[holder.control];
        const ConnectionId connection = holder.connection;
        this->simulation.send(holder.name, to->name, [this, to, connection, message] {
            to->node->receiveFromProxy(connection, message, this->simulation.now());
        });
    }

    void deliver(ConnectionId connection, const ProxyReply &reply)
    {
        for (Holder &holder : this->holders) {
            if (holder.connection != connection)
                continue;
            Holder *to = &holder;
            this->simulation.send("control", holder.name, [this, to, connection, reply] {
                const auto action = [this, to, connection, reply] {
                    if (to->connection == connection)
                        this->receive(*to, reply);
                };
                if (to->isFrozen)
                    to->inbox.push_back(action);
                else
                    action();
            });
        }
    }

    void receive(Holder &holder, const ProxyReply &reply)
    {
        if (const auto *changed = std::get_if<ViewChanged>(&reply)) {
            this->applyDelta(holder, changed->delta);
        } else if (const auto *granted = std::get_if<LeaseGranted>(&reply)) {
            const auto sent = holder.sentAt.find(granted->sequence);
            if (sent == holder.sentAt.end())
                return;
            if (this->applyDelta(holder, granted->delta))
                holder.leaseEnd = std::max(holder.leaseEnd, sent->second + granted->leaseFor);
            holder.sentAt.clear();
        } else if (const auto *leader =
                       this->controls.find(std::get<LeaseRefused>(reply).leaderAddress)) {
            holder.control = leader - this->controls.instances.data();
            holder.connection = 0;
            holder.sentAt.clear();
        }
        this->updateConnections(holder);
    }

    bool applyDelta(Holder &holder, const ViewDelta &delta)
    {
        if (delta.toRevision < holder.revision || delta.fromRevision > holder.revision)
            return false;
        holder.revision = delta.toRevision;
        for (const GroupView &view : delta.groups) {
            if (view.revision >= holder.view.revision)
                holder.view = view;
        }
        return true;
    }

    TargetShares grantsOf(const Holder &holder) const
    {
        TargetShares shares;
        if (!this->mayUseLease(holder))
            return shares;
        for (const HolderView &shown : holder.view.holders) {
            if (shown.proxy.value != holder.name)
                continue;
            for (const TargetGrant &grant : shown.grants)
                shares[grant.target] = {grant.slots, grant.connections};
        }
        return shares;
    }

    // Opens and closes connections to match the grant, unless the proxy is frozen.
    void updateConnections(Holder &holder)
    {
        if (holder.isFrozen)
            return;
        holder.open.clear();
        for (const auto &[target, share] : this->grantsOf(holder))
            holder.open[target.value] = share;
    }

    void resume(Holder &holder)
    {
        holder.isFrozen = false;
        this->updateConnections(holder);
        const auto inbox = std::move(holder.inbox);
        holder.inbox.clear();
        for (const auto &action : inbox)
            action();
    }

    // The process dies. The databases detect this only after a delay.
    void restart(Holder &holder)
    {
        holder.inbox.clear();
        holder.isFrozen = false;
        holder.leftover = holder.open;
        holder.open.clear();
        ++holder.incarnation;
        holder.revision = 0;
        holder.view = GroupView();
        holder.leaseEnd = TimePoint();
        holder.sentAt.clear();
        holder.connection = 0;
        Holder *restarted = &holder;
        const std::uint64_t run = holder.incarnation;
        this->simulation.after(milliseconds(this->simulation.pick(1, 4000)), [restarted, run] {
            if (restarted->incarnation == run)
                restarted->leftover.clear();
        });
    }

    void announce(std::size_t index)
    {
        Announcement message;
        message.status.target = TargetId(targetName(index));
        message.status.group = Group;
        message.address = targetName(index);
        for (const Holder &holder : this->holders) {
            const TargetShare use = this->useOf(holder, targetName(index));
            if (use.connections != 0 && this->reportsUses)
                message.uses.push_back({InstanceId(holder.name), use.connections, use.slots});
        }
        for (FakeControls::Instance &control : this->controls.instances) {
            FakeControls::Instance *to = &control;
            const ConnectionId connection = 1000000 + index;
            this->simulation.send(targetName(index), control.name, [this, to, connection, message] {
                to->node->receiveFromTarget(connection, message, this->simulation.now());
            });
        }
    }

    static TargetShare useOf(const Holder &holder, const std::string &target)
    {
        TargetShare use;
        for (const auto *held : {&holder.open, &holder.leftover}) {
            const auto found = held->find(target);
            if (found == held->end())
                continue;
            use.slots += found->second.slots;
            use.connections += found->second.connections;
        }
        return use;
    }

    void editLimits()
    {
        FakeControls::Instance *leader = this->controls.leader();
        if (leader == nullptr)
            return;
        const std::uint64_t slots = this->simulation.pick(1, 6);
        TableEdit edit;
        edit.requestId = "edit-" + std::to_string(++this->edits);
        const auto &rows = leader->node->state().table().rows();
        for (const auto &[field, value] :
             {std::pair(SlotsField, slots), std::pair(ConnectionsField, slots * 10)}) {
            const RowKey key{RowScope::Group, Group.value, std::string(field)};
            const auto row = rows.find(key);
            edit.changes.push_back(
                {key, row == rows.end() ? 0 : row->second.version, std::to_string(value), false});
        }
        leader->node->receiveFromOperator(1, edit, this->simulation.now());
    }

    const ReplicatedState &committedState()
    {
        std::size_t newest = 0;
        for (std::size_t index = 0; index < this->controls.instances.size(); ++index) {
            if (this->controls.instances[index].applied > this->controls.instances[newest].applied)
                newest = index;
        }
        return this->controls.instances[newest].node->state();
    }

    // Records the applicable limit when it changes. A reduced limit applies once the grants have
    // shrunk.
    void recordLimit()
    {
        const ReplicatedState &state = this->committedState();
        const TargetLimits limit =
            effectiveLimits(state.table().rows(), Group, TargetId(targetName(0)));
        TargetShare committed;
        for (const GrantHolder &holder : state.grantsOf(Group).holders) {
            const auto share = holder.shares.find(TargetId(targetName(0)));
            if (share == holder.shares.end())
                continue;
            committed.slots += share->second.slots;
            committed.connections += share->second.connections;
        }
        const bool isBinding =
            committed.slots <= limit.slots && committed.connections <= limit.connections;
        const bool isNew = this->limits.empty() || this->limits.back().limit.slots != limit.slots
                           || this->limits.back().limit.connections != limit.connections;
        if (isNew)
            this->limits.push_back({limit, TimePoint()});
        this->limits.back().lastSeen = this->simulation.now();
        // Until the grants have shrunk, all recent limits remain applicable.
        for (PastLimit &past : this->limits) {
            if (!isBinding && past.lastSeen + MaxGrantLifetime >= this->simulation.now())
                past.lastSeen = this->simulation.now();
        }
    }

    // The highest limit within `window` before now.
    TargetLimits limitWithin(Duration window) const
    {
        TargetLimits greatest;
        for (const PastLimit &past : this->limits) {
            if (past.lastSeen + window < this->simulation.now())
                continue;
            greatest.slots = std::max(greatest.slots, past.limit.slots);
            greatest.connections = std::max(greatest.connections, past.limit.connections);
        }
        return greatest;
    }

    void check()
    {
        for (Holder &holder : this->holders)
            this->updateConnections(holder);
        this->recordLimit();
        const TargetLimits limit = this->limitWithin(MaxGrantLifetime);
        const TargetLimits openLimit = this->limitWithin(MaxOpenLifetime);
        for (std::size_t index = 0; index < TargetCount; ++index) {
            TargetShare granted;
            TargetShare open;
            for (const Holder &holder : this->holders) {
                const auto shares = this->grantsOf(holder);
                const auto share = shares.find(TargetId(targetName(index)));
                if (share != shares.end()) {
                    granted.slots += share->second.slots;
                    granted.connections += share->second.connections;
                }
                // The control instances cannot wait for use that databases do not report.
                if (this->reportsUses)
                    open.connections += useOf(holder, targetName(index)).connections;
            }
            cr_assert(granted.slots <= limit.slots, "%u slots exceed %u", granted.slots,
                      limit.slots);
            cr_assert(granted.connections <= limit.connections, "%u connections exceed %u",
                      granted.connections, limit.connections);
            cr_assert(open.connections <= openLimit.connections, "%u open connections exceed %u",
                      open.connections, limit.connections);
        }
    }

    // After recovery, the limits are fully granted to holders in two failure domains.
    void checkComplete()
    {
        const ReplicatedState &state = this->committedState();
        const GroupGrants &grants = state.grantsOf(Group);
        this->changes = grants.epoch;
        const TargetLimits limit =
            effectiveLimits(state.table().rows(), Group, TargetId(targetName(0)));
        const std::size_t expected = limit.slots == 1 ? 1 : 2;
        cr_assert(grants.holders.size() == expected, "unexpected number of holders: %zu",
                  grants.holders.size());
        if (expected == 2)
            cr_assert(grants.holders[0].failureDomain != grants.holders[1].failureDomain);
        for (std::size_t index = 0; index < TargetCount; ++index) {
            std::uint32_t slots = 0;
            for (const GrantHolder &holder : grants.holders)
                slots += holder.shares.at(TargetId(targetName(index))).slots;
            cr_assert(slots == limit.slots, "%u of %u slots are granted", slots, limit.slots);
        }
    }

    // In half of the runs, databases do not report use and only the leases protect the limits.
    bool reportsUses;
    std::vector<Holder> holders;
    ConnectionId lastConnection = 100;
    std::uint64_t edits = 0;
    std::vector<PastLimit> limits;
};

void runSeeds(std::uint64_t first, std::uint64_t last)
{
    std::uint64_t changes = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        GrantRun run(seed);
        run.simulation.runFor(std::chrono::seconds(3));
        for (int fault = 0; fault < 8; ++fault) {
            run.injectFault();
            run.simulation.runFor(milliseconds(run.simulation.pick(5, 1500)));
        }
        run.recover();
        changes += run.changes;
    }
    cr_assert(changes > 5 * (last - first), "too few grant changes for a meaningful test");
}

} // namespace

Test(grants, never_overlap_1,
     .description = "seeds 1-500: granted and open use never exceed the limit")
{
    runSeeds(1, 500);
}

Test(grants, never_overlap_2,
     .description = "seeds 501-1,000: granted and open use never exceed the limit")
{
    runSeeds(501, 1000);
}
