// Tests of announcements that control instances take for the leader.
#include "rhubarbweir/coordination/fleet/announcement_relay.hpp"

#include "fakes/fleet_fixture.hpp"
#include "rhubarbweir/coordination/fleet/send_pace.hpp"
#include "rhubarbweir/protocol/fleet_codec.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

// A relay in virtual time with a leader that the test scripts.
struct RelayFixture
{
    RelayFixture() { this->relay.setLeader("leader:1"); }

    // Empty while the call waits.
    std::optional<FleetCallOutcome> announce(const std::string &name, std::uint64_t sequence,
                                             TargetPhase phase = TargetPhase::Ready,
                                             std::int64_t born = 1)
    {
        this->outcomes[name].reset();
        this->relay.announced(
            FleetFixture::target(name, false, sequence, phase, born),
            [this, name](FleetCallOutcome outcome) { this->outcomes[name] = outcome; }, this->now);
        return this->outcomes[name];
    }

    void advance(Duration time)
    {
        const TimePoint end = this->now + time;
        while (this->now < end) {
            this->now += milliseconds(10);
            this->relay.advance(this->now);
        }
    }

    void answerLast(bool isAccepted = true)
    {
        const AnnouncementBatch &batch = this->batches.back();
        AnnouncementAnswers answers;
        answers.number = batch.number;
        for (const RegisteredTarget &target : batch.announcements)
            answers.answers.push_back(
                {target.target, target.born, target.sequence, isAccepted, isAccepted});
        this->relay.answered(answers, this->now);
    }

    // The leader accepts an announcement of the target.
    void accept(const std::string &name, std::uint64_t sequence)
    {
        this->announce(name, sequence);
        this->advance(milliseconds(20));
        this->answerLast();
    }

    TimePoint now = TimePoint(std::chrono::seconds(1000));
    std::vector<AnnouncementBatch> batches;
    std::map<std::string, std::optional<FleetCallOutcome>> outcomes;
    AnnouncementRelay relay{[this](const AnnouncementBatch &batch) {
        this->batches.push_back(batch);
    }};
};

AnnouncementBatch batchOf(std::vector<RegisteredTarget> announcements,
                          std::vector<TargetHeartbeat> heartbeats = {})
{
    return {1, std::move(announcements), std::move(heartbeats)};
}

const AnnouncementAnswers *lastAnswers(const FleetFixture &fleet)
{
    return fleet.sent.empty() ? nullptr
                              : std::get_if<AnnouncementAnswers>(&fleet.sent.back().second);
}

} // namespace

Test(announcement_relay, repeated_announcements,
     .description = "150 targets of one of 12 instances cost the leader a few messages a second")
{
    RelayFixture fixture;
    std::uint64_t sequence = 1;
    for (int target = 0; target < 150; ++target)
        fixture.announce(std::to_string(target), sequence);
    fixture.advance(milliseconds(20));
    cr_assert_eq(fixture.batches.size(), 1);
    cr_assert_eq(fixture.batches.back().announcements.size(), 150);
    fixture.answerLast();
    fixture.batches.clear();
    for (int round = 0; round < 10; ++round) {
        ++sequence;
        for (int target = 0; target < 150; ++target) {
            cr_assert_eq(*fixture.announce(std::to_string(target), sequence),
                         FleetCallOutcome::Accepted);
            fixture.advance(milliseconds(10));
            if (!fixture.batches.empty())
                fixture.answerLast();
        }
    }
    // 15 s.
    cr_assert_leq(fixture.batches.size(), 75);
    std::size_t heartbeats = 0;
    for (const AnnouncementBatch &batch : fixture.batches) {
        cr_assert(batch.announcements.empty());
        heartbeats += batch.heartbeats.size();
    }
    cr_assert_geq(heartbeats, 1480);
}

