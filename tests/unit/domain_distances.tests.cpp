// Tests of the distances of failure domains that a pooler learns, and of its choice of targets in
// two regions.
#include "rhubarbweir/coordination/sessions/domain_distances.hpp"

#include "fakes/pooler_fixture.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;
using std::chrono::seconds;

namespace {

const FailureDomainId Own{"own"};
const FailureDomainId Near{"near"};
const FailureDomainId Far{"far"};

void record(DomainDistances &distances, const FailureDomainId &domain, Duration took, int times,
            TimePoint now = TimePoint(seconds(1)))
{
    for (int count = 0; count < times; ++count)
        distances.record(domain, took, now);
}

// Accepts all connections and answers all commands, those of ReplicaB after `distance`.
void answerAtDistance(PoolerFixture &fixture, Duration distance)
{
    const auto passTime = [&fixture, distance](const TargetId &target) {
        fixture.advance(target == PoolerFixture::ReplicaB ? distance : Duration(milliseconds(5)));
    };
    while (!fixture.opening.empty() || !fixture.unanswered.empty()) {
        if (!fixture.opening.empty()) {
            const auto [connection, target] = fixture.opening.front();
            passTime(target);
            fixture.opening.pop_front();
            fixture.pooler.targetOpened(connection, fixture.positions[target], fixture.now);
        } else {
            passTime(fixture.unanswered.front().target);
            fixture.answerNext();
        }
    }
}

// Runs reads one after another at each target, so that the pooler learns their distances.
void learn(PoolerFixture &fixture, Duration distance)
{
    fixture.warmUp();
    for (int round = 0; round < 12; ++round) {
        fixture.extendLease(milliseconds(4000));
        fixture.submit(fixture.open("latest"), TextStatementKind::Read, "l");
        for (int count = 0; count < 6; ++count)
            fixture.submit(fixture.open("bounded"), TextStatementKind::Read, "b");
        answerAtDistance(fixture, distance);
    }
    fixture.sent.clear();
}

std::size_t sentTo(const PoolerFixture &fixture, const TargetId &target)
{
    const auto sent = fixture.statements();
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(),
                      [&target](const SentCommand &each) { return each.target == target; }));
}

} // namespace

Test(domain_distances, equal_distances,
     .description = "Domains of one region are not distant, so that targets there are chosen as "
                    "without learned distances")
{
    DomainDistances distances(Own);
    record(distances, Own, milliseconds(1), 10);
    record(distances, Near, milliseconds(15), 10);
    cr_assert(distances.distantDomains().empty());
    cr_assert_eq(distances.extraRoundTrip(Near).count(), 0);
}

Test(domain_distances, few_times,
     .description =
         "A few answers that took long, as behind long statements, make no domain distant")
{
    DomainDistances distances(Own);
    record(distances, Own, milliseconds(2), 10);
    record(distances, Near, milliseconds(60), 3);
    cr_assert(!distances.isDistant(Near));
    record(distances, Near, milliseconds(60), 1);
    cr_assert(distances.isDistant(Near));
    record(distances, Near, milliseconds(3), 1);
    cr_assert(!distances.isDistant(Near));
}

Test(domain_distances, overload,
     .description = "An overload in which a domain answers nothing quickly for a minute does not "
                    "make it distant, but a lasting longer route does")
{
    DomainDistances distances(Own);
    record(distances, Own, milliseconds(2), 10);
    record(distances, Near, milliseconds(3), 10);
    for (int second = 2; second < 60; ++second)
        record(distances, Near, milliseconds(80), 10, TimePoint(seconds(second)));
    cr_assert(!distances.isDistant(Near));
    for (int second = 60; second < 300; ++second)
        record(distances, Near, milliseconds(80), 1, TimePoint(seconds(second)));
    cr_assert(distances.isDistant(Near));
    cr_assert_eq(distances.extraRoundTrip(Near).count(), Duration(milliseconds(78)).count());
}

Test(domain_distances, own_domain, .description = "The own domain is never distant, however slow")
{
    DomainDistances distances(Own);
    record(distances, Far, milliseconds(2), 10);
    record(distances, Own, milliseconds(60), 10);
    cr_assert(distances.distantDomains().empty());
}

Test(domain_distances, reads_stay_in_region,
     .description =
         "Reads that a replica in the region can serve in time do not cross regions when "
         "several run at once")
{
    PoolerFixture fixture;
    learn(fixture, milliseconds(35));
    for (int count = 0; count < 12; ++count)
        fixture.submit(fixture.open("bounded"), TextStatementKind::Read, "r");
    fixture.openConnections();
    cr_assert_eq(sentTo(fixture, PoolerFixture::ReplicaB), 0);
    PoolerFixture oneRegion;
    learn(oneRegion, milliseconds(10));
    for (int count = 0; count < 12; ++count)
        oneRegion.submit(oneRegion.open("bounded"), TextStatementKind::Read, "r");
    oneRegion.openConnections();
    cr_assert_neq(sentTo(oneRegion, PoolerFixture::ReplicaB), 0);
}

Test(domain_distances, late_reads_leave_region,
     .description = "A read that waits in vain for a connection in its region is sent to another "
                    "one before its objective ends")
{
    PoolerFixture fixture;
    learn(fixture, milliseconds(35));
    std::vector<SessionNumber> sessions;
    // Leaves no idle connection to the replica in the region; new ones are not accepted.
    for (int count = 0; count < 40 && fixture.opening.empty(); ++count)
        fixture.submit(fixture.open("bounded"), TextStatementKind::Read, "r");
    cr_assert_eq(sentTo(fixture, PoolerFixture::ReplicaB), 0);
    fixture.advance(milliseconds(90));
    cr_assert_eq(sentTo(fixture, PoolerFixture::ReplicaB), 0);
    fixture.advance(milliseconds(20));
    cr_assert_eq(sentTo(fixture, PoolerFixture::ReplicaB), 1);
}

namespace {

// Whether the pooler keeps a connection to the replica in its region, which is the only one there.
bool keepsHomeReplica(std::uint32_t poolers)
{
    PoolerFixture fixture;
    learn(fixture, milliseconds(35));
    for (int round = 0; round < 6; ++round) {
        fixture.pooler.leaseReceived(fixture.now + milliseconds(4000), poolers, 0, fixture.now);
        fixture.advance(milliseconds(500));
        fixture.openConnections();
    }
    return std::any_of(fixture.targetOf.begin(), fixture.targetOf.end(),
                       [&fixture](const auto &each) {
                           return each.second == PoolerFixture::ReplicaA
                                  && fixture.closedConnections.count(each.first) == 0;
                       });
}

} // namespace

Test(domain_distances, home_replica_of_a_region,
     .description = "Where a single replica is the home of all poolers of a region, their "
                    "connections together stay below its limit")
{
    // Two of three domains are in the region, and poolers may open 36 connections to a target.
    cr_assert(keepsHomeReplica(54));
    cr_assert(!keepsHomeReplica(60));
}
