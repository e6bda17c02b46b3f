// Seeded runs in which primaries are lost or cut off.
#include "fakes/seeded_runs.hpp"

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;
using std::chrono::milliseconds;

namespace {

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

Test(proxy_failover, lost_primary,
     .description = "no confirmed write is lost with the primary that took it")
{
    runSeeds(losePrimary, 1);
}

Test(proxy_failover, cut_primary,
     .description = "an old primary with one proxy on its side confirms nothing")
{
    runSeeds(cutPrimaryWithOneProxy, 1);
}

Test(proxy_failover, two_at_once, .description = "a lost primary together with broken hops")
{
    const Fault both = [](ProxyFixture &fixture) {
        breakAnyHop(fixture);
        resetAnyLink(fixture);
        if (fixture.killed.empty() && fixture.group.term == 1)
            losePrimary(fixture);
    };
    runSeeds(both, 3);
}

Test(proxy_failover, slow_replicas,
     .description = "a lost primary whose replicas receive and apply late")
{
    FixtureSettings settings;
    settings.lag = milliseconds(80);
    settings.limits.applyLag = milliseconds(60);
    runSeeds(losePrimary, 1, shortDeadlines(), settings);
}
