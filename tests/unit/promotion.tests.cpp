// Property tests of failover in virtual time: one group of three databases under crashes,
// disconnections and changes of the control leader.
#include "unit/group_fakes.hpp"

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

// Repairs all faults, waits, and checks that the group is available and has kept every confirmed
// write.
void checkRecovered(FakeGroup &group, std::uint64_t seed)
{
    for (const FakeTarget &target : group.targets) {
        group.simulation.heal(target.id.value);
        group.simulation.start(target.id.value);
    }
    for (FakeControls::Instance &control : group.controls.instances) {
        group.simulation.heal(control.name);
        group.controls.rejoin(control);
    }
    group.simulation.runFor(std::chrono::seconds(6));
    cr_assert(group.isSteady(), "seed %lu: the group does not become steady", seed);
    const int primary = group.indexOf(group.record()->primary);
    cr_assert(primary >= 0);
    const FakeTarget &target = group.targets[primary];
    cr_assert(target.role == TargetRole::Primary && target.adoptedTerm == group.record()->term);
    group.checkHoldsConfirmed(target);
    cr_assert(group.simulation.now() - group.lastConfirmed < std::chrono::seconds(1),
              "seed %lu: no writes are confirmed after recovery", seed);
}

void injectFault(FakeGroup &group)
{
    Simulation &simulation = group.simulation;
    const GroupRecord *record = group.record();
    const int primary = record == nullptr ? -1 : group.indexOf(record->primary);
    // Faults affect the primary more often than the replicas.
    const std::size_t victim =
        primary >= 0 && simulation.pick(0, 1) == 0 ? primary : simulation.pick(0, 2);
    const std::string target = group.targets[victim].id.value;
    const Duration duration = milliseconds(simulation.pick(50, 3000));
    switch (simulation.pick(0, 3)) {
    case 0:
        group.stopTarget(victim);
        simulation.after(duration, [&simulation, target] { simulation.start(target); });
        return;
    case 1:
        simulation.cutOff(target);
        simulation.after(duration, [&simulation, target] { simulation.heal(target); });
        return;
    case 2:
        group.controls.replaceLeader();
        return;
    default:
        if (FakeControls::Instance *leader = group.controls.leader()) {
            const std::string name = leader->name;
            simulation.cutOff(name);
            group.controls.replaceLeader();
            simulation.after(duration, [&group, name] {
                group.simulation.heal(name);
                group.controls.rejoin(*group.controls.find(name));
            });
        }
    }
}

// Runs the seeds from `first` to `last`. Returns the number of terms begun.
std::uint64_t runSeeds(std::uint64_t first, std::uint64_t last)
{
    std::uint64_t terms = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        FakeGroup group(seed);
        group.simulation.runFor(std::chrono::seconds(2));
        for (int fault = 0; fault < 8; ++fault) {
            injectFault(group);
            group.simulation.runFor(milliseconds(group.simulation.pick(5, 900)));
        }
        checkRecovered(group, seed);
        terms += group.record()->term;
    }
    return terms;
}

} // namespace

Test(promotion, random_faults_1,
     .description =
         "seeds 1-500: no confirmed write is lost, one primary per term, the group recovers")
{
    cr_assert(runSeeds(1, 500) > 1000, "too few failovers for a meaningful test");
}

Test(promotion, random_faults_2,
     .description =
         "seeds 501-1,000: no confirmed write is lost, one primary per term, the group recovers")
{
    cr_assert(runSeeds(501, 1000) > 1000, "too few failovers for a meaningful test");
}
