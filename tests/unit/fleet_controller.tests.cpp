// Tests of the fleet's control decisions: configuration, registration, leases, and changes of the
// primary under lost poolers, targets, leaders and calls.
#include "fakes/fleet_fixture.hpp"
#include "rhubarbweir/protocol/fleet_codec.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

// A group under authority, with two poolers that hold leases and the newest view.
struct RunningFleet : FleetFixture
{
    RunningFleet()
    {
        this->passGrace();
        this->startGroup();
        this->stayInTouch();
    }

    // Both poolers renew for long enough that their reports count.
    void stayInTouch()
    {
        for (int round = 0; round < 5; ++round) {
            this->renewBoth();
            this->beat();
            this->advance(milliseconds(500));
        }
        this->renewBoth();
    }

    void renewBoth(const std::vector<std::string> &complaints = {})
    {
        this->renew("p1", this->revision(), complaints);
        this->renew("p2", this->revision(), complaints);
    }

    // Both poolers report the group as overloaded, every 300 ms.
    void reportOverload(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            this->renew("p1", this->revision(), {}, 1, true);
            this->renew("p2", this->revision(), {}, 1, true);
            this->beat();
            this->advance(milliseconds(300));
        }
    }

    // The primary dies and both poolers say so.
    void losePrimary()
    {
        this->dead.insert(TargetId("t1"));
        this->leading = TargetId();
        this->renewBoth({"t1"});
        this->advance(milliseconds(20));
    }
};

} // namespace

Test(fleet_controller, first_authority,
     .description = "The target that says it leads gets the first authority")
{
    FleetFixture fleet;
    fleet.startGroup();
    cr_assert_eq(fleet.authority().primary, TargetId("t1"));
    cr_assert_eq(fleet.authority().generation, 1);
}

Test(fleet_controller, highest_version,
     .description = "Only a higher version changes the configuration")
{
    FleetFixture fleet;
    cr_assert_eq(fleet.configure(7, "seven"), FleetCallOutcome::Accepted);
    cr_assert_eq(fleet.configure(7, "other"), FleetCallOutcome::Accepted);
    cr_assert_eq(fleet.configure(6, "six"), FleetCallOutcome::Accepted);
    cr_assert_eq(fleet.controller.configuration(fleet.now)->document.bytes, "seven");
}

Test(fleet_controller, uncertain_reader,
     .description = "A leader without a lease tells no configuration and accepts none")
{
    FleetFixture fleet;
    fleet.configure(7, "seven");
    fleet.hasLease = false;
    cr_assert(!fleet.controller.configuration(fleet.now));
    cr_assert_eq(fleet.configure(8, "eight"), FleetCallOutcome::NotLeader);
}

Test(fleet_controller, lost_leadership,
     .description = "A call that was not committed before the leadership ended is not acknowledged")
{
    FleetFixture fleet;
    std::optional<FleetCallOutcome> result;
    fleet.controller.configurationSent(
        3, OpaqueBytes("three"), [&result](FleetCallOutcome outcome) { result = outcome; },
        fleet.now);
    fleet.isLeader = false;
    fleet.controller.leadershipChanged(fleet.now);
    cr_assert_eq(*result, FleetCallOutcome::Unavailable);
}

Test(fleet_controller, late_heartbeat,
     .description = "A late call of an earlier start changes nothing")
{
    FleetFixture fleet;
    fleet.announce(FleetFixture::target("t1", true, 5, TargetPhase::Ready, 10));
    fleet.announce(FleetFixture::target("t1", false, 9, TargetPhase::Draining, 9));
    fleet.announce(FleetFixture::target("t1", false, 4, TargetPhase::Draining, 10));
    cr_assert_eq(fleet.controller.state().find(TargetId("t1"))->phase, TargetPhase::Ready);
    fleet.announce(FleetFixture::target("t1", false, 1, TargetPhase::Ready, 11));
    cr_assert_eq(fleet.controller.state().find(TargetId("t1"))->born, 11);
}

