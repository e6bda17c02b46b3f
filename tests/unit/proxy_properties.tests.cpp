// Seeded runs of a few proxies over one group with random faults; a checker judges every answer.
#include "fakes/workload.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

using Fault = std::function<void(ProxyFixture &)>;
using std::chrono::milliseconds;

constexpr std::uint64_t Seeds = 1000;

// Runs one seed with `fault` at random moments; the first fault found, or nothing.
std::string runSeed(std::uint64_t seed, const Fault &fault, int faultCount, const WorkloadMix &mix,
                    const FixtureSettings &settings)
{
    ProxyFixture fixture(seed, settings);
    Workload workload(fixture, mix);
    const TimePoint end = fixture.time.now() + milliseconds(700);
    workload.run(end);
    for (int count = 0; count < faultCount; ++count) {
        const Duration when(static_cast<std::int64_t>(fixture.random() % 500000));
        fixture.time.after(when, [&fixture, &fault] { fault(fixture); });
    }
    fixture.time.runUntil(end + milliseconds(900));
    workload.check();
    if (workload.ok == 0)
        return "nothing was answered Ok";
    return workload.faults.empty() ? std::string() : workload.faults.front();
}

WorkloadMix shortDeadlines()
{
    WorkloadMix mix;
    mix.timeLeft = milliseconds(400);
    return mix;
}

void runSeeds(const Fault &fault, int faultCount, const WorkloadMix &mix = shortDeadlines(),
              const FixtureSettings &settings = {})
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const std::string found = runSeed(seed, fault, faultCount, mix, settings);
        cr_assert(found.empty(), "seed %d: %s", static_cast<int>(seed), found.c_str());
    }
}

void breakAnyHop(ProxyFixture &fixture)
{
    const char *pairs[][2] = {{"p3", "p1"}, {"p3", "p2"}, {"p1", "p2"}};
    const auto &pair = pairs[fixture.random() % 3];
    fixture.breakHop(pair[0], pair[1]);
}

void resetAnyLink(ProxyFixture &fixture)
{
    fixture.resetLink(fixture.random() % 2 == 0 ? "p1" : "p2");
}

void losePrimary(ProxyFixture &fixture)
{
    const TargetId old = fixture.group.primary;
    fixture.kill(old);
    fixture.time.after(milliseconds(120), [&fixture] { fixture.failOver(milliseconds(10)); });
    fixture.time.after(milliseconds(300), [&fixture, old] { fixture.revive(old); });
}

// The old primary keeps its callers at p1, which hears neither control nor the other databases.
void cutPrimaryWithOneProxy(ProxyFixture &fixture)
{
    const std::string old = fixture.group.primary.value;
    fixture.proxy("p1").cutFromControl = true;
    for (const auto &[name, database] : fixture.databases) {
        if (name.value != old) {
            fixture.cuts.insert({old, name.value});
            fixture.cuts.insert({"p1", name.value});
        }
    }
    for (const char *other : {"p2", "p3"}) {
        fixture.cuts.insert({old, other});
        fixture.cuts.insert({"p1", other});
    }
    fixture.time.after(milliseconds(120), [&fixture] { fixture.failOver(milliseconds(10)); });
    fixture.time.after(milliseconds(600), [&fixture, old] {
        fixture.cuts.clear();
        fixture.proxy("p1").cutFromControl = false;
        fixture.publish();
        fixture.revive(TargetId(old));
    });
}

} // namespace

Test(proxy_properties, calm, .description = "all promises hold without faults")
{
    runSeeds(nullptr, 0);
}

Test(proxy_properties, broken_hops,
     .description = "a broken hop between proxies leads to no second run and no false answer")
{
    runSeeds(breakAnyHop, 6);
}

Test(proxy_properties, reset_connections,
     .description = "reset target connections lead to no second run and no crossed answer")
{
    runSeeds(resetAnyLink, 8);
}

Test(proxy_properties, lost_primary,
     .description = "no confirmed write is lost with the primary that took it")
{
    runSeeds(losePrimary, 1);
}

Test(proxy_properties, cut_primary,
     .description = "an old primary with one proxy on its side confirms nothing")
{
    runSeeds(cutPrimaryWithOneProxy, 1);
}

Test(proxy_properties, roaming, .description = "callers roam in the middle of transactions")
{
    WorkloadMix mix = shortDeadlines();
    mix.roaming = 0.3;
    mix.transactions = 0.3;
    runSeeds(breakAnyHop, 1, mix);
}

Test(proxy_properties, two_at_once, .description = "a lost primary together with broken hops")
{
    const Fault both = [](ProxyFixture &fixture) {
        breakAnyHop(fixture);
        resetAnyLink(fixture);
        if (fixture.killed.empty() && fixture.group.term == 1)
            losePrimary(fixture);
    };
    runSeeds(both, 3);
}
