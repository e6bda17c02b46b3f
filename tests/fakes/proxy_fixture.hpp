// Simulates proxies, one group of fake databases and a fake control in virtual time, and injects
// faults: lost messages, broken connections, suspended processes, failovers.
#pragma once

#include "fakes/fake_database.hpp"
#include "rhubarbweir/coordination/proxy/proxy_node.hpp"

#include <memory>

namespace rhubarbweir::fakes {

struct FixtureSettings
{
    std::vector<std::string> proxies = {"p1", "p2", "p3"};
    // Number of slots of every target that each holder is granted.
    std::map<std::string, std::uint32_t> slots = {{"p1", 2}, {"p2", 1}};
    FakeDatabase::Limits limits;
    std::uint32_t queueLimit = 128;
    std::size_t databases = 3;
    Duration hop = std::chrono::microseconds(1500);
    Duration openTime = std::chrono::milliseconds(10);
    Duration lag = std::chrono::milliseconds(20);
    Duration leaseFor = std::chrono::milliseconds(1500);
    std::function<void(ProxySettings &)> adjust;
};

class ProxyFixture
{
public:
    using Answered = std::function<void(CallerConnectionId, const CallerReply &)>;

    struct Proxy
    {
        InstanceId name;
        std::unique_ptr<ProxyNode> node;
        bool frozen = false;
        bool cutFromControl = false;
        std::vector<std::function<void()>> backlog;
        TimePoint timer = TimePoint::max();
    };

    VirtualTime time;
    std::mt19937_64 random;
    // Separate from `random`, so that other lag settings do not change the remaining random choices
    // of a seed.
    std::mt19937_64 lagRandom;
    FixtureSettings settings;
    std::map<TargetId, std::unique_ptr<FakeDatabase>> databases;
    std::map<InstanceId, Proxy> proxies;
    GroupView group;
    std::uint64_t revision = 0;
    // Receives all answers to callers; set by the test.
    Answered answered;
    // Pairs of nodes whose messages to each other are dropped silently.
    std::set<std::pair<std::string, std::string>> cuts;
    std::set<TargetId> killed;
    // Additional delay of all messages that targets send.
    Duration targetDelay{0};
    std::vector<ProxyEvent> events;

    ProxyFixture(std::uint64_t seed, FixtureSettings given = {})
        : random(seed)
        , lagRandom(seed)
        , settings(std::move(given))
    {
        this->group.group = GroupId("g");
        this->group.size = static_cast<std::uint32_t>(this->settings.databases);
        this->group.term = 1;
        this->group.queueLimit = this->settings.queueLimit;
        for (std::size_t index = 0; index < this->settings.databases; ++index)
            this->addDatabase("d" + std::to_string(index + 1));
        this->group.primary = TargetId("d1");
        for (const auto &[proxy, count] : this->settings.slots)
            this->group.holders.push_back(this->holder(proxy, count));
        for (const std::string &proxy : this->settings.proxies)
            this->addProxy(proxy);
        this->database("d1").promote(1);
        this->publish();
        this->renewLeases();
        this->time.runFor(std::chrono::milliseconds(300));
    }

    FakeDatabase &database(const std::string &name) { return *this->databases.at(TargetId(name)); }
    FakeDatabase &primary() { return *this->databases.at(this->group.primary); }
    Proxy &proxy(const std::string &name) { return this->proxies.at(InstanceId(name)); }

    HolderView holder(const std::string &proxy, std::uint32_t slots) const
    {
        HolderView holder;
        holder.proxy = InstanceId(proxy);
        holder.address = proxy;
        for (const TargetView &target : this->group.targets)
            holder.grants.push_back(
                {target.target, slots, this->settings.limits.connections * slots / 3});
        return holder;
    }

    // Sends the current view of the group to every proxy that is not cut off from control.
    void publish()
    {
        this->group.revision = ++this->revision;
        auto view = std::make_shared<ProxyView>();
        view->revision = this->revision;
        view->groups[this->group.group] = this->group;
        for (auto &[name, proxy] : this->proxies) {
            if (!proxy.cutFromControl)
                this->deliver(proxy, this->settings.hop, [this, &proxy, view] {
                    proxy.node->viewChanged(view, this->time.now());
                });
        }
    }

