// Tests of what callers get from the order of waiting statements under overload.
#include "fakes/team_load.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;
using std::chrono::seconds;

namespace {

constexpr unsigned Seeds = 5;

// Share of in-time answers of the teams from `first` on.
double shareFrom(const TeamLoad &load, std::size_t first)
{
    LoadTally sum;
    for (std::size_t team = first; team < TeamLoad::Teams; ++team) {
        sum.sent += load.byTeam.at(team).sent;
        sum.inTime += load.byTeam.at(team).inTime;
    }
    return sum.inTimeShare();
}

void checkKinds(const TeamLoad &load)
{
    for (const LoadTally &kind : load.byKind) {
        cr_assert_geq(load.byKind.at(0).inTimeShare(), kind.inTimeShare());
        cr_assert_lt(kind.heldAndRefused, kind.sent * 0.03);
    }
}

} // namespace

Test(statement_order, greedy_teams,
     .description =
         "A team at 7.5 times its usual load, or three at 4.5 times, cost the other teams "
         "less than 2 %")
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        for (const std::size_t greedy : {1, 3}) {
            TeamLoad load(seed);
            std::fill_n(load.factors.begin(), greedy, greedy == 1 ? 7.5 : 4.5);
            load.burst = greedy == 1 ? 2 : 1.5;
            load.run(seconds(6));
            cr_assert_gt(shareFrom(load, greedy), 0.98);
            checkKinds(load);
        }
    }
}

Test(statement_order, burst_with_lost_targets,
     .description =
         "A burst at the last of three targets neither delays uploads nor starves browsing")
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        TeamLoad load(seed);
        load.burst = 1.8;
        load.stop(PoolerFixture::ReplicaA, seconds(6));
        load.stop(PoolerFixture::ReplicaB, seconds(6));
        load.run(seconds(6));
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
            TeamLoad load(seed, hasTeams);
            load.burst = 3;
            load.patienceDivisor = 2;
            load.run(seconds(6));
            checkKinds(load);
            return shareFrom(load, 0);
        };
        cr_assert_gt(share(true), share(false) - 0.04);
    }
}

Test(statement_order_return, new_statements_first,
     .description = "After two seconds without service, new statements go before the backlog")
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        TeamLoad load(seed);
        for (const auto &target :
             {PoolerFixture::Primary, PoolerFixture::ReplicaA, PoolerFixture::ReplicaB})
            load.stop(target, seconds(2));
        load.run(seconds(2));
        load.run(seconds(2));
        cr_assert_gt(shareFrom(load, 0), 0.97);
    }
}

Test(statement_order, patient_callers,
     .description = "Without teams, callers that wait for 15 objectives and come back after 3 s "
                    "without service do not displace new statements with their retries")
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        // The callers could not reach the pooler, or the pooler had no primary.
        for (const bool isOff : {true, false}) {
            TeamLoad load(seed, false, PatientKinds);
            load.retries = true;
            load.isOff = isOff;
            load.fixture.changeAuthority(2, TargetId());
            load.run(seconds(3));
            load.isOff = false;
            load.fixture.changeAuthority(3, PoolerFixture::Primary);
            load.run(seconds(2), seconds(13));
            cr_assert_gt(shareFrom(load, 0), isOff ? 0.97 : 0.9);
            for (const LoadTally &kind : load.byKind)
                cr_assert_eq(kind.answered, kind.sent);
        }
    }
}

Test(statement_order, one_connection_is_replaced,
     .description = "Statements of a team that wait for the same new connection close one idle "
                    "connection of another team, not one each")
{
    PoolerFixture fixture;
    RouteTable table = PoolerFixture::routes(2);
    table.hasTeams = true;
    table.teamsByKey[KeyDigest{{1}}] = TeamId("a");
    table.teamsByKey[KeyDigest{{2}}] = TeamId("b");
    fixture.pooler.routesReceived(table, fixture.now);
    // A share of two connections to each target.
    fixture.pooler.leaseReceived(fixture.now + seconds(4), 18, 0, fixture.now);
    fixture.openConnections();
    for (const auto &[key, team] : table.teamsByKey) {
        fixture.closedConnections.clear();
        for (const char *id : {"1", "2"})
            fixture.submit(fixture.open("latest", key), TextStatementKind::Write, id);
        cr_assert_leq(fixture.closedConnections.size(), 1);
        fixture.answerAll();
    }
}