Test(fleet_controller, reused_address,
     .description = "An address belongs to the start that came last")
{
    FleetFixture fleet;
    fleet.announce(FleetFixture::target("t1", true, 5, TargetPhase::Ready, 10));
    RegisteredTarget next = FleetFixture::target("t9", false, 1, TargetPhase::Ready, 20);
    next.address = "t1:1";
    next.group = GroupId("other");
    fleet.announce(next);
    cr_assert_null(fleet.controller.state().find(TargetId("t1")));
    fleet.announce(FleetFixture::target("t1", true, 6, TargetPhase::Ready, 10));
    cr_assert_null(fleet.controller.state().find(TargetId("t1")));
}

Test(fleet_controller, left_target,
     .description = "A target that left does not come back by a late call")
{
    FleetFixture fleet;
    fleet.announce(FleetFixture::target("t2", false, 5));
    fleet.controller.targetLeft(
        TargetId("t2"), [](FleetCallOutcome) {}, fleet.now);
    fleet.commit();
    fleet.announce(FleetFixture::target("t2", false, 50));
    cr_assert_eq(fleet.controller.state().find(TargetId("t2"))->phase, TargetPhase::Left);
}

Test(fleet_controller, one_complaint, .description = "One pooler's complaint alone replaces nobody")
{
    RunningFleet fleet;
    for (int round = 0; round < 10; ++round) {
        fleet.renew("p1", fleet.revision(), {"t1"});
        fleet.renew("p2", fleet.revision());
        fleet.renew("p3", fleet.revision());
        fleet.beat();
        fleet.advance(milliseconds(500));
    }
    cr_assert_eq(fleet.authority().primary, TargetId("t1"));
}

Test(fleet_controller, after_a_cut,
     .description = "What poolers saw behind a cut does not count when they return")
{
    RunningFleet fleet;
    for (int round = 0; round < 10; ++round) {
        fleet.renew("p1", fleet.revision());
        fleet.beat();
        fleet.advance(milliseconds(500));
    }
    for (const std::string pooler : {"p2", "p3", "p4"})
        fleet.renew(pooler, fleet.revision(), {"t1"});
    fleet.advance(milliseconds(300));
    cr_assert_eq(fleet.authority().primary, TargetId("t1"));
}

Test(fleet_controller, slow_primary,
     .description = "A primary that answers probes is not replaced for a late announcement")
{
    RunningFleet fleet;
    for (int round = 0; round < 20; ++round) {
        fleet.renewBoth();
        fleet.advance(milliseconds(500));
    }
    cr_assert_eq(fleet.authority().primary, TargetId("t1"));
}

Test(fleet_controller, failover,
     .description = "A lost primary is replaced by the most advanced replica")
{
    RunningFleet fleet;
    fleet.positions[TargetId("t2")] = {1, 10};
    fleet.positions[TargetId("t3")] = {1, 12};
    fleet.losePrimary();
    cr_assert(fleet.authority().primary.empty());
    fleet.renewBoth({"t1"});
    fleet.advance(milliseconds(200));
    cr_assert_eq(fleet.promotions.size(), 1);
    cr_assert_eq(fleet.promotions.back().target, TargetId("t3"));
    fleet.answerPromotion(PromotionOutcome::Accepted);
    fleet.advance(milliseconds(200));
    cr_assert_eq(fleet.authority().primary, TargetId("t3"));
    cr_assert_eq(fleet.authority().generation, 3);
}

Test(fleet_controller, silent_holder,
     .description = "A promotion waits for the lease of a silent pooler")
{
    RunningFleet fleet;
    fleet.losePrimary();
    fleet.renew("p1", fleet.revision(), {"t1"});
    fleet.advance(milliseconds(3500));
    cr_assert(fleet.promotions.empty());
    fleet.renew("p1", fleet.revision(), {"t1"});
    fleet.advance(milliseconds(1000));
    cr_assert_eq(fleet.promotions.size(), 1);
}

Test(fleet_controller, restarted_holder,
     .description = "A new start of a pooler ends the lease of the old one")
{
    RunningFleet fleet;
    fleet.losePrimary();
    fleet.renew("p1", fleet.revision(), {"t1"});
    fleet.renew("p2", fleet.revision(), {"t1"}, 2);
    fleet.advance(milliseconds(300));
    cr_assert_eq(fleet.promotions.size(), 1);
}