    // Revokes the grants of `from`. After `delay`, and once `from` uses no slot of any target, `to`
    // receives them.
    void moveGrants(const std::string &from, const std::string &to, Duration delay)
    {
        auto &holders = this->group.holders;
        const auto old = std::find_if(holders.begin(), holders.end(), [&](const HolderView &each) {
            return each.proxy.value == from;
        });
        if (old == holders.end())
            return;
        const std::uint32_t slots = old->grants.front().slots;
        holders.erase(old);
        this->publish();
        this->time.after(delay, [this, from, to, slots] { this->grantWhenFree(from, to, slots); });
    }

    // Fences all databases except the primary, promotes the one with the most recent log, and
    // publishes the view after `delay`.
    void failOver(Duration delay)
    {
        const std::uint64_t term = ++this->group.term;
        const TargetId old = this->group.primary;
        TargetId best;
        LogPosition most;
        for (auto &[name, database] : this->databases) {
            if (name == old)
                continue;
            database->fence(term);
            if (best.empty() || most < database->status().received) {
                best = name;
                most = database->status().received;
            }
        }
        this->databases.at(best)->promote(term);
        this->group.primary = best;
        this->time.after(delay, [this] { this->publish(); });
    }

    void kill(const TargetId &target)
    {
        this->killed.insert(target);
        this->databases.at(target)->frozen = true;
        this->databases.at(target)->closeAll();
        for (auto &[name, proxy] : this->proxies)
            this->loseLinks(proxy, target);
    }

    void revive(const TargetId &target)
    {
        this->killed.erase(target);
        this->databases.at(target)->frozen = false;
        this->replicateTo(target);
    }

    void freeze(const std::string &name) { this->proxy(name).frozen = true; }

    void thaw(const std::string &name)
    {
        Proxy &proxy = this->proxy(name);
        proxy.frozen = false;
        const auto backlog = std::exchange(proxy.backlog, {});
        for (const auto &work : backlog)
            work();
        this->scheduleTimer(proxy);
    }

    // Breaks the connection between two proxies; messages in transit are lost.
    void breakHop(const std::string &a, const std::string &b)
    {
        ++this->epochs[{std::min(a, b), std::max(a, b)}];
        for (const auto &[from, to] : {std::pair(a, b), std::pair(b, a)}) {
            Proxy &proxy = this->proxy(from);
            const InstanceId peer(to);
            this->deliver(proxy, this->settings.hop, [this, &proxy, peer] {
                proxy.node->peerLost(peer, this->time.now());
                proxy.node->peerConnected(peer, this->time.now());
            });
        }
    }

    // Resets one connection between a proxy and a target.
    void resetLink(const std::string &proxyName)
    {
        Proxy &proxy = this->proxy(proxyName);
        for (const auto &[link, target] : this->links) {
            if (link.first != proxy.name || this->random() % 3 != 0)
                continue;
            const LinkId lost = link;
            this->databases.at(target)->close(lost);
            this->linkGone(proxy, lost);
            return;
        }
    }

    void callerOpened(const std::string &name, CallerConnectionId connection, CallerId caller,
                      SessionId session = {})
    {
        Proxy &proxy = this->proxy(name);
        this->deliver(proxy, Duration{0}, [this, &proxy, connection, caller, session] {
            proxy.node->callerOpened(connection);
            proxy.node->callerMessage(connection, OpenSession{caller, session, {}},
                                      this->time.now());
        });
    }

    void callerSends(const std::string &name, CallerConnectionId connection,
                     const CallerRequest &request)
    {
        Proxy &proxy = this->proxy(name);
        this->deliver(proxy, Duration{0}, [this, &proxy, connection, request] {
            proxy.node->callerMessage(connection, request, this->time.now());
        });
    }

    void callerClosed(const std::string &name, CallerConnectionId connection)
    {
        Proxy &proxy = this->proxy(name);
        this->deliver(proxy, Duration{0}, [this, &proxy, connection] {
            proxy.node->callerClosed(connection, this->time.now());
        });
    }

    // Calls `use` with the node of a proxy, then reschedules its timer.
    void with(const std::string &name, const std::function<void(ProxyNode &)> &use)
    {
        Proxy &proxy = this->proxy(name);
        use(*proxy.node);
        this->scheduleTimer(proxy);
    }

    std::vector<std::string> ruleViolations() const
    {
        std::vector<std::string> all;
        for (const auto &[name, database] : this->databases)
            all.insert(all.end(), database->ruleViolations.begin(), database->ruleViolations.end());
        return all;
    }

