// Compares strategies for sharing a target's slots between proxies and for serving latest reads, in
// virtual time. Usage: slot_ways [SEED]
#include "fakes/open_loop.hpp"

#include <cstdio>
#include <cstdlib>
#include <deque>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<std::string> Callers = {"a", "b", "c", "d", "e", "f", "g", "h", "i"};
constexpr Duration RunDuration = seconds(20);
// Maximum reads per second of two replicas with three slots each: a read occupies a slot for 3 ms
// of network delay and 2 ms of service time.
constexpr double Capacity = 1200;

void makeBoundedRead(CallerRequest &request)
{
    request.consistency = Consistency::Bounded;
}

void printResult(const char *name, double load, const OpenLoopResult &result)
{
    const double okShare = 100.0 * result.ok / result.sent;
    std::printf("%-28s load %.2f  ok %6.2f%%  mean %7.2f ms  p50 %7.2f ms  p99 %7.2f ms\n", name,
                load, okShare, result.mean().count() / 1e3, result.quantile(0.5).count() / 1e3,
                result.quantile(0.99).count() / 1e3);
}

OpenLoopResult runHolderGrants(std::uint64_t seed, double load, const FixtureSettings &settings,
                               const std::vector<std::string> &entries = {})
{
    ProxyFixture fixture(seed, settings);
    OpenLoop loop(fixture, Callers, entries);
    return loop.run(load * Capacity, RunDuration, makeBoundedRead);
}

// Each of three proxies has one fixed slot and no access to the slots of the others.
OpenLoopResult runStaticSplit(std::uint64_t seed, double load)
{
    OpenLoopResult total;
    for (const char *name : {"p1", "p2", "p3"}) {
        FixtureSettings settings;
        settings.proxies = {name};
        settings.slots = {{name, 1}};
        settings.queueLimit = 43;
        ProxyFixture fixture(seed, settings);
        OpenLoop loop(fixture, {"a", "b", "c"});
        const auto part = loop.run(load * Capacity / 3, RunDuration, makeBoundedRead);
        total.sent += part.sent;
        total.ok += part.ok;
        total.latencies.insert(total.latencies.end(), part.latencies.begin(), part.latencies.end());
    }
    std::sort(total.latencies.begin(), total.latencies.end());
    return total;
}

// Models slot tokens that are borrowed for each request: the proxy that received the request
// fetches a token from a token server, sends the request to the target and returns the token. A
// token is occupied for two hops more than a slot that its holder uses directly.
class TokenServerModel
{
public:
    TokenServerModel(std::uint64_t seed, double givenRate)
        : random(seed)
        , rate(givenRate)
    {
    }

    OpenLoopResult run()
    {
        this->end = this->time.now() + RunDuration;
        this->scheduleArrival();
        this->time.runUntil(this->end + seconds(2));
        std::sort(this->result.latencies.begin(), this->result.latencies.end());
        return this->result;
    }

private:
    struct QueuedRequest
    {
        TimePoint sentAt;
        TimePoint deadline;
    };

    Duration exponential(double mean)
    {
        std::exponential_distribution<double> distribution(1.0 / mean);
        return Duration(static_cast<std::int64_t>(distribution(this->random)) + 1);
    }

    void scheduleArrival()
    {
        this->time.after(this->exponential(1e6 / this->rate), [this] {
            const TimePoint now = this->time.now();
            if (now >= this->end)
                return;
            ++this->result.sent;
            this->time.after(Hop, [this, now] {
                this->queue.push_back({now, now + milliseconds(500)});
                this->grantTokens();
            });
            this->scheduleArrival();
        });
    }

    void grantTokens()
    {
        while (this->freeTokens > 0 && !this->queue.empty()) {
            const QueuedRequest next = this->queue.front();
            this->queue.pop_front();
            if (this->time.now() + Hop * 4 > next.deadline)
                continue;
            --this->freeTokens;
            const Duration service = this->exponential(2000);
            this->time.after(Hop * 3 + service, [this, next] { this->finishRequest(next); });
        }
    }

    void finishRequest(const QueuedRequest &request)
    {
        const TimePoint now = this->time.now();
        if (now <= request.deadline) {
            ++this->result.ok;
            this->result.latencies.push_back(
                std::chrono::duration_cast<Duration>(now - request.sentAt));
        }
        this->time.after(Hop, [this] {
            ++this->freeTokens;
            this->grantTokens();
        });
    }

    static constexpr Duration Hop = std::chrono::microseconds(1500);
    VirtualTime time;
    std::mt19937_64 random;
    double rate;
    TimePoint end;
    // Free tokens, one for each of the three slots of two replicas.
    int freeTokens = 6;
    std::deque<QueuedRequest> queue;
    OpenLoopResult result;
};

