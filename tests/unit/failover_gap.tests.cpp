// Measures in virtual time how long writes are unavailable during a failover, and how often a slow
// network is mistaken for a loss. Run with --verbose=1 to print the distributions.
#include "unit/group_fakes.hpp"

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

class Distribution
{
public:
    void add(Duration value) { this->values.push_back(value); }

    Duration at(double share)
    {
        std::sort(this->values.begin(), this->values.end());
        const auto last = static_cast<double>(this->values.size() - 1);
        return this->values[static_cast<std::size_t>(share * last)];
    }

    void print(const char *name)
    {
        const auto inMilliseconds = [this](double share) {
            return static_cast<double>(this->at(share).count()) / 1000;
        };
        cr_log_info("%s: n=%zu p50=%.0f ms p90=%.0f ms p99=%.0f ms max=%.0f ms", name,
                    this->values.size(), inMilliseconds(0.5), inMilliseconds(0.9),
                    inMilliseconds(0.99), inMilliseconds(1));
    }

private:
    std::vector<Duration> values;
};

enum class Loss {
    Kill,
    SilentCut,
};

// Returns the time from the loss of the primary to the first write confirmed in a later term.
Duration measureLoss(std::uint64_t seed, Loss loss)
{
    FakeGroup group(seed);
    group.simulation.runFor(milliseconds(4000 + group.simulation.pick(0, 400)));
    cr_assert(group.isSteady() && !group.confirmedBy.empty(), "seed %lu", seed);
    const std::uint64_t term = group.record()->term;
    const int primary = group.indexOf(group.record()->primary);
    const TimePoint lostAt = group.simulation.now();
    if (loss == Loss::Kill)
        group.stopTarget(primary);
    else
        group.simulation.cutOff(group.targets[primary].id.value);
    while (group.confirmedBy.upper_bound(term) == group.confirmedBy.end()
           && group.simulation.now() < lostAt + std::chrono::seconds(10))
        group.simulation.runFor(milliseconds(1));
    return std::chrono::duration_cast<Duration>(group.simulation.now() - lostAt);
}

Distribution measureLosses(Loss loss)
{
    Distribution gaps;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed)
        gaps.add(measureLoss(seed, loss));
    return gaps;
}

} // namespace

Test(failover_gap, kill,
     .description = "1,000 seeds: from kill to first confirmed write, p99 at most 2 s")
{
    Distribution gaps = measureLosses(Loss::Kill);
    gaps.print("kill");
    cr_assert(gaps.at(0.99) <= std::chrono::seconds(2));
    cr_assert(gaps.at(1) <= std::chrono::seconds(8));
}

Test(failover_gap, silent_cut,
     .description = "1,000 seeds: from disconnection to first confirmed write, p99 at most 2 s")
{
    Distribution gaps = measureLosses(Loss::SilentCut);
    gaps.print("silent cut");
    cr_assert(gaps.at(0.99) <= std::chrono::seconds(2));
    cr_assert(gaps.at(1) <= std::chrono::seconds(8));
}

Test(
    failover_gap, planned,
    .description =
        "1,000 seeds: longest gap between confirmed writes in a planned change, p99 at most 300 ms")
{
    Distribution gaps;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        FakeGroup group(seed);
        group.simulation.runFor(milliseconds(4000 + group.simulation.pick(0, 400)));
        const TargetId former = group.record()->primary;
        group.confirmGaps.clear();
        group.controls.leader()->node->receiveFromOperator(
            1, PlannedChange{"planned", group.group, TargetId()}, group.simulation.now());
        group.simulation.runFor(std::chrono::seconds(2));
        cr_assert(group.isSteady() && group.record()->primary != former, "seed %lu", seed);
        gaps.add(*std::max_element(group.confirmGaps.begin(), group.confirmGaps.end()));
    }
    gaps.print("planned");
    cr_assert(gaps.at(0.99) <= milliseconds(300));
}

Test(failover_gap, false_alarms, .description = "slow messages alone cause no failover")
{
    // One message in ten is delayed by up to 400 ms, along with all that follow it on its
    // connection.
    int alarms = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        FakeGroup group(seed);
        group.simulation.runFor(std::chrono::seconds(3));
        const std::uint64_t term = group.record()->term;
        group.simulation.maxSlowDelay = milliseconds(400);
        group.simulation.slowMessageInterval = 10;
        group.simulation.runFor(std::chrono::seconds(30));
        alarms += static_cast<int>(group.record()->term - term);
    }
    cr_log_info("false alarms: %d in 200 runs of 30 s", alarms);
    cr_assert(alarms == 0);
}
