// Measures the leader of a fleet in virtual time: processor time and bytes for each kind of event,
// with 30 to 300 poolers and 24 to 240 targets. Poolers and targets are emulated in this process;
// the time includes decoding of received and encoding of sent messages, but no sockets. Commits
// take 5 ms. The last table measures heartbeats of targets over loopback HTTP connections.
#include "rhubarbweir/coordination/fleet/fleet_controller.hpp"
#include "rhubarbweir/protocol/codec.hpp"
#include "rhubarbweir/protocol/compression.hpp"
#include "rhubarbweir/protocol/fleet_codec.hpp"
#include "rhubarbweir/protocol/message_conversion.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/http.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace rhubarbweir;
using namespace std::chrono_literals;

constexpr Duration Step = 1ms;
constexpr Duration CommitDelay = 5ms;
constexpr Duration LinkDelay = 2ms;
constexpr Duration RenewInterval = 500ms;
constexpr Duration HeartbeatInterval = 1200ms;
constexpr Duration ReportStep = 150ms;
constexpr int GroupSize = 3;
// Groups whose primary a pooler asks for its position between two renewals.
constexpr int AskedGroups = 4;

double threadCpuMicroseconds()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) * 1e6 + static_cast<double>(spent.tv_nsec) / 1e3;
}

struct Cost
{
    std::size_t events = 0;
    double microseconds = 0;
    std::size_t messages = 0;
    std::size_t sentBytes = 0;
    std::size_t receivedBytes = 0;
};

struct Pooler
{
    InstanceId name;
    ConnectionId connection = 0;
    std::uint64_t sequence = 0;
    std::uint64_t answered = 0;
    std::uint64_t revision = 0;
    std::uint64_t version = 0;
    TimePoint renewAt;
    std::map<GroupId, TimePoint> sharedAsOf;
    std::vector<TargetObservation> complaints;
    std::size_t receivedBytes = 0;
};

bool changesAuthority(const FleetLease &lease)
{
    if (lease.packedView.bytes.empty())
        return !lease.view.authorities.empty();
    const auto view = unpackFleetView(lease.packedView);
    return view.ok() && !view->authorities.empty();
}

class Bench
{
public:
    Bench(int poolerCount, int targetCount)
        : controller(makeSettings(), this->makeHooks())
    {
        for (int number = 0; number < targetCount; ++number)
            this->targets.push_back(makeTarget(number));
        for (int number = 0; number < poolerCount; ++number) {
            Pooler pooler;
            pooler.name = InstanceId("pooler-" + std::to_string(number));
            this->poolers.push_back(pooler);
        }
        this->connectAll();
        this->controller.leadershipChanged(this->now);
    }

    // Everything starts within 0.3 s.
    void connectAll()
    {
        for (std::size_t number = 0; number < this->poolers.size(); ++number) {
            Pooler &pooler = this->poolers[number];
            if (pooler.connection != 0) {
                this->byConnection.erase(pooler.connection);
                this->controller.connectionClosed(pooler.connection);
            }
            pooler.connection = ++this->lastConnection;
            pooler.answered = 0;
            pooler.receivedBytes = 0;
            pooler.renewAt = this->now + spread(number, this->poolers.size(), 300ms);
            this->byConnection[pooler.connection] = number;
        }
        this->heartbeatAt.clear();
        for (std::size_t number = 0; number < this->targets.size(); ++number)
            this->heartbeatAt.push_back(this->now + spread(number, this->targets.size(), 300ms));
    }

    void changeLeader()
    {
        this->isLeader = false;
        this->controller.leadershipChanged(this->now);
        this->isLeader = true;
        this->log.clear();
        this->controller.leadershipChanged(this->now);
        this->connectAll();
    }

    void run(Duration length)
    {
        const TimePoint end = this->now + length;
        while (this->now < end)
            this->step();
    }

    void beginPhase()
    {
        this->costs.clear();
        for (Pooler &pooler : this->poolers)
            pooler.receivedBytes = 0;
    }

    void configure(std::uint64_t version)
    {
        std::string document;
        for (int line = 0; line < 600; ++line)
            document += "{\"host\":\"library-" + std::to_string(line * 7919 % 1000)
                        + "\",\"service\":\"photos-" + std::to_string(line) + "\"},";
        this->measure("configuration", [&] {
            this->controller.configurationSent(
                version, OpaqueBytes(document), [](FleetCallOutcome) {}, this->now);
        });
    }

    void drainTarget()
    {
        this->targets[1].phase = TargetPhase::Draining;
        this->announce(1);
    }

