// Seeded runs in which grants move between proxies; the databases count their limits.
#include "fakes/seeded_runs.hpp"

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;
using std::chrono::milliseconds;

namespace {

FixtureSettings shortLeases()
{
    FixtureSettings settings;
    settings.proxies = {"p1", "p2", "p3", "p4"};
    settings.leaseFor = milliseconds(240);
    return settings;
}

WorkloadMix throughOthers()
{
    WorkloadMix mix = shortDeadlines();
    mix.entries = {"p3", "p4"};
    mix.meanPause = milliseconds(12);
    return mix;
}

// The holder stands still past its lease; its grants go to another, and then it wakes.
void freezeHolder(ProxyFixture &fixture)
{
    if (fixture.proxy("p1").frozen)
        return;
    fixture.freeze("p1");
    fixture.moveGrants("p1", "p3", fixture.settings.leaseFor + milliseconds(20));
    const Duration sleep(static_cast<std::int64_t>(fixture.random() % 300000));
    fixture.time.after(fixture.settings.leaseFor + sleep, [&fixture] { fixture.thaw("p1"); });
}

} // namespace

Test(proxy_grants, frozen_holder,
     .description = "a holder that wakes at any moment after its lease breaks no limit")
{
    runSeeds(freezeHolder, 1, throughOthers(), shortLeases());
}

Test(proxy_grants, moved_grants, .description = "grants that move cut nothing and break no limit")
{
    const Fault move = [](ProxyFixture &fixture) {
        const bool there = fixture.random() % 2 == 0;
        fixture.moveGrants(there ? "p1" : "p3", there ? "p3" : "p1", milliseconds(10));
    };
    runSeeds(move, 3, throughOthers(), shortLeases());
}

Test(proxy_grants, changed_limits, .description = "limits that shrink and grow are never passed")
{
    // Shrinks one holder; the other grows once the targets report the first one's use gone.
    const Fault change = [](ProxyFixture &fixture) {
        fixture.moveGrants("p2", "p4", milliseconds(10));
        resetAnyLink(fixture);
    };
    runSeeds(change, 2, throughOthers(), shortLeases());
}
