// Seeded runs in which grants move between proxies while the databases check their limits.
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

WorkloadMix throughOtherProxies()
{
    WorkloadMix mix = shortDeadlines();
    mix.entries = {"p3", "p4"};
    mix.meanPause = milliseconds(12);
    return mix;
}

// Suspends a holder until after its lease has ended and its grants went to another proxy.
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
     .description = "a holder that resumes at any time after its lease exceeds no limit")
{
    runSeeds(freezeHolder, 1, throughOtherProxies(), shortLeases());
}

Test(proxy_grants, moved_grants,
     .description = "moving grants interrupts no request and exceeds no limit")
{
    const Fault move = [](ProxyFixture &fixture) {
        const bool isAtP1 = fixture.random() % 2 == 0;
        fixture.moveGrants(isAtP1 ? "p1" : "p3", isAtP1 ? "p3" : "p1", milliseconds(10));
    };
    runSeeds(move, 3, throughOtherProxies(), shortLeases());
}

Test(proxy_grants, changed_limits,
     .description = "limits are never exceeded while they are lowered and raised")
{
    // Takes the grants of p2. p4 gets them once p2 uses no slot of any target.
    const Fault change = [](ProxyFixture &fixture) {
        fixture.moveGrants("p2", "p4", milliseconds(10));
        resetAnyLink(fixture);
    };
    runSeeds(change, 2, throughOtherProxies(), shortLeases());
}