    // Every pooler complains of the first primary.
    void failPrimary()
    {
        this->unreachable = this->targets[0].target;
        for (Pooler &pooler : this->poolers) {
            pooler.complaints = {
                {this->targets[0].target, this->targets[0].group, ObservedState::Broken}};
            pooler.renewAt = this->now;
        }
    }

    void print(const char *phase, Duration length)
    {
        Cost total;
        for (const auto &[name, cost] : this->costs) {
            const double events = static_cast<double>(std::max<std::size_t>(1, cost.events));
            std::printf("  %-10s %-14s %7zu events %8.1f us/event %9.0f sent_bytes/event "
                        "%7zu messages\n",
                        phase, name.c_str(), cost.events, cost.microseconds / events,
                        static_cast<double>(cost.sentBytes) / events, cost.messages);
            total.microseconds += cost.microseconds;
            total.sentBytes += cost.sentBytes;
            total.receivedBytes += cost.receivedBytes;
        }
        std::size_t most = 0;
        for (const Pooler &pooler : this->poolers)
            most = std::max(most, pooler.receivedBytes);
        const double seconds = std::chrono::duration<double>(length).count();
        std::printf("  %-10s TOTAL cpu_ms=%.1f cpu_share=%.4f sent_kB=%.0f sent_kB_per_s=%.0f "
                    "received_kB=%.0f most_kB_to_one_pooler=%.1f\n",
                    phase, total.microseconds / 1e3, total.microseconds / 1e6 / seconds,
                    static_cast<double>(total.sentBytes) / 1e3,
                    static_cast<double>(total.sentBytes) / 1e3 / seconds,
                    static_cast<double>(total.receivedBytes) / 1e3,
                    static_cast<double>(most) / 1e3);
    }

    std::size_t poolersInStep() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->poolers.begin(), this->poolers.end(), [this](const Pooler &each) {
                return each.revision == this->controller.state().viewRevision();
            }));
    }