    bool isCut(const std::string &a, const std::string &b) const
    {
        return this->cuts.count({a, b}) > 0 || this->cuts.count({b, a}) > 0;
    }

private:
    void grantWhenFree(const std::string &from, const std::string &to, std::uint32_t slots)
    {
        const bool isHolder =
            std::any_of(this->group.holders.begin(), this->group.holders.end(),
                        [&](const HolderView &each) { return each.proxy.value == to; });
        std::size_t used = 0;
        for (const auto &[name, database] : this->databases)
            used += database->running(InstanceId(from));
        if (used > 0 || isHolder) {
            this->time.after(std::chrono::milliseconds(20),
                             [this, from, to, slots] { this->grantWhenFree(from, to, slots); });
            return;
        }
        this->group.holders.push_back(this->holder(to, slots));
        this->publish();
    }

    void addDatabase(const std::string &text)
    {
        const TargetId name(text);
        this->group.targets.push_back({name, text, FailureDomainId(text), 100, false});
        auto database =
            std::make_unique<FakeDatabase>(this->time, this->random, name, this->settings.limits);
        database->send = [this, name](const LinkId &link, const TargetMessage &message) {
            this->fromTarget(name, link, message);
        };
        database->appended = [this, name] {
            this->replicateFrom(name);
        };
        this->databases[name] = std::move(database);
    }

    void addProxy(const std::string &text)
    {
        Proxy &proxy = this->proxies[InstanceId(text)];
        proxy.name = InstanceId(text);
        ProxySettings proxySettings;
        proxySettings.instance = proxy.name;
        proxySettings.address = text;
        proxySettings.incarnation = 1;
        if (this->settings.adjust)
            this->settings.adjust(proxySettings);
        ProxyHooks hooks;
        hooks.answerCaller = [this](CallerConnectionId connection, const CallerReply &reply) {
            if (this->answered)
                this->answered(connection, reply);
        };
        hooks.sendPeer = [this, text](const InstanceId &to, const std::string &,
                                      const PeerMessage &message) {
            this->toPeer(text, to, message);
        };
        hooks.openTarget = [this, &proxy](Generation generation, const std::string &address,
                                          const OpenConnection &) {
            this->openLink(proxy, generation, TargetId(address));
        };
        hooks.sendTarget = [this, &proxy](Generation generation, const TargetRequest &request) {
            this->toTarget(proxy, generation, request);
        };
        hooks.closeTarget = [this, &proxy](Generation generation) {
            this->closeLink(proxy, generation);
        };
        hooks.event = [this](const ProxyEvent &event) {
            this->events.push_back(event);
        };
        proxy.node = std::make_unique<ProxyNode>(proxySettings, this->random(), hooks);
    }

    // Runs `work` on the proxy after `delay`; if it is frozen then, once it is thawed.
    void deliver(Proxy &proxy, Duration delay, std::function<void()> work)
    {
        this->time.after(delay, [this, &proxy, work = std::move(work)] {
            if (proxy.frozen) {
                proxy.backlog.push_back(work);
                return;
            }
            work();
            this->scheduleTimer(proxy);
        });
    }

    void scheduleTimer(Proxy &proxy)
    {
        const TimePoint next = proxy.node->nextDeadline();
        if (next >= proxy.timer || next == TimePoint::max())
            return;
        proxy.timer = next;
        this->time.at(next, [this, &proxy, next] {
            if (proxy.timer != next)
                return;
            proxy.timer = TimePoint::max();
            this->deliver(proxy, Duration{0},
                          [this, &proxy] { proxy.node->advance(this->time.now()); });
        });
    }

    void renewLeases()
    {
        for (auto &[name, proxy] : this->proxies) {
            const TimePoint sentAt = this->time.now();
            if (proxy.cutFromControl || proxy.frozen)
                continue;
            this->deliver(proxy, this->settings.hop * 2, [this, &proxy, sentAt] {
                proxy.node->leaseChanged(sentAt + this->settings.leaseFor, this->time.now());
            });
        }
        this->time.after(this->settings.leaseFor / 4, [this] { this->renewLeases(); });
    }

