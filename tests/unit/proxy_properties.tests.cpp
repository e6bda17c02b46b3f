// Seeded runs of several proxies and one group with connection faults; a checker verifies every
// answer.
#include "fakes/seeded_runs.hpp"

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

Test(proxy_properties, no_faults, .description = "all guarantees hold without faults")
{
    runSeeds(nullptr, 0);
}

Test(proxy_properties, broken_hops,
     .description = "a broken connection between proxies causes no second run and no wrong answer")
{
    runSeeds(breakAnyHop, 6);
}

Test(proxy_properties, reset_connections,
     .description = "reset target connections cause no second run and no mixed-up answers")
{
    runSeeds(resetAnyLink, 8);
}

Test(proxy_properties, roaming,
     .description = "guarantees hold when callers change proxies during transactions")
{
    WorkloadMix mix = shortDeadlines();
    mix.roaming = 0.3;
    mix.transactions = 0.3;
    runSeeds(breakAnyHop, 1, mix);
}