private:
    struct Delivery
    {
        TimePoint at;
        std::size_t pooler = 0;
        ConnectionId connection = 0;
        FleetReply reply;
    };

    static Duration spread(std::size_t number, std::size_t count, Duration length)
    {
        return length * static_cast<Duration::rep>(number) / static_cast<Duration::rep>(count);
    }

    static RegisteredTarget makeTarget(int number)
    {
        RegisteredTarget target;
        const int group = number / GroupSize;
        const int member = number % GroupSize;
        target.group = GroupId("photos-" + std::to_string(group));
        target.target = TargetId(target.group.value + "-" + std::to_string(member) + "-5f3a");
        target.address = "10.0." + std::to_string(group) + "." + std::to_string(member) + ":7000";
        target.failureDomain = FailureDomainId("domain-" + std::to_string(member));
        target.slots = 4;
        target.born = 1700000000000 + number;
        target.sequence = 1;
        target.reportsPrimary = member == 0;
        return target;
    }

    static FleetSettings makeSettings()
    {
        FleetSettings settings;
        settings.lease.instance = InstanceId("control-1");
        settings.lease.leaseFor = 8000ms;
        return settings;
    }

    FleetHooks makeHooks()
    {
        FleetHooks hooks;
        hooks.propose = [this](const FleetCommand &command) -> absl::StatusOr<std::uint64_t> {
            this->log.push_back({this->now + CommitDelay, {++this->lastIndex, command}});
            return this->lastIndex;
        };
        hooks.isLeader = [this] {
            return this->isLeader;
        };
        hooks.leaseValid = [this](TimePoint) {
            return this->isLeader;
        };
        hooks.leaderAddress = [] {
            return std::string("10.1.0.1:9000");
        };
        hooks.controlAddresses = [] {
            std::vector<std::string> addresses;
            for (int number = 0; number < 6; ++number)
                addresses.push_back("10.1.0." + std::to_string(number) + ":9000");
            return addresses;
        };
        hooks.sendToPooler = [this](ConnectionId connection, const FleetReply &reply) {
            this->sendToPooler(connection, reply);
        };
        hooks.compress = [](const OpaqueBytes &document) {
            return OpaqueBytes(compress(document.bytes));
        };
        hooks.packView = packFleetView;
        hooks.callObserver = [](const std::string &) {
        };
        hooks.groups = [this](const OpaqueBytes &) {
            std::map<GroupId, std::uint32_t> groups;
            for (const RegisteredTarget &target : this->targets)
                groups[target.group] = 0;
            return groups;
        };
        hooks.probe = [this](const RegisteredTarget &target) {
            this->probes.push_back(target);
        };
        hooks.promote = [](const PromotionRequest &) {
        };
        hooks.stepDown = [](const RegisteredTarget &, std::uint64_t) {
        };
        hooks.event = [](std::string_view, const FleetEventFields &) {
        };
        return hooks;
    }

    void sendToPooler(ConnectionId connection, const FleetReply &reply)
    {
        const std::size_t bytes = encode(toMessage(reply)).size();
        ++this->current->messages;
        this->current->sentBytes += bytes;
        const auto receiver = this->byConnection.find(connection);
        if (receiver == this->byConnection.end())
            return;
        this->poolers[receiver->second].receivedBytes += bytes;
        this->deliveries.push_back({this->now + LinkDelay, receiver->second, connection, reply});
    }

    template<typename Work>
    void measure(const std::string &kind, const Work &work)
    {
        this->current = &this->costs[kind];
        ++this->current->events;
        const double before = threadCpuMicroseconds();
        work();
        this->current->microseconds += threadCpuMicroseconds() - before;
    }

    void step()
    {
        this->now += Step;
        while (!this->log.empty() && this->log.front().first <= this->now) {
            const auto [index, command] = this->log.front().second;
            this->log.pop_front();
            const bool isPooler = std::holds_alternative<RegisterPooler>(command);
            this->measure(isPooler ? "commit_pooler" : "commit_other",
                          [&] { this->controller.applied(index, command, this->now); });
        }
        while (!this->probes.empty()) {
            const RegisteredTarget target = this->probes.front();
            this->probes.pop_front();
            const bool answers = target.target != this->unreachable;
            this->measure("probe", [&] {
                this->controller.probed(
                    target,
                    answers ? std::make_optional(TargetProbe{target.reportsPrimary, 1, {1, 100}})
                            : std::nullopt,
                    this->now);
            });
        }
        while (!this->deliveries.empty() && this->deliveries.front().at <= this->now) {
            const Delivery delivery = std::move(this->deliveries.front());
            this->deliveries.pop_front();
            this->receive(this->poolers[delivery.pooler], delivery);
        }
        for (std::size_t number = 0; number < this->targets.size(); ++number) {
            if (this->now >= this->heartbeatAt[number]) {
                this->heartbeatAt[number] += HeartbeatInterval;
                this->announce(number);
            }
        }
        for (Pooler &pooler : this->poolers) {
            if (this->now >= pooler.renewAt) {
                pooler.renewAt += RenewInterval;
                this->renew(pooler);
            }
        }
        if (this->now >= this->controller.nextDeadline())
            this->measure("advance", [&] { this->controller.advance(this->now); });
    }

    void announce(std::size_t number)
    {
        RegisteredTarget &target = this->targets[number];
        if (target.target == this->unreachable)
            return;
        ++target.sequence;
        const bool isKnown = this->controller.state().find(target.target) != nullptr;
        this->measure(isKnown ? "heartbeat" : "announcement", [&] {
            this->controller.targetAnnounced(
                target, [](FleetCallOutcome) {}, this->now);
        });
    }

    void renew(Pooler &pooler)
    {
        RenewLease renewal;
        renewal.proxy = pooler.name;
        renewal.failureDomain = FailureDomainId("domain-1");
        renewal.incarnation = 1;
        renewal.sequence = ++pooler.sequence;
        renewal.answered = pooler.answered;
        renewal.revision = pooler.revision;
        renewal.configurationVersion = pooler.version;
        renewal.observations = pooler.complaints;
        const std::string bytes = encode(renewal);
        const bool isRegistered = this->controller.state().findPooler(pooler.name, 1) != nullptr;
        this->measure(isRegistered ? "renewal" : "registration", [&] {
            this->current->receivedBytes += bytes.size();
            const auto message = decode(bytes);
            this->controller.receiveFromPooler(pooler.connection, std::get<RenewLease>(*message),
                                               this->now);
        });
    }

    void receive(Pooler &pooler, const Delivery &delivery)
    {
        const auto *lease = std::get_if<FleetLease>(&delivery.reply);
        if (lease == nullptr || delivery.connection != pooler.connection)
            return;
        pooler.answered = std::max(pooler.answered, lease->sequence);
        if (lease->sequence != 0 && lease->leaseFor == Duration::zero()) {
            this->renew(pooler);
            return;
        }
        const std::uint64_t before = pooler.revision;
        const std::uint64_t versionBefore = pooler.version;
        if (lease->view.baseRevision <= pooler.revision)
            pooler.revision = std::max(pooler.revision, lease->view.revision);
        if (!lease->configuration.bytes.empty())
            pooler.version = lease->configurationVersion;
        if (lease->sequence != 0) {
            for (const GroupPosition &each : lease->positions)
                pooler.sharedAsOf[each.group] = this->now - LinkDelay - each.age;
            this->report(pooler);
        } else if ((pooler.revision != before && changesAuthority(*lease))
                   || pooler.version != versionBefore) {
            this->renew(pooler);
        }
    }

    void report(Pooler &pooler)
    {
        PositionReport report{pooler.answered, {}};
        for (int asked = 0; asked < AskedGroups; ++asked) {
            const std::size_t number = (pooler.sequence * 13 + static_cast<std::size_t>(asked) * 7
                                        + pooler.connection * 31)
                                       % (this->targets.size() / GroupSize);
            const GroupId group = this->targets[number * GroupSize].group;
            const PrimaryAuthority *authority = this->controller.state().authority(group);
            const TimePoint asOf = this->now - 3ms;
            if (authority == nullptr || asOf < pooler.sharedAsOf[group] + ReportStep)
                continue;
            pooler.sharedAsOf[group] = asOf;
            const auto position = static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(asOf.time_since_epoch())
                    .count());
            report.positions.push_back({group, authority->generation, {1, position}, 3ms});
        }
        if (report.positions.empty())
            return;
        const std::string bytes = encode(report);
        this->measure("report", [&] {
            this->current->receivedBytes += bytes.size();
            const auto message = decode(bytes);
            this->controller.positionsReported(pooler.connection,
                                               std::get<PositionReport>(*message));
        });
    }

    TimePoint now = TimePoint(std::chrono::seconds(1000));
    bool isLeader = true;
    std::uint64_t lastIndex = 0;
    ConnectionId lastConnection = 0;
    TargetId unreachable;
    std::vector<RegisteredTarget> targets;
    std::vector<TimePoint> heartbeatAt;
    std::vector<Pooler> poolers;
    std::map<ConnectionId, std::size_t> byConnection;
    std::deque<std::pair<TimePoint, std::pair<std::uint64_t, FleetCommand>>> log;
    std::deque<RegisteredTarget> probes;
    std::deque<Delivery> deliveries;
    std::map<std::string, Cost> costs;
    Cost ignored;
    Cost *current = &ignored;
    FleetController controller;
};

