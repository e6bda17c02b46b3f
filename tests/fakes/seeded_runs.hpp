// Runs a workload with faults injected at random times, once for each seed.
#pragma once

#include "fakes/workload.hpp"

#include <criterion/criterion.h>

namespace rhubarbweir::fakes {

using Fault = std::function<void(ProxyFixture &)>;

inline constexpr std::uint64_t SeedCount = 1000;

// Runs one seed. Returns the first violation that the checker found, or an empty string.
inline std::string runSeed(std::uint64_t seed, const Fault &fault, int faultCount,
                           const WorkloadMix &mix, const FixtureSettings &settings)
{
    ProxyFixture fixture(seed, settings);
    Workload workload(fixture, mix);
    const TimePoint end = fixture.time.now() + std::chrono::milliseconds(700);
    workload.run(end);
    for (int count = 0; count < faultCount; ++count) {
        const Duration when(static_cast<std::int64_t>(fixture.random() % 500000));
        fixture.time.after(when, [&fixture, &fault] { fault(fixture); });
    }
    fixture.time.runUntil(end + std::chrono::milliseconds(600));
    workload.check();
    if (workload.ok == 0)
        return "nothing was answered Ok";
    return workload.violations.empty() ? std::string() : workload.violations.front();
}

inline WorkloadMix shortDeadlines()
{
    WorkloadMix mix;
    mix.timeLeft = std::chrono::milliseconds(400);
    return mix;
}

inline void runSeeds(const Fault &fault, int faultCount, const WorkloadMix &mix = shortDeadlines(),
                     const FixtureSettings &settings = {})
{
    for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
        const std::string found = runSeed(seed, fault, faultCount, mix, settings);
        cr_assert(found.empty(), "seed %d: %s", static_cast<int>(seed), found.c_str());
    }
}

inline void breakAnyHop(ProxyFixture &fixture)
{
    const char *pairs[][2] = {{"p3", "p1"}, {"p3", "p2"}, {"p1", "p2"}};
    const auto &pair = pairs[fixture.random() % 3];
    fixture.breakHop(pair[0], pair[1]);
}

inline void resetAnyLink(ProxyFixture &fixture)
{
    fixture.resetLink(fixture.random() % 2 == 0 ? "p1" : "p2");
}

inline void losePrimary(ProxyFixture &fixture)
{
    using std::chrono::milliseconds;
    const TargetId old = fixture.group.primary;
    fixture.kill(old);
    fixture.time.after(milliseconds(120), [&fixture] { fixture.failOver(milliseconds(10)); });
    fixture.time.after(milliseconds(300), [&fixture, old] { fixture.revive(old); });
}

} // namespace rhubarbweir::fakes
