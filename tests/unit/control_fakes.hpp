// Simulated network and quorum log for tests of ControlNode in virtual time, deterministic for a
// seed.
#pragma once

#include "rhubarbweir/coordination/control/control_node.hpp"
#include "rhubarbweir/protocol/state_codec.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbweir::fakes {

using std::chrono::milliseconds;

// Virtual time and a network in which nodes can be disconnected, stopped and restarted.
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : random(seed)
    {
    }

    TimePoint now() const { return this->currentTime; }

    std::int64_t pick(std::int64_t least, std::int64_t greatest)
    {
        return std::uniform_int_distribution<std::int64_t>(least, greatest)(this->random);
    }

    void after(Duration delay, std::function<void()> action)
    {
        this->events.emplace(this->currentTime + delay, std::move(action));
    }

    void every(Duration interval, std::function<void()> action)
    {
        this->after(interval, [this, interval, action] {
            action();
            this->every(interval, action);
        });
    }

    void runFor(Duration duration)
    {
        const TimePoint end = this->currentTime + duration;
        while (!this->events.empty() && this->events.begin()->first <= end) {
            const auto first = this->events.begin();
            this->currentTime = std::max(this->currentTime, first->first);
            const auto action = std::move(first->second);
            this->events.erase(first);
            action();
        }
        this->currentTime = end;
    }

    bool isUp(const std::string &node) const { return this->down.count(node) == 0; }
    bool isCut(const std::string &node) const { return this->cut.count(node) != 0; }
    bool isConnected(const std::string &a, const std::string &b) const
    {
        return this->isUp(a) && this->isUp(b) && !this->isCut(a) && !this->isCut(b);
    }

    // Delivers messages between two nodes in order. Messages are lost if either node is
    // disconnected or stopped when they are sent, or by the time they arrive.
    void send(const std::string &from, const std::string &to, std::function<void()> action)
    {
        if (!this->isConnected(from, to))
            return;
        TimePoint &last = this->lastDelivery[from + ">" + to];
        last = std::max(last, this->currentTime + this->delay());
        const std::uint64_t link = this->linkEpoch(from, to);
        this->events.emplace(last, [this, from, to, link, action] {
            if (this->isConnected(from, to) && link == this->linkEpoch(from, to))
                action();
        });
    }

    // Increases whenever the connections between the two nodes were lost.
    std::uint64_t linkEpoch(const std::string &a, const std::string &b)
    {
        return this->epochs[a] + this->epochs[b];
    }

    void cutOff(const std::string &node)
    {
        this->cut.insert(node);
        ++this->epochs[node];
    }
    void heal(const std::string &node) { this->cut.erase(node); }
    void stop(const std::string &node)
    {
        this->down.insert(node);
        ++this->epochs[node];
    }
    void start(const std::string &node) { this->down.erase(node); }

    std::mt19937_64 random;
    // Maximum additional one-way delay, applied to one in `slowMessageInterval` messages on
    // average.
    Duration maxSlowDelay{0};
    int slowMessageInterval = 0;

private:
    Duration delay()
    {
        Duration result = milliseconds(1) + Duration(this->pick(0, 3000));
        if (this->slowMessageInterval != 0 && this->pick(1, this->slowMessageInterval) == 1)
            result += Duration(this->pick(0, this->maxSlowDelay.count()));
        return result;
    }

    TimePoint currentTime = TimePoint() + std::chrono::hours(1);
    std::multimap<TimePoint, std::function<void()>> events;
    std::set<std::string> down;
    std::set<std::string> cut;
    std::map<std::string, std::uint64_t> epochs;
    std::map<std::string, TimePoint> lastDelivery;
};

// Control instances that share one list of committed payloads. The leader can be lost.
class FakeControls
{
public:
    struct Instance
    {
        std::string name;
        FailureDomainId domain;
        std::unique_ptr<ControlNode> node;
        // The instance's own belief. A disconnected leader continues to believe that it leads.
        bool believesItLeads = false;
        std::uint64_t term = 0;
        TimePoint leadershipStart;
        TimePoint leaseEnd;
        std::size_t applied = 0;
        // Disconnected from the other control instances; proxies may still reach it.
        bool isPartitioned = false;
    };

