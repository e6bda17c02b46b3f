// Simulated database group, and proxies that write to it, for failover tests.
#pragma once

#include "unit/control_fakes.hpp"

#include <criterion/criterion.h>

namespace rhubarbweir::fakes {

struct FakeEntry
{
    std::uint64_t term = 0;
    // 0 for the empty first entry of a term.
    std::uint64_t write = 0;
};

// A database with a replicated log, which survives a stop.
struct FakeTarget
{
    TargetId id;
    FailureDomainId domain;
    TargetRole role = TargetRole::Replica;
    std::uint64_t adoptedTerm = 0;
    std::vector<FakeEntry> log;
    // Index of the target that it replicates from; -1 if there is none.
    int source = -1;

    LogPosition received() const
    {
        return this->log.empty() ? LogPosition{}
                                 : LogPosition{this->log.back().term, this->log.size()};
    }
};

// A proxy that holds a grant and writes to the primary in its view.
struct FakeProxy
{
    struct Pending
    {
        std::uint64_t term = 0;
        std::uint64_t position = 0;
        std::uint64_t write = 0;
    };

    std::string name;
    FailureDomainId domain;
    std::size_t control = 0;
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
    GroupView view;
    std::map<std::uint64_t, TimePoint> sentAt;
    TimePoint leaseEnd;
    // Latest status of each target.
    std::map<std::size_t, TargetStatus> statuses;
    std::map<std::size_t, TimePoint> lastHeard;
    std::vector<Pending> pending;
};

// Three control instances, three databases and two proxies, in three failure domains.
class FakeGroup
{
public:
    explicit FakeGroup(std::uint64_t seed)
        : simulation(seed)
        , controls(simulation, 3)
    {
        this->controls.toTarget = [this](FakeControls::Instance &from, ConnectionId connection,
                                         const TargetOrder &order) {
            this->deliverOrder(from, connection, order);
        };
        this->controls.toProxy = [this](FakeControls::Instance &from, ConnectionId connection,
                                        const ProxyReply &reply) {
            this->deliverReply(from, connection, reply);
        };
        for (std::size_t index = 0; index < 3; ++index)
            this->addTarget(index);
        for (std::size_t index = 0; index < 2; ++index)
            this->addProxy(index);
        this->simulation.every(milliseconds(20), [this] { this->watchConnections(); });
    }

    const GroupRecord *record()
    {
        FakeControls::Instance *leader = this->controls.leader();
        return leader == nullptr ? nullptr : leader->node->state().findGroup(this->group);
    }
    bool isSteady()
    {
        return this->record() != nullptr && this->record()->phase == GroupPhase::Steady;
    }
    int indexOf(const TargetId &target) const
    {
        for (std::size_t index = 0; index < this->targets.size(); ++index) {
            if (this->targets[index].id == target)
                return static_cast<int>(index);
        }
        return -1;
    }

    void stopTarget(std::size_t index)
    {
        FakeTarget &target = this->targets[index];
        this->simulation.stop(target.id.value);
        target.role = TargetRole::Replica;
        target.source = -1;
        // A connection reset is detected immediately.
        this->simulation.after(milliseconds(2), [this] { this->watchConnections(); });
    }

    Simulation simulation;
    FakeControls controls;
    GroupId group{"g"};
    std::vector<FakeTarget> targets;
    std::vector<FakeProxy> proxies;
    // Term of each write that a proxy would have answered with Ok.
    std::map<std::uint64_t, std::uint64_t> confirmed;
    // Target that confirmed writes, by term.
    std::map<std::uint64_t, TargetId> confirmedBy;
    TimePoint lastConfirmed;
    std::vector<Duration> confirmGaps;
    std::uint64_t writes = 0;

private:
    struct Link
    {
        ConnectionId connection = 0;
        std::uint64_t epoch = 0;
        bool isUp = false;
    };

    void addTarget(std::size_t index)
    {
        FakeTarget target;
        target.id = TargetId("target-" + std::to_string(index + 1));
        target.domain = FailureDomainId("domain-" + std::to_string(index + 1));
        this->targets.push_back(target);
        this->simulation.after(milliseconds(this->simulation.pick(1, 250)), [this, index] {
            this->announce(index);
            this->simulation.every(milliseconds(250), [this, index] { this->announce(index); });
        });
        this->simulation.every(milliseconds(10), [this, index] { this->replicate(index); });
    }

