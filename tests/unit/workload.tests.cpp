// Tests of the load tool's mixes and of the stand-in's lag: shares, seeds, spells.
#include "programs/load/workload.hpp"

#include "programs/standin/apply_lag.hpp"

#include <criterion/criterion.h>

#include <cmath>
#include <map>

using namespace rhubarbweir;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Draws = 50'000;

// Share of each operation of `name`, over Draws operations.
std::map<OperationKind, double> sharesOf(MixName name)
{
    Workload workload(mixOf(name), {GroupId("g1"), GroupId("g2")}, 1);
    std::map<OperationKind, double> shares;
    for (int draw = 0; draw < Draws; ++draw)
        shares[workload.next().kind] += 1.0 / Draws;
    return shares;
}

bool isNear(double value, double expected)
{
    return std::abs(value - expected) < 0.01;
}

} // namespace

Test(workload, lakeshore, .description = "92% reads, of them 80/15/5")
{
    auto shares = sharesOf(MixName::Lakeshore);
    cr_assert(isNear(shares[OperationKind::BoundedRead], 0.92 * 0.80));
    cr_assert(isNear(shares[OperationKind::SessionRead], 0.92 * 0.15));
    cr_assert(isNear(shares[OperationKind::LatestRead], 0.92 * 0.05));
    cr_assert(isNear(shares[OperationKind::Write], 0.08));
    cr_assert(shares.count(OperationKind::Transaction) == 0);
}

Test(workload, rallye, .description = "70% reads, of them 40/45/15; a third of writes transacts")
{
    auto shares = sharesOf(MixName::Rallye);
    cr_assert(isNear(shares[OperationKind::BoundedRead], 0.70 * 0.40));
    cr_assert(isNear(shares[OperationKind::SessionRead], 0.70 * 0.45));
    cr_assert(isNear(shares[OperationKind::LatestRead], 0.70 * 0.15));
    cr_assert(isNear(shares[OperationKind::Write], 0.20));
    cr_assert(isNear(shares[OperationKind::Transaction], 0.10));
}

Test(workload, seeded, .description = "the same seed makes the same operations")
{
    Workload first(mixOf(MixName::Rallye), {GroupId("g1"), GroupId("g2")}, 7);
    Workload second(mixOf(MixName::Rallye), {GroupId("g1"), GroupId("g2")}, 7);
    int roaming = 0;
    for (int draw = 0; draw < Draws; ++draw) {
        const PlannedOperation a = first.next();
        const PlannedOperation b = second.next();
        cr_assert(a.kind == b.kind && a.group == b.group && a.statements == b.statements
                  && a.roams == b.roams);
        const bool isTransaction = a.kind == OperationKind::Transaction;
        cr_assert(isTransaction ? a.statements == 2 || a.statements == 3 : a.statements == 1);
        roaming += a.roams ? 1 : 0;
    }
    cr_assert(isNear(static_cast<double>(roaming) / Draws, 0.02));
}

Test(workload, apply_lag, .description = "a lag holds, stays in its range, and spells come")
{
    ApplyLagSettings settings;
    settings.spellShare = 0.1;
    ApplyLag lag(settings, 3);
    int spells = 0;
    TimePoint now{};
    for (int draw = 0; draw < 1000; ++draw) {
        const Duration drawn = lag.at(now);
        const bool isSpell = drawn == settings.spellLag;
        spells += isSpell ? 1 : 0;
        cr_assert(isSpell || (drawn >= settings.least && drawn <= settings.greatest));
        const Duration holds = isSpell ? settings.spellFor : settings.holdFor;
        cr_assert(lag.changesAt() == now + holds);
        cr_assert(lag.at(now + holds - milliseconds(1)) == drawn);
        now += holds;
    }
    cr_assert(spells > 60 && spells < 140);
}