    static constexpr Duration QuorumLease = milliseconds(300);

    FakeControls(Simulation &sharedSimulation, int count, Duration tickInterval = milliseconds(20))
        : simulation(sharedSimulation)
    {
        for (int index = 0; index < count; ++index)
            this->add(index, {});
        this->simulation.every(tickInterval, [this] { this->tick(); });
        this->elect(0);
    }

    void tick()
    {
        for (Instance &instance : this->instances) {
            if (this->simulation.isUp(instance.name))
                instance.node->advance(this->simulation.now());
        }
    }

    Instance *leader()
    {
        return this->leaderIndex < 0 ? nullptr : &this->instances[this->leaderIndex];
    }
    bool isCurrentLeader(const Instance &instance) const
    {
        return this->leaderIndex >= 0 && &instance == &this->instances[this->leaderIndex];
    }

    // The leader loses its quorum. Another instance takes over after the lease has ended.
    void replaceLeader()
    {
        if (this->leaderIndex < 0)
            return;
        Instance &old = this->instances[this->leaderIndex];
        old.leaseEnd = this->simulation.now() + QuorumLease;
        int next = this->leaderIndex;
        do {
            next = static_cast<int>((next + 1) % this->instances.size());
        } while (this->instances[next].isPartitioned && next != this->leaderIndex);
        this->leaderIndex = -1;
        // Uncommitted proposals may be committed by the next leader or lost.
        if (this->simulation.pick(0, 1) == 0)
            this->pending.clear();
        this->simulation.after(QuorumLease + milliseconds(this->simulation.pick(10, 300)),
                               [this, next] {
                                   for (Instance &instance : this->instances) {
                                       const bool knows = !this->simulation.isCut(instance.name)
                                                          && !instance.isPartitioned;
                                       if (instance.believesItLeads && knows)
                                           this->stepDown(instance);
                                   }
                                   this->elect(next);
                               });
    }

    void stepDown(Instance &instance)
    {
        instance.believesItLeads = false;
        instance.node->leadershipChanged(this->simulation.now());
    }

    // Partitions the leader from the other instances, which elect another one.
    Instance *partitionLeader()
    {
        Instance *old = this->leader();
        if (old == nullptr)
            return nullptr;
        old->isPartitioned = true;
        this->replaceLeader();
        return old;
    }

    // Called after a disconnection or partition: the instance learns of the current leader and the
    // missed entries.
    void rejoin(Instance &instance)
    {
        instance.isPartitioned = false;
        if (instance.believesItLeads && !this->isCurrentLeader(instance))
            this->stepDown(instance);
        this->deliver(instance);
    }

    Instance *find(const std::string &name)
    {
        for (Instance &instance : this->instances) {
            if (instance.name == name)
                return &instance;
        }
        return nullptr;
    }

    std::vector<Instance> instances;
    std::function<void(Instance &, ConnectionId, const ProxyReply &)> toProxy;
    std::function<void(Instance &, ConnectionId, const TargetOrder &)> toTarget;
    std::function<void(Instance &, ConnectionId, const OperatorReply &)> toOperator;
    std::function<void(Instance &, const ControlEvent &)> onEvent;
    std::vector<std::string> committed;

private:
    void add(int index, ControlSettings settings)
    {
        this->instances.emplace_back();
        Instance &instance = this->instances.back();
        instance.name = "control-" + std::to_string(index + 1);
        instance.domain = FailureDomainId("domain-" + std::to_string(index + 1));
        settings.instance = InstanceId(instance.name);
        settings.address = instance.name;
        settings.failureDomain = instance.domain;
        const std::size_t at = this->instances.size() - 1;
        instance.node = std::make_unique<ControlNode>(settings, this->portFor(at), stateCodec(),
                                                      this->hooksFor(at), index);
    }