void compareSlotSharing(std::uint64_t seed)
{
    std::printf("slot sharing: bounded reads, load 1 is %.0f/s\n", Capacity);
    for (const double load : {0.5, 0.7, 0.85, 0.95, 2.0}) {
        printResult("holders 2 + 1", load, runHolderGrants(seed, load, FixtureSettings()));
        FixtureSettings standby;
        standby.slots = {{"p1", 3}};
        printResult("holder 3 + standby", load, runHolderGrants(seed, load, standby));
        printResult("static split 1 + 1 + 1", load, runStaticSplit(seed, load));
        printResult("tokens borrowed per request", load,
                    TokenServerModel(seed, load * Capacity).run());
    }
    std::printf("all callers at proxies that hold no slots\n");
    for (const double load : {0.5, 0.7, 0.85, 0.95}) {
        FixtureSettings settings;
        settings.proxies = {"p1", "p2", "p3", "p4", "p5", "p6"};
        const std::vector<std::string> entries = {"p3", "p4", "p5", "p6"};
        printResult("holders 2 + 1", load, runHolderGrants(seed, load, settings, entries));
        settings.slots = {{"p1", 3}};
        printResult("holder 3 + standby", load, runHolderGrants(seed, load, settings, entries));
    }
}

// Suspends the first holder after 1 s; control grants its slots to other proxies 100 ms after its
// lease has ended.
void runHolderLoss(std::uint64_t seed, const char *name,
                   std::map<std::string, std::uint32_t> before,
                   const std::map<std::string, std::uint32_t> &after)
{
    FixtureSettings settings;
    settings.slots = std::move(before);
    settings.proxies = {"p1", "p2", "p3", "p4"};
    ProxyFixture fixture(seed, settings);
    OpenLoop loop(fixture, Callers, {"p3", "p4"});
    fixture.time.after(seconds(1), [&] { fixture.freeze("p1"); });
    fixture.time.after(milliseconds(1020), [&] {
        fixture.breakHop("p1", "p3");
        fixture.breakHop("p1", "p4");
    });
    fixture.time.after(seconds(1) + settings.leaseFor + milliseconds(100), [&] {
        fixture.group.holders.clear();
        for (const auto &[proxy, slots] : after)
            fixture.group.holders.push_back(fixture.holder(proxy, slots));
        fixture.publish();
    });
    const auto result = loop.run(0.3 * Capacity, seconds(4), makeBoundedRead);
    printResult(name, 0.3, result);
}

FixtureSettings latestReadSettings(Duration lag, bool readAtPrimary)
{
    FixtureSettings settings;
    settings.lag = lag;
    settings.adjust = [readAtPrimary](ProxySettings &proxySettings) {
        if (readAtPrimary)
            proxySettings.primaryReadShare = 0.99;
    };
    return settings;
}

// Measures the latest reads in the Rallye mix: 30% writes and 70% reads, of which 40% are bounded,
// 45% session and 15% latest reads.
void runLatestReads(std::uint64_t seed, const char *name, Duration lag, bool readAtPrimary)
{
    ProxyFixture fixture(seed, latestReadSettings(lag, readAtPrimary));
    OpenLoop loop(fixture, Callers);
    std::uint64_t latest = 0;
    loop.measured = [&](const CallerRequest &request) {
        const bool isLatest =
            request.kind == RequestKind::Read && request.consistency == Consistency::Latest;
        latest += isLatest ? 1 : 0;
        return isLatest;
    };
    if (readAtPrimary) {
        for (TargetView &target : fixture.group.targets)
            target.weight = target.target == fixture.group.primary ? 100 : 0;
        fixture.publish();
    }
    std::mt19937_64 random(seed);
    const auto result = loop.run(300, RunDuration, [&](CallerRequest &request) {
        const std::uint64_t kind = random() % 100;
        request.kind = kind < 30 ? RequestKind::Write : RequestKind::Read;
        request.key = "k" + std::to_string(random() % 64);
        request.timeLeft = seconds(1);
        request.consistency = kind < 58   ? Consistency::Bounded
                              : kind < 90 ? Consistency::Session
                                          : Consistency::Latest;
    });
    const auto replica = static_cast<double>(result.replicaReads);
    std::printf("%-28s lag %4d ms  of %d latest reads: ok %6.2f%%  from replicas %6.2f%%  "
                "p50 %6.2f ms  p99 %7.2f ms\n",
                name, static_cast<int>(lag.count() / 1000), static_cast<int>(latest),
                100.0 * result.latencies.size() / latest,
                100.0 * replica / std::max<std::size_t>(1, result.latencies.size()),
                result.quantile(0.5).count() / 1e3, result.quantile(0.99).count() / 1e3);
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("seed %d\n", static_cast<int>(seed));
    compareSlotSharing(seed);
    std::printf("the first holder is lost\n");
    runHolderLoss(seed, "holders 2 + 1", {{"p1", 2}, {"p2", 1}}, {{"p2", 1}, {"p3", 2}});
    runHolderLoss(seed, "holder 3 + standby", {{"p1", 3}}, {{"p2", 3}});
    std::printf("latest reads\n");
    for (const Duration lag :
         {Duration(milliseconds(5)), Duration(milliseconds(50)), Duration(milliseconds(500))}) {
        runLatestReads(seed, "read index", lag, false);
        runLatestReads(seed, "primary and majority", lag, true);
    }
    return 0;
}