void runPhases(int poolers, int targets)
{
    std::printf("poolers=%d targets=%d\n", poolers, targets);
    Bench bench(poolers, targets);
    bench.run(3s);
    bench.print("start", 3s);
    std::printf("  start      poolers_with_newest_view=%zu\n", bench.poolersInStep());
    bench.beginPhase();
    bench.run(10s);
    bench.print("steady", 10s);
    bench.beginPhase();
    bench.drainTarget();
    bench.run(500ms);
    bench.print("view", 500ms);
    bench.beginPhase();
    bench.configure(2);
    bench.run(1s);
    bench.print("document", 1s);
    bench.beginPhase();
    bench.changeLeader();
    bench.run(2s);
    bench.print("new_leader", 2s);
    bench.run(10s);
    bench.beginPhase();
    bench.failPrimary();
    bench.run(1s);
    bench.print("complaints", 1s);
}

// Calls on connections of their own, 16 at a time, as targets make them.
void measureHttp(int calls)
{
    EventLoop serverLoop;
    double spent = 0;
    HttpListener listener(serverLoop, "127.0.0.1:39181", 256,
                          [](const HttpRequest &, const HttpResponder &respond) {
                              HttpResponse response;
                              response.status = 200;
                              response.body = "{}";
                              respond(response);
                          });
    if (!listener.listen().ok()) {
        std::printf("http: the port is in use\n");
        return;
    }
    std::thread server([&] {
        const double before = threadCpuMicroseconds();
        serverLoop.run();
        spent = threadCpuMicroseconds() - before;
    });
    EventLoop loop;
    int started = 0;
    int answered = 0;
    std::function<void()> next = [&] {
        if (started++ >= calls)
            return;
        HttpCall call;
        call.address = "127.0.0.1:39181";
        call.target = "/heartbeat";
        call.body = std::string(180, 'x');
        call.deadline = EventLoop::now() + 5s;
        callHttp(loop, call, [&](const absl::StatusOr<int> &) {
            if (++answered == calls)
                loop.stop();
            else
                loop.post(next);
        });
    };
    for (int parallel = 0; parallel < 16; ++parallel)
        loop.post(next);
    loop.run();
    serverLoop.stop();
    server.join();
    std::printf("http calls=%d server_us_per_call=%.1f\n", calls, spent / calls);
}

} // namespace

int main()
{
    runPhases(30, 24);
    runPhases(100, 80);
    runPhases(300, 240);
    measureHttp(4000);
    return 0;
}