Test(fleet_controller, new_leader,
     .description = "A new leader waits for all leases that the former one may have granted")
{
    RunningFleet fleet;
    fleet.losePrimary();
    fleet.changeLeader();
    fleet.renew("p1", fleet.revision(), {"t1"});
    fleet.advance(milliseconds(3900));
    cr_assert(fleet.promotions.empty());
    fleet.advance(milliseconds(800));
    cr_assert(!fleet.promotions.empty());
}

Test(fleet_controller, new_leader_heard_all,
     .description = "A new leader that heard every registered pooler does not wait for old leases")
{
    RunningFleet fleet;
    fleet.losePrimary();
    fleet.changeLeader();
    fleet.renew("p1", fleet.revision(), {"t1"});
    fleet.renew("p2", fleet.revision() - 1, {"t1"});
    fleet.advance(milliseconds(500));
    cr_assert(fleet.promotions.empty());
    fleet.renew("p2", fleet.revision(), {"t1"});
    fleet.advance(milliseconds(100));
    cr_assert_eq(fleet.promotions.size(), 1);
}

Test(fleet_controller, registered_before_lease,
     .description = "A pooler gets its first lease once its registration is committed")
{
    FleetFixture fleet;
    fleet.holdsCommits = true;
    fleet.renew("p1", 0);
    fleet.advance(milliseconds(200));
    cr_assert_null(fleet.lastLease("p1"));
    fleet.holdsCommits = false;
    fleet.commit();
    cr_assert_not_null(fleet.lastLease("p1"));
    cr_assert_eq(fleet.lastLease("p1")->sequence, fleet.sequence);
}

Test(fleet_controller, late_renewal,
     .description = "A late renewal of an earlier start does not end the present one")
{
    FleetFixture fleet;
    fleet.renew("p1", 0, {}, 1);
    fleet.renew("p1", 0, {}, 2);
    fleet.changeLeader();
    fleet.sent.clear();
    fleet.renew("p1", 0, {}, 1);
    cr_assert_null(fleet.lastLease("p1"));
    fleet.renew("p1", 0, {}, 2);
    cr_assert_not_null(fleet.lastLease("p1"));
}

Test(fleet_controller, former_poolers,
     .description = "Poolers that have just started count twice, and unheard ones too")
{
    FleetFixture fleet;
    fleet.renew("p1", 0);
    fleet.renew("p2", 0);
    fleet.advance(milliseconds(5000));
    fleet.renew("p1", 0);
    cr_assert_eq(fleet.lastLease("p1")->poolers, 2);
    cr_assert_eq(fleet.lastLease("p1")->formerPoolers, 0);
    fleet.changeLeader();
    fleet.renew("p1", 0, {}, 2);
    cr_assert_eq(fleet.lastLease("p1")->poolers, 2);
    cr_assert_eq(fleet.lastLease("p1")->formerPoolers, 2);
    fleet.renew("p2", 0);
    fleet.renew("p1", 0, {}, 2);
    cr_assert_eq(fleet.lastLease("p1")->formerPoolers, 1);
    fleet.advance(milliseconds(3000));
    fleet.renew("p1", 0, {}, 2);
    cr_assert_eq(fleet.lastLease("p1")->formerPoolers, 0);
}

Test(fleet_controller, forgotten_pooler,
     .description = "A pooler that stays away counts for a while and is then forgotten")
{
    FleetFixture fleet;
    fleet.renew("p1", 0);
    fleet.renew("p2", 0);
    fleet.advance(std::chrono::seconds(15));
    fleet.renew("p1", 0);
    cr_assert_eq(fleet.lastLease("p1")->poolers, 2);
    fleet.advance(std::chrono::seconds(15));
    fleet.renew("p1", 0);
    cr_assert_eq(fleet.lastLease("p1")->poolers, 1);
}

Test(fleet_controller, lost_call,
     .description = "A promotion without an answer is asked for again with the same token")
{
    RunningFleet fleet;
    fleet.losePrimary();
    fleet.renewBoth({"t1"});
    fleet.advance(milliseconds(200));
    fleet.controller.promotionAnswered(fleet.promotions.back(), PromotionOutcome::Unknown,
                                       fleet.now);
    fleet.advance(milliseconds(600));
    cr_assert_geq(fleet.promotions.size(), 2);
    cr_assert_eq(fleet.promotions.front().token, fleet.promotions.back().token);
    cr_assert_eq(fleet.promotions.front().target, fleet.promotions.back().target);
}