Test(announcement_relay, changes_wait_for_the_leader,
     .description = "A target is not told that its drain is known before the leader stored it")
{
    RelayFixture fixture;
    fixture.accept("t", 1);
    cr_assert_eq(*fixture.outcomes["t"], FleetCallOutcome::Accepted);
    cr_assert_not(fixture.announce("t", 2, TargetPhase::Draining));
    fixture.advance(milliseconds(20));
    cr_assert_eq(fixture.batches.back().announcements.size(), 1);
    cr_assert_not(fixture.outcomes["t"]);
    fixture.answerLast();
    cr_assert_eq(*fixture.outcomes["t"], FleetCallOutcome::Accepted);
}

Test(announcement_relay, target_was_elsewhere,
     .description = "An announcement after one at another instance is not taken for a repetition")
{
    RelayFixture fixture;
    fixture.accept("t", 1);
    cr_assert_not(fixture.announce("t", 3));
}

Test(announcement_relay, no_answer,
     .description = "An instance that is cut off from the leader sends targets elsewhere in time")
{
    RelayFixture fixture;
    fixture.accept("t", 1);
    cr_assert_eq(*fixture.announce("t", 2), FleetCallOutcome::Accepted);
    cr_assert_not(fixture.announce("new", 1));
    fixture.advance(milliseconds(950));
    cr_assert_eq(*fixture.outcomes["new"], FleetCallOutcome::Unavailable);
    cr_assert_eq(*fixture.announce("t", 3), FleetCallOutcome::Unavailable);
    // The leader is back.
    fixture.advance(milliseconds(20));
    fixture.answerLast();
    cr_assert_not(fixture.announce("t", 4));
    fixture.advance(milliseconds(20));
    fixture.answerLast();
    cr_assert_eq(*fixture.outcomes["t"], FleetCallOutcome::Accepted);
}

Test(announcement_relay, leader_changes,
     .description = "What a former leader accepted is announced in full to the next one")
{
    RelayFixture fixture;
    fixture.accept("t", 1);
    fixture.announce("new", 1);
    fixture.relay.setLeader("other:1");
    cr_assert_eq(*fixture.outcomes["new"], FleetCallOutcome::Unavailable);
    cr_assert_not(fixture.announce("t", 2));
    fixture.relay.setLeader("");
    cr_assert_eq(*fixture.announce("t", 3), FleetCallOutcome::Unavailable);
}

Test(announcement_relay, answer_to_a_former_start,
     .description = "A target that restarted is not told that its new start is known")
{
    RelayFixture fixture;
    fixture.announce("t", 1);
    fixture.advance(milliseconds(20));
    fixture.announce("t", 1, TargetPhase::Ready, 2);
    fixture.answerLast();
    cr_assert_neq(*fixture.outcomes["t"], FleetCallOutcome::Accepted);
    fixture.advance(milliseconds(20));
    fixture.answerLast();
    cr_assert_eq(*fixture.outcomes["t"], FleetCallOutcome::Accepted);
}

// The answer to a call starts the next request on its connection, which may announce a target.
Test(announcement_relay, calls_within_answers,
     .description = "Calls that end together or replace each other are each answered once")
{
    RelayFixture fixture;
    int answered = 0;
    const auto count = [&](FleetCallOutcome) {
        ++answered;
    };
    const auto announceWithin = [&](FleetCallOutcome) {
        ++answered;
        fixture.relay.announced(FleetFixture::target("b", false, 9), count, fixture.now);
        fixture.relay.advance(fixture.now);
    };
    fixture.relay.announced(FleetFixture::target("b", false, 1), announceWithin, fixture.now);
    fixture.relay.announced(FleetFixture::target("b", false, 2), count, fixture.now);
    fixture.advance(milliseconds(1000));
    cr_assert_eq(answered, 3);
    fixture.answerLast();
    answered = 0;
    for (const char *name : {"a", "c", "d"})
        fixture.relay.announced(FleetFixture::target(name, false, 1), announceWithin, fixture.now);
    fixture.advance(milliseconds(2000));
    cr_assert_eq(answered, 6);
}