    void addProxy(std::size_t index)
    {
        FakeProxy proxy;
        proxy.name = "proxy-" + std::to_string(index + 1);
        proxy.domain = FailureDomainId("domain-" + std::to_string(index + 1));
        this->proxies.push_back(proxy);
        this->simulation.after(milliseconds(this->simulation.pick(1, 400)), [this, index] {
            this->simulation.every(milliseconds(400), [this, index] { this->renew(index); });
        });
        this->simulation.every(milliseconds(20), [this, index] { this->write(index); });
    }

    // The connection of `node` to a control instance. Replaced after each loss.
    Link &link(FakeControls::Instance &control, const std::string &node)
    {
        Link &link = this->links[control.name + ">" + node];
        const std::uint64_t epoch = this->simulation.linkEpoch(control.name, node);
        if (link.connection == 0 || link.epoch != epoch || !link.isUp) {
            if (link.isUp)
                control.node->connectionClosed(link.connection, this->simulation.now());
            link = {++this->lastConnection, epoch, true};
        }
        return link;
    }

    // Stopped nodes reset their connections; disconnected nodes are merely silent.
    void watchConnections()
    {
        for (FakeControls::Instance &control : this->controls.instances) {
            for (const FakeTarget &target : this->targets) {
                Link &link = this->links[control.name + ">" + target.id.value];
                if (!link.isUp || this->simulation.isUp(target.id.value)
                    || this->simulation.isCut(target.id.value)
                    || this->simulation.isCut(control.name))
                    continue;
                link.isUp = false;
                control.node->connectionClosed(link.connection, this->simulation.now());
            }
        }
    }

    TargetStatus statusOf(const FakeTarget &target) const
    {
        TargetStatus status;
        status.target = target.id;
        status.group = this->group;
        status.role = target.role;
        status.adoptedTerm = target.adoptedTerm;
        status.received = target.received();
        status.applied = status.received;
        return status;
    }

    void report(std::size_t index, FakeControls::Instance &control, const TargetReport &report)
    {
        FakeControls::Instance *to = &control;
        const std::string from = this->targets[index].id.value;
        this->simulation.send(from, control.name, [this, to, from, report] {
            to->node->receiveFromTarget(this->link(*to, from).connection, report,
                                        this->simulation.now());
        });
    }

    void announce(std::size_t index)
    {
        const FakeTarget &target = this->targets[index];
        for (FakeControls::Instance &control : this->controls.instances)
            this->report(index, control,
                         Announcement{statusOf(target), target.id.value, target.domain, {}});
        this->sendStatusToProxies(index);
    }

    void sendStatusToProxies(std::size_t index)
    {
        const TargetStatus status = this->statusOf(this->targets[index]);
        for (FakeProxy &proxy : this->proxies) {
            FakeProxy *to = &proxy;
            this->simulation.send(status.target.value, proxy.name, [this, to, index, status] {
                to->statuses[index] = status;
                to->lastHeard[index] = this->simulation.now();
                this->confirm(*to);
            });
        }
    }

    void deliverOrder(FakeControls::Instance &from, ConnectionId connection,
                      const TargetOrder &order)
    {
        for (std::size_t index = 0; index < this->targets.size(); ++index) {
            const std::string name = this->targets[index].id.value;
            if (this->links[from.name + ">" + name].connection != connection)
                continue;
            FakeControls::Instance *control = &from;
            this->simulation.send(from.name, name, [this, control, index, order] {
                this->applyOrder(*control, index, order);
            });
        }
    }