Test(fleet_controller, new_holder,
     .description = "Another leader goes on with a promotion under a higher token")
{
    RunningFleet first;
    first.losePrimary();
    first.renewBoth({"t1"});
    first.advance(milliseconds(200));
    FleetFixture second("c2");
    second.takeOver(first);
    second.advance(milliseconds(5000));
    cr_assert(!second.promotions.empty());
    cr_assert_gt(second.promotions.front().token, first.promotions.back().token);
}

Test(fleet_controller, refused_call,
     .description = "A candidate that died meanwhile is replaced by another one")
{
    RunningFleet fleet;
    fleet.positions[TargetId("t3")] = {1, 12};
    fleet.losePrimary();
    fleet.renewBoth({"t1"});
    fleet.advance(milliseconds(200));
    fleet.dead.insert(TargetId("t3"));
    fleet.answerPromotion(PromotionOutcome::Refused);
    fleet.advance(milliseconds(1500));
    cr_assert_eq(fleet.promotions.back().target, TargetId("t2"));
}

Test(fleet_controller, planned,
     .description = "A draining primary is replaced after a replica has caught up")
{
    RunningFleet fleet;
    fleet.positions[TargetId("t1")] = {1, 20};
    fleet.positions[TargetId("t2")] = {1, 15};
    fleet.positions[TargetId("t3")] = {1, 14};
    fleet.announce(FleetFixture::target("t1", true, ++fleet.sequence, TargetPhase::Draining));
    fleet.advance(milliseconds(50));
    fleet.renewBoth();
    fleet.advance(milliseconds(200));
    cr_assert(fleet.promotions.empty());
    fleet.positions[TargetId("t2")] = {1, 20};
    fleet.advance(milliseconds(200));
    cr_assert_eq(fleet.promotions.size(), 1);
    cr_assert_eq(fleet.promotions.back().target, TargetId("t2"));
}

Test(fleet_controller, planned_beside_silence,
     .description = "A leaving primary serves on for a while beside a silent pooler, but not long")
{
    RunningFleet fleet;
    fleet.renew("p3", fleet.revision());
    fleet.advance(milliseconds(1900));
    fleet.renewBoth();
    fleet.announce(FleetFixture::target("t1", true, ++fleet.sequence, TargetPhase::Draining));
    fleet.advance(milliseconds(1000));
    fleet.renewBoth();
    cr_assert_eq(fleet.authority().primary, TargetId("t1"));
    fleet.advance(milliseconds(2100));
    cr_assert(fleet.authority().primary.empty());
}

Test(fleet_controller, relief,
     .description = "An overloaded primary whose replicas are behind gives way to one of them")
{
    RunningFleet fleet;
    for (const std::string target : {"t1", "t2", "t3"})
        fleet.positions[TargetId(target)] = {1, 20};
    fleet.reportOverload(1);
    cr_assert_eq(fleet.authority().primary, TargetId("t1"));
    fleet.reportOverload(1);
    cr_assert(fleet.authority().primary.empty());
    fleet.renewBoth();
    fleet.advance(milliseconds(200));
    cr_assert_eq(fleet.promotions.size(), 1);
    cr_assert_neq(fleet.promotions.back().target, TargetId("t1"));
    fleet.answerPromotion(PromotionOutcome::Accepted);
    fleet.advance(milliseconds(200));
    cr_assert_eq(fleet.authority().primary, fleet.leading);
    // Not again so soon.
    fleet.reportOverload(8);
    cr_assert_eq(fleet.authority().primary, fleet.leading);
}

Test(fleet_controller, relief_given_up,
     .description = "An overloaded primary goes on when no replica has received all it holds")
{
    RunningFleet fleet;
    fleet.positions[TargetId("t1")] = {1, 20};
    fleet.positions[TargetId("t2")] = {1, 15};
    fleet.reportOverload(2);
    cr_assert(fleet.authority().primary.empty());
    fleet.renewBoth();
    fleet.advance(milliseconds(1000));
    cr_assert(fleet.promotions.empty());
    cr_assert_eq(fleet.authority().primary, TargetId("t1"));
}