Test(announcement_relay, unknown_at_the_leader,
     .description = "A target that a restarted leader does not know is announced in full again")
{
    RelayFixture fixture;
    fixture.accept("t", 1);
    cr_assert_eq(*fixture.announce("t", 2), FleetCallOutcome::Accepted);
    AnnouncementAnswers answers;
    answers.unknown.push_back(TargetId("t"));
    fixture.relay.answered(answers, fixture.now);
    cr_assert_not(fixture.announce("t", 3));
}

Test(announcement_relay, leader_answers_after_the_commit,
     .description = "The leader confirms a relayed announcement only once it is committed")
{
    FleetFixture fleet;
    fleet.waitForGracePeriod();
    fleet.withholdsCommits = true;
    fleet.controller.announcementsRelayed(7, batchOf({FleetFixture::target("t1", true, 1)}),
                                          fleet.now);
    fleet.controller.sendAnnouncementAnswers();
    cr_assert_eq(lastAnswers(fleet)->number, 1);
    cr_assert(lastAnswers(fleet)->answers.empty());
    fleet.withholdsCommits = false;
    fleet.commit();
    fleet.controller.sendAnnouncementAnswers();
    cr_assert_eq(lastAnswers(fleet)->answers.size(), 1);
    cr_assert(lastAnswers(fleet)->answers.front().isAccepted);
}

Test(announcement_relay, heartbeats_keep_a_primary,
     .description = "A primary whose announcements are all relayed is not taken for lost")
{
    FleetFixture fleet;
    fleet.waitForGracePeriod();
    fleet.startGroup();
    const std::uint64_t generation = fleet.authority().generation;
    for (int round = 0; round < 10; ++round) {
        ++fleet.sequence;
        std::vector<TargetHeartbeat> heartbeats;
        for (const char *name : {"t1", "t2", "t3"})
            heartbeats.push_back({TargetId(name), 1, 1, fleet.sequence});
        fleet.controller.announcementsRelayed(7, batchOf({}, heartbeats), fleet.now);
        cr_assert(lastAnswers(fleet)->unknown.empty());
        fleet.renewBoth();
        fleet.advance(milliseconds(1200));
    }
    cr_assert_eq(fleet.authority().generation, generation);
    // A new leader has had no announcement.
    fleet.changeLeader();
    ++fleet.sequence;
    fleet.controller.announcementsRelayed(7, batchOf({}, {{TargetId("t1"), 1, 1, fleet.sequence}}),
                                          fleet.now);
    cr_assert_eq(lastAnswers(fleet)->unknown.size(), 1);
}

Test(announcement_relay, heartbeat_of_a_former_start,
     .description = "A late heartbeat of a former start does not hide the drain of the next start")
{
    FleetFixture fleet;
    fleet.waitForGracePeriod();
    fleet.announce(FleetFixture::target("t1", false, 50));
    fleet.announce(FleetFixture::target("t1", false, 1, TargetPhase::Ready, 2));
    fleet.controller.announcementsRelayed(7, batchOf({}, {{TargetId("t1"), 1, 50, 51}}), fleet.now);
    fleet.commit();
    fleet.announce(FleetFixture::target("t1", false, 2, TargetPhase::Draining, 2));
    cr_assert(fleet.controller.state().find(TargetId("t1"))->phase == TargetPhase::Draining);
}

Test(
    announcement_relay, heartbeat_after_a_late_announcement,
    .description = "A heartbeat does not repeat a state from before the announcement it stands for")
{
    FleetFixture fleet;
    fleet.waitForGracePeriod();
    fleet.announce(FleetFixture::target("t1", false, 1));
    fleet.announce(FleetFixture::target("t1", false, 2, TargetPhase::Draining));
    // Forgets announcements; the address of the leader is the same.
    fleet.changeLeader();
    fleet.waitForGracePeriod();
    fleet.announce(FleetFixture::target("t1", false, 1));
    fleet.controller.announcementsRelayed(7, batchOf({}, {{TargetId("t1"), 1, 2, 3}}), fleet.now);
    fleet.commit();
    cr_assert_eq(lastAnswers(fleet)->unknown.size(), 1);
    cr_assert(fleet.controller.state().find(TargetId("t1"))->phase == TargetPhase::Draining);
}

