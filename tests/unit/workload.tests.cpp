// Tests of the load tool's workload mixes and of the stand-in database's apply lag.
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

// Measured share of each operation kind in mix `name`, over Draws operations.
std::map<OperationKind, double> sharesOf(MixName name)
{
    Workload workload(mixOf(name), {GroupId("g1"), GroupId("g2")}, 1);
    std::map<OperationKind, double> shares;
    for (int draw = 0; draw < Draws; ++draw)
        shares[workload.next().kind] += 1.0 / Draws;
    return shares;
}

bool isClose(double value, double expected)
{
    return std::abs(value - expected) < 0.01;
}

} // namespace

Test(workload, lakeshore, .description = "92% reads: 80/15/5% bounded, session and latest")
{
    auto shares = sharesOf(MixName::Lakeshore);
    cr_assert(isClose(shares[OperationKind::BoundedRead], 0.92 * 0.80));
    cr_assert(isClose(shares[OperationKind::SessionRead], 0.92 * 0.15));
    cr_assert(isClose(shares[OperationKind::LatestRead], 0.92 * 0.05));
    cr_assert(isClose(shares[OperationKind::Write], 0.08));
    cr_assert(shares.count(OperationKind::Transaction) == 0);
}

Test(workload, rallye,
     .description = "70% reads: 40/45/15%; a third of the writes are transactions")
{
    auto shares = sharesOf(MixName::Rallye);
    cr_assert(isClose(shares[OperationKind::BoundedRead], 0.70 * 0.40));
    cr_assert(isClose(shares[OperationKind::SessionRead], 0.70 * 0.45));
    cr_assert(isClose(shares[OperationKind::LatestRead], 0.70 * 0.15));
    cr_assert(isClose(shares[OperationKind::Write], 0.20));
    cr_assert(isClose(shares[OperationKind::Transaction], 0.10));
}

Test(workload, seeded, .description = "the same seed generates the same operations")
{
    Workload first(mixOf(MixName::Rallye), {GroupId("g1"), GroupId("g2")}, 7);
    Workload second(mixOf(MixName::Rallye), {GroupId("g1"), GroupId("g2")}, 7);
    int roaming = 0;
    for (int draw = 0; draw < Draws; ++draw) {
        const PlannedOperation a = first.next();
        const PlannedOperation b = second.next();
        cr_assert(a.kind == b.kind && a.group == b.group && a.statements == b.statements
                  && a.changesProxy == b.changesProxy);
        const bool isTransaction = a.kind == OperationKind::Transaction;
        cr_assert(isTransaction ? a.statements == 2 || a.statements == 3 : a.statements == 1);
        roaming += a.changesProxy ? 1 : 0;
    }
    cr_assert(isClose(static_cast<double>(roaming) / Draws, 0.02));
}

Test(workload, apply_lag,
     .description = "a lag lasts, is in its range, and spells of long lag occur")
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
        cr_assert(isSpell || (drawn >= settings.shortest && drawn <= settings.longest));
        const Duration holds = isSpell ? settings.spellFor : settings.holdFor;
        cr_assert(lag.changesAt() == now + holds);
        cr_assert(lag.at(now + holds - milliseconds(1)) == drawn);
        now += holds;
    }
    cr_assert(spells > 60 && spells < 140);
}