    void applyOrder(FakeControls::Instance &control, std::size_t index, const TargetOrder &order)
    {
        FakeTarget &target = this->targets[index];
        if (const auto *fence = std::get_if<FenceTarget>(&order)) {
            this->adopt(target, fence->term);
            this->report(index, control, TargetFenced{this->statusOf(target)});
        } else if (const auto *promote = std::get_if<PromoteTarget>(&order)) {
            this->promote(target, promote->term);
            this->report(index, control, TargetPromoted{this->statusOf(target)});
        } else if (const auto *follow = std::get_if<FollowPrimary>(&order)) {
            this->adopt(target, follow->term);
            if (target.adoptedTerm == follow->term && target.role == TargetRole::Replica)
                target.source = this->indexOf(follow->primary.target);
        } else {
            this->report(index, control, this->statusOf(target));
        }
        this->sendStatusToProxies(index);
    }

    void adopt(FakeTarget &target, std::uint64_t term)
    {
        if (term <= target.adoptedTerm)
            return;
        target.adoptedTerm = term;
        target.role = TargetRole::Replica;
        target.source = -1;
    }

    void promote(FakeTarget &target, std::uint64_t term)
    {
        if (target.adoptedTerm != term || target.role == TargetRole::Primary)
            return;
        this->checkHoldsConfirmed(target);
        target.role = TargetRole::Primary;
        target.log.push_back({term, 0});
    }

public:
    void checkHoldsConfirmed(const FakeTarget &target) const
    {
        std::set<std::uint64_t> held;
        for (const FakeEntry &entry : target.log)
            held.insert(entry.write);
        for (const auto &[write, term] : this->confirmed)
            cr_assert(held.count(write) != 0, "write %lu of term %lu is missing from the log of %s",
                      write, term, target.id.value.c_str());
    }

private:
    // Copies a few entries from the source and discards a diverged tail.
    void replicate(std::size_t index)
    {
        FakeTarget &target = this->targets[index];
        if (target.source < 0)
            return;
        const FakeTarget &source = this->targets[target.source];
        if (!this->simulation.isConnected(target.id.value, source.id.value)
            || source.role != TargetRole::Primary || source.adoptedTerm != target.adoptedTerm)
            return;
        std::size_t same = 0;
        while (same < std::min(target.log.size(), source.log.size())
               && target.log[same].term == source.log[same].term
               && target.log[same].write == source.log[same].write)
            ++same;
        if (same == source.log.size() && same == target.log.size())
            return;
        target.log.resize(same);
        const std::size_t count =
            std::min<std::size_t>(source.log.size() - same, this->simulation.pick(0, 8));
        target.log.insert(target.log.end(), source.log.begin() + same,
                          source.log.begin() + same + count);
        this->sendStatusToProxies(index);
    }

    void renew(std::size_t index)
    {
        FakeProxy &proxy = this->proxies[index];
        RenewLease message;
        message.proxy = InstanceId(proxy.name);
        message.address = proxy.name;
        message.failureDomain = proxy.domain;
        message.incarnation = 1;
        message.sequence = ++proxy.sequence;
        message.revision = proxy.revision;
        for (std::size_t target = 0; target < this->targets.size(); ++target)
            message.observations.push_back(this->observe(proxy, target));
        // If the last renewal was not answered, the next instance is tried.
        if (!proxy.sentAt.empty())
            proxy.control = (proxy.control + 1) % this->controls.instances.size();
        proxy.sentAt.clear();
        proxy.sentAt[proxy.sequence] = this->simulation.now();
        FakeControls::Instance *to = &this->controls.instances[proxy.control];
        const std::string name = proxy.name;
        this->simulation.send(name, to->name, [this, to, name, message] {
            to->node->receiveFromProxy(this->link(*to, name).connection, message,
                                       this->simulation.now());
        });
    }

    TargetObservation observe(const FakeProxy &proxy, std::size_t index)
    {
        const FakeTarget &target = this->targets[index];
        const auto heard = proxy.lastHeard.find(index);
        ObservedState state = ObservedState::Alive;
        if (!this->simulation.isUp(target.id.value) && !this->simulation.isCut(proxy.name))
            state = ObservedState::Broken;
        else if (heard == proxy.lastHeard.end()
                 || this->simulation.now() - heard->second > milliseconds(500))
            state = ObservedState::Silent;
        return {target.id, this->group, state};
    }

