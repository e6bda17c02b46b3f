// Tests of what callers get from the order of waiting statements under overload.
#include "fakes/team_load.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

using Kind = TextStatementKind;

constexpr unsigned Seeds = 5;
constexpr std::size_t Teams = 8;

// Share of in-time answers of the teams from `first` on.
double shareFrom(TeamLoad &load, std::size_t first)
{
    LoadTally sum;
    for (std::size_t team = first; team < Teams; ++team) {
        sum.sent += load.byTeam[team].sent;
        sum.inTime += load.byTeam[team].inTime;
    }
    return sum.inTimeShare();
}

void checkKinds(TeamLoad &load)
{
    for (std::size_t kind = 1; kind < LoadKinds.size(); ++kind)
        cr_assert(load.byKind[0].inTimeShare() >= load.byKind[kind].inTimeShare());
    for (auto &[kind, tally] : load.byKind)
        cr_assert_lt(tally.heldAndRefused, tally.sent * 0.03);
}

} // namespace

Test(statement_order, greedy_teams,
     .description =
         "A team at 7.5 times its usual load, or three at 4.5 times, cost the other teams "
         "less than 2 %")
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        for (const std::size_t greedy : {1, 3}) {
            TeamLoad load(seed, Teams);
            std::fill_n(load.factors.begin(), greedy, greedy == 1 ? 7.5 : 4.5);
            load.burst = greedy == 1 ? 2 : 1.5;
            load.run(std::chrono::seconds(6));
            cr_assert_gt(shareFrom(load, greedy), 0.98);
            checkKinds(load);
        }
    }
}

Test(statement_order, burst_with_lost_targets,
     .description = "With one target left, a burst leaves uploads in time and does not starve "
                    "browsing")
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        TeamLoad load(seed, Teams);
        load.burst = 1.8;
        load.stop(PoolerFixture::ReplicaA);
        load.stop(PoolerFixture::ReplicaB);
        load.run(std::chrono::seconds(6));
        cr_assert_gt(load.byKind[0].inTimeShare(), 0.99);
        cr_assert_gt(load.byKind[2].inTimeShare(), 0.7);
        checkKinds(load);
    }
}

Test(statement_order, impatient_callers,
     .description = "Where callers give up at half of their objective, nearly as many are in time "
                    "as by the newest-first order without teams")
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        const auto share = [seed](bool hasTeams) {
            TeamLoad load(seed, Teams, hasTeams);
            load.burst = 3;
            load.patienceDivisor = 2;
            load.run(std::chrono::seconds(6));
            checkKinds(load);
            return shareFrom(load, 0);
        };
        cr_assert_gt(share(true), share(false) - 0.04);
    }
}

Test(statement_order, return_of_service,
     .description = "After two seconds without service, new statements go before the backlog")
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        TeamLoad load(seed, Teams);
        const TimePoint until = load.fixture.now + std::chrono::seconds(2);
        for (const TargetId &target :
             {PoolerFixture::Primary, PoolerFixture::ReplicaA, PoolerFixture::ReplicaB})
            load.stop(target, until);
        load.run(std::chrono::seconds(2));
        load.resetTallies();
        load.run(std::chrono::seconds(2));
        cr_assert_gt(shareFrom(load, 0), 0.97);
    }
}

Test(statement_order, one_connection_is_replaced,
     .description = "Statements of a team that wait for the same new connection close one idle "
                    "connection of another team, not one each")
{
    PoolerFixture fixture;
    RouteTable table = PoolerFixture::routes(2);
    table.hasTeams = true;
    for (const std::uint8_t team : {1, 2}) {
        KeyDigest key;
        key.bytes[0] = team;
        table.teamsByKey[key] = TeamId(std::string(1, char('a' + team)));
    }
    fixture.pooler.routesReceived(table, fixture.now);
    // A share of two connections to each target.
    fixture.pooler.leaseReceived(fixture.now + milliseconds(4000), 18, 0, fixture.now);
    fixture.openConnections();
    for (const auto &[key, team] : table.teamsByKey) {
        fixture.closedConnections.clear();
        for (const char *id : {"1", "2"})
            fixture.submit(fixture.open("latest", key), Kind::Write, id);
        cr_assert_leq(fixture.closedConnections.size(), 1);
        fixture.answerAll();
    }
}