Test(fleet_controller, relief_beside_silence,
     .description = "No primary is relieved while a pooler that may hold a lease is silent")
{
    RunningFleet fleet;
    fleet.renew("p3", fleet.revision());
    fleet.advance(milliseconds(1700));
    fleet.reportOverload(4);
    cr_assert_eq(fleet.authority().primary, TargetId("t1"));
    cr_assert(fleet.promotions.empty());
}

Test(fleet_controller, unanswered_relief,
     .description = "A relief that a pooler does not acknowledge is given up")
{
    RunningFleet fleet;
    for (const std::string target : {"t1", "t2", "t3"})
        fleet.positions[TargetId(target)] = {1, 20};
    fleet.reportOverload(2);
    cr_assert(fleet.authority().primary.empty());
    fleet.renew("p1", fleet.revision());
    fleet.advance(milliseconds(700));
    cr_assert(fleet.promotions.empty());
    cr_assert_eq(fleet.authority().primary, TargetId("t1"));
}

Test(fleet_controller, unconfirmed_overload,
     .description = "Few poolers' reports of overload relieve nobody")
{
    RunningFleet fleet;
    for (int round = 0; round < 20; ++round) {
        fleet.renew("p1", fleet.revision(), {}, 1, round >= 10);
        fleet.renew("p2", fleet.revision());
        fleet.renew("p3", fleet.revision());
        fleet.beat();
        fleet.advance(milliseconds(500));
    }
    cr_assert_eq(fleet.authority().primary, TargetId("t1"));
}

Test(fleet_controller, false_alarm,
     .description = "A primary that can be reached again gets its authority back")
{
    RunningFleet fleet;
    fleet.renewBoth({"t1"});
    fleet.advance(milliseconds(20));
    cr_assert(fleet.authority().primary.empty());
    fleet.renewBoth();
    fleet.advance(milliseconds(300));
    cr_assert(fleet.promotions.empty());
    cr_assert_eq(fleet.authority().primary, TargetId("t1"));
}

Test(fleet_controller, tokens_grow, .description = "Each change of a primary has a higher token")
{
    RunningFleet fleet;
    fleet.losePrimary();
    fleet.renewBoth({"t1"});
    fleet.advance(milliseconds(200));
    const std::uint64_t first = fleet.promotions.back().token;
    fleet.answerPromotion(PromotionOutcome::Accepted);
    fleet.advance(milliseconds(200));
    const TargetId second = fleet.authority().primary;
    fleet.dead.insert(second);
    fleet.renewBoth({second.value});
    fleet.advance(milliseconds(20));
    fleet.renewBoth({second.value});
    fleet.advance(milliseconds(700));
    cr_assert_gt(fleet.promotions.back().token, first);
}

Test(fleet_controller, not_leading,
     .description = "An instance that does not lead redirects poolers and grants nothing")
{
    FleetFixture fleet;
    fleet.hasLease = false;
    fleet.renew("p1", 0);
    cr_assert(std::holds_alternative<FleetRedirect>(fleet.sent.back().second));
}

Test(fleet_controller, snapshot, .description = "Commands and snapshots survive encoding")
{
    RunningFleet fleet;
    fleet.configure(9, "nine");
    const auto decoded =
        decodeFleetSnapshot(encodeFleetSnapshot(fleet.controller.state().snapshot()));
    cr_assert(decoded.ok());
    FleetState restored;
    restored.restore(*decoded);
    cr_assert_eq(restored.configuration().version, 9);
    cr_assert_eq(restored.authority(FleetFixture::Group)->primary, TargetId("t1"));
    cr_assert_eq(restored.viewRevision(), fleet.revision());
    cr_assert(!decodeFleetCommand("rubbish").ok());
    cr_assert(!decodeFleetSnapshot("").ok());
    const auto command = decodeFleetCommand(
        encodeFleetCommand(StoreConfiguration{4, OpaqueBytes(std::string("\0x", 2))}));
    cr_assert(command.ok());
    cr_assert_eq(std::get<StoreConfiguration>(*command).document.bytes.size(), 2);
}