Test(announcement_relay, group_named_later,
     .description = "A relayed announcement registers its target as soon as its group is named")
{
    FleetFixture fleet;
    fleet.waitForGracePeriod();
    fleet.configure(1, "one");
    RegisteredTarget target = FleetFixture::target("n1", false, 1);
    target.group = GroupId("next");
    fleet.controller.announcementsRelayed(7, batchOf({target}), fleet.now);
    fleet.controller.sendAnnouncementAnswers();
    const AnnouncementAnswer answer = lastAnswers(fleet)->answers.front();
    cr_assert(answer.isAccepted);
    cr_assert_not(answer.isRegistered);
    // The relay sends the next one in full.
    RelayFixture fixture;
    std::optional<FleetCallOutcome> outcome;
    const auto done = [&outcome](FleetCallOutcome result) {
        outcome = result;
    };
    fixture.relay.announced(target, done, fixture.now);
    fixture.relay.answered({0, {answer}, {}}, fixture.now);
    cr_assert_eq(*outcome, FleetCallOutcome::Accepted);
    outcome.reset();
    ++target.sequence;
    fixture.relay.announced(target, done, fixture.now);
    cr_assert_not(outcome);
    fleet.otherGroups[GroupId("next")] = 0;
    fleet.configure(2, "two");
    fleet.controller.announcementsRelayed(7, batchOf({target}), fleet.now);
    fleet.commit();
    cr_assert_not_null(fleet.controller.state().find(target.target));
}

Test(announcement_relay, only_with_many_targets,
     .description = "Small fleets are served as before, and a large one is spread over instances")
{
    FleetFixture fleet;
    fleet.waitForGracePeriod();
    fleet.controls = {"leader:1", "follower:1"};
    for (int index = 0; index < 100; ++index)
        fleet.announce(FleetFixture::target(std::to_string(index), false, 1));
    cr_assert_not(fleet.controller.relaysAnnouncements());
    cr_assert(fleet.controller.announceAddress(TargetId("1")).empty());
    fleet.announce(FleetFixture::target("100", false, 1));
    cr_assert(fleet.controller.relaysAnnouncements());
    cr_assert_eq(fleet.controller.announceAddress(TargetId("1")), "follower:1");
}

Test(announcement_relay, large_documents,
     .description = "A log entry with a configuration of 2,000 routes does not delay heartbeats")
{
    std::string document;
    for (int route = 0; route < 2000; ++route)
        document += "{\"name\":\"r-" + std::to_string(route * 7919)
                    + "\",\"path_prefix\":\"/\",\"kind\":\"primary\",\"timeout_ms\":800,"
                      "\"target_latency_ms\":800,\"priority\":1,\"max_attempts\":2}";
    const std::string entry = encodeFleetCommand(StoreConfiguration{3, OpaqueBytes(document)});
    cr_assert_lt(entry.size(), 64 << 10);
    const auto command = decodeFleetCommand(entry);
    cr_assert(command.ok());
    cr_assert_eq(std::get<StoreConfiguration>(*command).document.bytes, document);
}

Test(announcement_relay, paced_documents,
     .description = "Documents for 300 poolers leave room on the link for other messages")
{
    // A third of 100 Mbit/s.
    SendPace pace(4'166'666);
    TimePoint now(std::chrono::seconds(1000));
    const TimePoint start = now;
    std::size_t sent = 0;
    while (sent < 300) {
        std::size_t atOnce = 0;
        for (; sent < 300 && pace.take(45'000, now); ++sent)
            ++atOnce;
        cr_assert_leq(atOnce, 6);
        now += milliseconds(10);
    }
    cr_assert_geq(now - start, milliseconds(3000));
    cr_assert_leq(now - start, milliseconds(3500));
}