    QuorumPort portFor(std::size_t at)
    {
        QuorumPort port;
        port.propose = [this, at](std::string payload, TimePoint) {
            return this->propose(this->instances[at], std::move(payload));
        };
        port.isLeader = [this, at] {
            return this->instances[at].believesItLeads;
        };
        port.leader = [this, at] {
            return InstanceId(this->leaderKnownTo(this->instances[at]));
        };
        port.leaderAddress = [this, at] {
            return this->leaderKnownTo(this->instances[at]);
        };
        port.leaseEnd = [this, at] {
            const Instance &instance = this->instances[at];
            return this->isCurrentLeader(instance) ? this->simulation.now() + QuorumLease
                                                   : instance.leaseEnd;
        };
        port.leadershipStart = [this, at] {
            return this->instances[at].leadershipStart;
        };
        port.term = [this, at] {
            return this->instances[at].term;
        };
        port.voters = [] {
            return std::vector<VoterStatus>();
        };
        return port;
    }

    ControlHooks hooksFor(std::size_t at)
    {
        ControlHooks hooks;
        hooks.sendToProxy = [this, at](ConnectionId connection, const ProxyReply &reply) {
            if (this->toProxy)
                this->toProxy(this->instances[at], connection, reply);
        };
        hooks.sendToTarget = [this, at](ConnectionId connection, const TargetOrder &message) {
            if (this->toTarget)
                this->toTarget(this->instances[at], connection, message);
        };
        hooks.sendToOperator = [this, at](ConnectionId connection, const OperatorReply &reply) {
            if (this->toOperator)
                this->toOperator(this->instances[at], connection, reply);
        };
        hooks.sendToControl = [this, at](const InstanceId &to, const ObserverReport &message) {
            const std::string from = this->instances[at].name;
            this->simulation.send(from, to.value, [this, from, to, message] {
                if (Instance *receiver = this->find(to.value))
                    receiver->node->receiveFromControl(InstanceId(from), message,
                                                       this->simulation.now());
            });
        };
        hooks.event = [this, at](const ControlEvent &event) {
            if (this->onEvent)
                this->onEvent(this->instances[at], event);
        };
        return hooks;
    }

    std::string leaderKnownTo(const Instance &instance)
    {
        if (instance.believesItLeads)
            return instance.name;
        if (this->leaderIndex < 0 || this->simulation.isCut(instance.name)
            || instance.isPartitioned)
            return "";
        return this->instances[this->leaderIndex].name;
    }

    absl::StatusOr<std::uint64_t> propose(Instance &instance, std::string payload)
    {
        if (!instance.believesItLeads)
            return absl::UnavailableError("not the leader");
        const std::uint64_t index = this->committed.size() + this->pending.size() + 1;
        if (!this->isCurrentLeader(instance))
            return index;
        this->pending.push_back(std::move(payload));
        this->simulation.after(milliseconds(this->simulation.pick(3, 9)),
                               [this] { this->commit(); });
        return index;
    }

    void commit()
    {
        if (this->pending.empty() || this->leaderIndex < 0)
            return;
        this->committed.push_back(std::move(this->pending.front()));
        this->pending.erase(this->pending.begin());
        for (Instance &instance : this->instances) {
            Instance *to = &instance;
            const Duration lag = this->isCurrentLeader(instance)
                                     ? Duration(0)
                                     : milliseconds(this->simulation.pick(1, 60));
            this->simulation.after(lag, [this, to] { this->deliver(*to); });
        }
    }

    void deliver(Instance &instance)
    {
        if (this->simulation.isCut(instance.name) || !this->simulation.isUp(instance.name)
            || instance.isPartitioned)
            return;
        while (instance.applied < this->committed.size()) {
            const std::size_t index = ++instance.applied;
            instance.node->applied(index, this->committed[index - 1], this->simulation.now());
        }
    }

    void elect(int index)
    {
        this->leaderIndex = index;
        Instance &instance = this->instances[index];
        instance.believesItLeads = true;
        instance.term = ++this->electedTerm;
        instance.leadershipStart = this->simulation.now();
        // Entries of earlier leaders are known to be committed only after a round of the new
        // leader.
        instance.node->leadershipChanged(this->simulation.now());
        for (std::size_t each = 0; each < this->pending.size(); ++each)
            this->simulation.after(milliseconds(this->simulation.pick(3, 9)),
                                   [this] { this->commit(); });
    }

    Simulation &simulation;
    int leaderIndex = -1;
    std::uint64_t electedTerm = 0;
    // Proposed but not committed payloads.
    std::vector<std::string> pending;
};

} // namespace rhubarbweir::fakes
