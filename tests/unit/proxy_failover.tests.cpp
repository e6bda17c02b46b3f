// Seeded runs in which the primary crashes or is partitioned from the rest.
#include "fakes/seeded_runs.hpp"

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;
using std::chrono::milliseconds;

namespace {

// Partitions the primary together with p1 from control, the other databases and the other proxies,
// fails over, and heals the partition after 600 ms.
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
     .description = "no confirmed write is lost when the primary that executed it crashes")
{
    runSeeds(losePrimary, 1);
}

Test(proxy_failover, cut_primary,
     .description = "a former primary that is partitioned with one proxy confirms no write")
{
    runSeeds(cutPrimaryWithOneProxy, 1);
}

Test(proxy_failover, two_at_once,
     .description = "the primary crashes while connections between proxies break")
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
     .description = "the primary crashes while its replicas receive and apply entries late")
{
    FixtureSettings settings;
    settings.lag = milliseconds(80);
    settings.limits.applyLag = milliseconds(60);
    runSeeds(losePrimary, 1, shortDeadlines(), settings);
}
