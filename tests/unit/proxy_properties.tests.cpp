// Seeded runs of a few proxies over one group whose connections break; a checker judges every
// answer.
#include "fakes/seeded_runs.hpp"

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

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

Test(proxy_properties, roaming, .description = "callers roam in the middle of transactions")
{
    WorkloadMix mix = shortDeadlines();
    mix.roaming = 0.3;
    mix.transactions = 0.3;
    runSeeds(breakAnyHop, 1, mix);
}
