// Tests of a pooler with many targets: the index by group, and connections only to groups in use.
#include "fakes/pooler_fixture.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;
using std::chrono::seconds;

namespace {

constexpr unsigned OtherGroups = 20;

RegisteredTarget otherTarget(unsigned group, unsigned member)
{
    RegisteredTarget target;
    target.target = TargetId(absl::StrCat("o", group, "-", member));
    target.group = GroupId(absl::StrCat("o", group));
    target.address = absl::StrCat("o:", 10 * group + member);
    target.failureDomain = FailureDomainId(absl::StrCat("d", member));
    return target;
}

// Adds enough groups that a pooler must not keep connections to all targets.
void addGroups(PoolerFixture &fixture)
{
    ++fixture.view.revision;
    for (unsigned group = 0; group < OtherGroups; ++group) {
        for (unsigned member = 0; member < 3; ++member)
            fixture.view.targets.push_back(otherTarget(group, member));
    }
    fixture.pooler.viewReceived(fixture.view, fixture.now);
    RouteTable routes = PoolerFixture::routes(2);
    for (unsigned group = 0; group < OtherGroups; ++group)
        routes.groups[GroupId(absl::StrCat("o", group))].maxConnections = 40;
    fixture.pooler.routesReceived(routes, fixture.now);
}

// Lets time pass without statements; the lease is kept.
void rest(PoolerFixture &fixture, Duration time)
{
    for (Duration rested{0}; rested < time; rested += milliseconds(500)) {
        fixture.extendLease(milliseconds(4000));
        fixture.advance(milliseconds(500));
        fixture.openConnections();
    }
}

// Targets that the pooler has connections to.
std::set<TargetId> connectedTargets(const PoolerFixture &fixture)
{
    std::set<TargetId> connected;
    for (const auto &[connection, target] : fixture.targetOf) {
        if (fixture.closedConnections.count(connection) == 0)
            connected.insert(target);
    }
    return connected;
}

} // namespace

Test(pooler_scale, connections_to_groups_in_use,
     .description = "With many targets, connections are kept only to groups that callers use: 300 "
                    "poolers must not hold 240 connections each")
{
    PoolerFixture fixture;
    addGroups(fixture);
    rest(fixture, seconds(2));
    cr_assert(connectedTargets(fixture).empty());
    fixture.submit(fixture.open("latest"), TextStatementKind::Read, "r");
    fixture.answerAll();
    rest(fixture, seconds(30));
    const std::set<TargetId> used = {PoolerFixture::Primary, PoolerFixture::ReplicaA,
                                     PoolerFixture::ReplicaB};
    cr_assert(connectedTargets(fixture) == used);
    rest(fixture, seconds(40));
    cr_assert(connectedTargets(fixture).empty());
}

Test(pooler_scale, connections_to_few_targets,
     .description = "With few targets, connections are kept without any statement, as before")
{
    PoolerFixture fixture;
    rest(fixture, seconds(100));
    cr_assert_eq(connectedTargets(fixture).size(), 3);
}

Test(pooler_scale, failed_target_of_unused_group,
     .description = "A target that failed is tried again after its group is no longer used; "
                    "otherwise the pooler would complain of it for ever")
{
    PoolerFixture fixture;
    addGroups(fixture);
    fixture.submit(fixture.open("latest"), TextStatementKind::Read, "r");
    fixture.answerAll();
    rest(fixture, seconds(59));
    for (const auto &[connection, target] : std::map(fixture.targetOf)) {
        if (target == PoolerFixture::ReplicaB && fixture.closedConnections.count(connection) == 0)
            fixture.closeConnection(connection);
    }
    fixture.closeConnection(fixture.opening.front().first, TargetFailure::Refused);
    cr_assert_eq(fixture.pooler.observations().size(), 1);
    rest(fixture, seconds(10));
    cr_assert(fixture.pooler.observations().empty());
    cr_assert(connectedTargets(fixture).empty());
}