    void deliverReply(FakeControls::Instance &from, ConnectionId connection,
                      const ProxyReply &reply)
    {
        for (FakeProxy &proxy : this->proxies) {
            if (this->links[from.name + ">" + proxy.name].connection != connection)
                continue;
            FakeProxy *to = &proxy;
            this->simulation.send(from.name, proxy.name,
                                  [this, to, reply] { this->receiveReply(*to, reply); });
        }
    }

    void receiveReply(FakeProxy &proxy, const ProxyReply &reply)
    {
        if (const auto *granted = std::get_if<LeaseGranted>(&reply)) {
            const auto sent = proxy.sentAt.find(granted->sequence);
            if (sent == proxy.sentAt.end())
                return;
            if (this->applyDelta(proxy, granted->delta))
                proxy.leaseEnd = std::max(proxy.leaseEnd, sent->second + granted->leaseFor);
            proxy.sentAt.erase(proxy.sentAt.begin(), std::next(sent));
        } else if (const auto *refused = std::get_if<LeaseRefused>(&reply)) {
            const auto *leader = this->controls.find(refused->leaderAddress);
            proxy.sentAt.clear();
            if (leader != nullptr)
                proxy.control = leader - this->controls.instances.data();
        } else {
            this->applyDelta(proxy, std::get<ViewChanged>(reply).delta);
        }
    }

    bool applyDelta(FakeProxy &proxy, const ViewDelta &delta)
    {
        if (delta.toRevision < proxy.revision || delta.fromRevision > proxy.revision)
            return false;
        proxy.revision = delta.toRevision;
        for (const GroupView &view : delta.groups) {
            if (view.revision < proxy.view.revision)
                continue;
            cr_assert(view.term >= proxy.view.term, "the term of the view decreased");
            proxy.view = view;
        }
        return true;
    }

    void write(std::size_t index)
    {
        FakeProxy &proxy = this->proxies[index];
        const int primary = this->indexOf(proxy.view.primary);
        if (this->simulation.now() >= proxy.leaseEnd || primary < 0 || proxy.view.writesHeld)
            return;
        const FakeProxy::Pending request{proxy.view.term, 0, ++this->writes};
        FakeProxy *from = &proxy;
        this->simulation.send(
            proxy.name, this->targets[primary].id.value, [this, from, primary, request] {
                FakeTarget &target = this->targets[primary];
                if (target.role != TargetRole::Primary || target.adoptedTerm != request.term)
                    return;
                target.log.push_back({request.term, request.write});
                FakeProxy::Pending pending = request;
                pending.position = target.log.size();
                this->sendStatusToProxies(primary);
                this->simulation.send(target.id.value, from->name, [this, from, pending] {
                    from->pending.push_back(pending);
                    this->confirm(*from);
                });
            });
    }

    // Confirms writes that a majority reports as received in their term.
    void confirm(FakeProxy &proxy)
    {
        std::vector<FakeProxy::Pending> waiting;
        for (const FakeProxy::Pending &pending : proxy.pending) {
            const auto holds =
                std::count_if(proxy.statuses.begin(), proxy.statuses.end(), [&](const auto &entry) {
                    const TargetStatus &status = entry.second;
                    return status.adoptedTerm == pending.term
                           && status.received.term == pending.term
                           && status.received.position >= pending.position;
                });
            if (holds < 2) {
                waiting.push_back(pending);
                continue;
            }
            this->confirmed[pending.write] = pending.term;
            if (this->lastConfirmed != TimePoint())
                this->confirmGaps.push_back(std::chrono::duration_cast<Duration>(
                    this->simulation.now() - this->lastConfirmed));
            this->lastConfirmed = this->simulation.now();
            this->recordConfirmingPrimary(pending);
        }
        proxy.pending = std::move(waiting);
    }

    void recordConfirmingPrimary(const FakeProxy::Pending &pending)
    {
        for (const FakeTarget &target : this->targets) {
            if (target.role != TargetRole::Primary || target.adoptedTerm != pending.term)
                continue;
            const auto [first, isNew] = this->confirmedBy.try_emplace(pending.term, target.id);
            cr_assert(first->second == target.id, "two primaries in term %lu", pending.term);
        }
    }

    std::map<std::string, Link> links;
    ConnectionId lastConnection = 0;
};

} // namespace rhubarbweir::fakes