    void toPeer(const std::string &from, const InstanceId &to, const PeerMessage &message)
    {
        if (this->isCut(from, to.value))
            return;
        const auto pair = std::pair(std::min(from, to.value), std::max(from, to.value));
        const std::uint64_t epoch = this->epochs[pair];
        Proxy &proxy = this->proxies.at(to);
        this->deliver(proxy, this->settings.hop, [this, &proxy, from, message, pair, epoch] {
            if (this->epochs[pair] == epoch)
                proxy.node->peerMessage(InstanceId(from), message, this->time.now());
        });
    }

    void openLink(Proxy &proxy, Generation generation, const TargetId &target)
    {
        const LinkId link{proxy.name, generation};
        if (this->killed.count(target) > 0) {
            this->deliver(proxy, this->settings.hop, [this, &proxy, generation] {
                proxy.node->targetRefused(generation, OpenFailure::Unreachable, this->time.now());
            });
            return;
        }
        this->links[link] = target;
        this->time.after(this->settings.openTime, [this, &proxy, link, target] {
            FakeDatabase &database = *this->databases.at(target);
            if (this->links.count(link) == 0 || database.frozen
                || this->isCut(proxy.name.value, target.value))
                return;
            if (!database.open(link))
                return;
            const ConnectionOpened message{link.second, database.status()};
            this->deliver(proxy, this->settings.hop, [this, &proxy, link, message] {
                if (this->links.count(link) > 0)
                    proxy.node->targetOpened(link.second, message, this->time.now());
            });
        });
    }

    void closeLink(Proxy &proxy, Generation generation)
    {
        const LinkId link{proxy.name, generation};
        this->time.after(this->settings.hop, [this, &proxy, link] {
            const auto found = this->links.find(link);
            if (found == this->links.end() || this->isCut(link.first.value, found->second.value))
                return;
            this->databases.at(found->second)->close(link);
            this->linkGone(proxy, link);
        });
    }

    void linkGone(Proxy &proxy, const LinkId &link)
    {
        this->links.erase(link);
        this->deliver(proxy, this->settings.hop, [this, &proxy, link] {
            proxy.node->targetClosed(link.second, this->time.now());
        });
    }

    void loseLinks(Proxy &proxy, const TargetId &target)
    {
        std::vector<LinkId> lost;
        for (const auto &[link, name] : this->links) {
            if (link.first == proxy.name && name == target)
                lost.push_back(link);
        }
        for (const LinkId &link : lost)
            this->linkGone(proxy, link);
    }

    void toTarget(Proxy &proxy, Generation generation, const TargetRequest &request)
    {
        const LinkId link{proxy.name, generation};
        const auto found = this->links.find(link);
        if (found == this->links.end() || this->isCut(proxy.name.value, found->second.value))
            return;
        const TargetId target = found->second;
        this->time.after(this->settings.hop, [this, link, target, request] {
            this->databases.at(target)->receive(link, request);
        });
    }

    void fromTarget(const TargetId &target, const LinkId &link, const TargetMessage &message)
    {
        if (this->isCut(link.first.value, target.value))
            return;
        Proxy &proxy = this->proxies.at(link.first);
        const Duration transitTime = this->settings.hop + this->targetDelay;
        this->deliver(proxy, transitTime, [this, &proxy, link, message] {
            if (this->links.count(link) > 0)
                proxy.node->targetMessage(link.second, message, this->time.now());
        });
    }

    void replicateFrom(const TargetId &source)
    {
        for (const auto &[name, database] : this->databases) {
            if (name == source)
                continue;
            // Each replica gets a random lag between half and one and a half times the setting,
            // since replicas are rarely equally far behind.
            const auto spread = static_cast<std::uint64_t>(this->settings.lag.count());
            const Duration lag(
                static_cast<std::int64_t>(spread / 2 + this->lagRandom() % (spread + 1)));
            this->time.after(
                lag, [this, source, target = name] { this->replicateStep(source, target); });
        }
    }

    void replicateTo(const TargetId &target)
    {
        this->time.after(this->settings.lag,
                         [this, target] { this->replicateStep(this->group.primary, target); });
    }

    void replicateStep(const TargetId &source, const TargetId &target)
    {
        FakeDatabase &from = *this->databases.at(source);
        if (source == target || from.role != TargetRole::Primary || from.frozen
            || this->isCut(source.value, target.value))
            return;
        this->databases.at(target)->replicate(from, from.log.size());
    }

    std::map<LinkId, TargetId> links;
    std::map<std::pair<std::string, std::string>, std::uint64_t> epochs;
};

} // namespace rhubarbweir::fakes
