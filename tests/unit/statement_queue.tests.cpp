// Tests of the order, limits and refusals of the queue of waiting statements.
#include "rhubarbweir/coordination/sessions/statement_queue.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>

using namespace rhubarbweir;
using std::chrono::milliseconds;

namespace {

const GroupId Group("g");

struct QueueFixture
{
    explicit QueueFixture(bool byTeam = true) { this->queue.setByTeam(byTeam, this->now); }

    // Adds a statement with an objective of 250 ms. Returns the refusals.
    std::vector<QueueRefusal> add(SessionNumber session, const std::string &team,
                                  unsigned priority = 0, milliseconds timeout = milliseconds(800),
                                  unsigned teamPriority = 0, bool needsPrimary = true)
    {
        return this->queue.add({session, Group, needsPrimary, priority, teamPriority, TeamId(team),
                                this->now, this->now + milliseconds(250), this->now + timeout},
                               this->now);
    }

    // Sends up to `count` statements, each of which takes 10 ms. Returns their sessions in order.
    std::vector<SessionNumber> send(std::size_t count)
    {
        std::vector<SessionNumber> sent;
        QueueOffer hooks;
        hooks.hasCapacity = [&](const GroupId &, bool) {
            return sent.size() < count;
        };
        hooks.hasConnection = [this](const WaitingStatement &statement) {
            return statement.team == this->connectedTeam;
        };
        hooks.offer = [&](const WaitingStatement &statement) {
            sent.push_back(statement.session);
            this->queue.taken(statement.session, this->now);
            this->queue.sent(Group, statement.needsPrimary, statement.team, this->now);
            this->queue.answered(Group, statement.needsPrimary, milliseconds(10));
            return true;
        };
        this->queue.offerAll(this->now, hooks);
        return sent;
    }

    PoolerSettings settings;
    TeamId connectedTeam;
    TimePoint now = TimePoint(std::chrono::seconds(1000));
    StatementQueue queue{this->settings};
};

using Sessions = std::vector<SessionNumber>;

} // namespace

Test(statement_queue, order_by_team,
     .description = "Route priority, team priority, the team with less work, then urgency")
{
    QueueFixture fixture;
    fixture.add(1, "a", 1);
    fixture.add(2, "a", 0, milliseconds(800), 1);
    fixture.add(3, "a");
    fixture.add(4, "a");
    fixture.now += milliseconds(1);
    fixture.add(5, "b");
    cr_assert(fixture.send(9) == Sessions({3, 5, 4, 2, 1}));
}

Test(statement_queue, connected_team,
     .description = "A team that has a connection may be somewhat ahead of one that needs a new "
                    "connection, so that targets do not open one for each statement")
{
    QueueFixture fixture;
    fixture.connectedTeam = TeamId("a");
    for (SessionNumber session = 1; session <= 60; ++session)
        fixture.add(session, session % 2 == 0 ? "a" : "b");
    const Sessions sent = fixture.send(40);
    const auto first = std::find_if(sent.begin(), sent.end(),
                                    [](SessionNumber session) { return session % 2 == 1; });
    cr_assert_geq(first - sent.begin(), 4);
    cr_assert_leq(first - sent.begin(), 25);
}

Test(statement_queue, order_without_teams,
     .description = "Without teams, the order is by priority and arrival, and the newest of a "
                    "priority goes first once its oldest has waited for 100 ms")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        QueueFixture fixture(false);
        std::map<unsigned, Sessions> expected;
        std::map<unsigned, TimePoint> oldest;
        for (SessionNumber session = 1; session <= 40; ++session) {
            const unsigned priority = random() % 3;
            fixture.now += milliseconds(random() % 6);
            fixture.add(session, "", priority, milliseconds(800), 0, random() % 2 == 0);
            expected[priority].push_back(session);
            oldest.emplace(priority, fixture.now);
        }
        Sessions order;
        for (auto &[priority, sessions] : expected) {
            if (fixture.now >= oldest[priority] + milliseconds(100))
                std::reverse(sessions.begin(), sessions.end());
            order.insert(order.end(), sessions.begin(), sessions.end());
        }
        cr_assert(fixture.send(99) == order);
    }
}

Test(statement_queue, late_statements,
     .description = "A statement that can no longer be in time is refused if a late answer is not "
                    "awaited, and otherwise sent after one that can")
{
    QueueFixture fixture;
    fixture.add(1, "a");
    fixture.add(2, "a", 0, milliseconds(499));
    fixture.now = fixture.queue.nextDeadline() + milliseconds(1);
    const auto refusals = fixture.queue.expire(fixture.now);
    cr_assert_eq(refusals.size(), 1);
    cr_assert_eq(refusals[0].session, 2);
    cr_assert(refusals[0].reason == QueueRefusalReason::NotInTime);
    fixture.add(3, "a", 2);
    cr_assert(fixture.send(9) == Sessions({3, 1}));
}

Test(statement_queue, late_without_teams,
     .description = "Without teams, a late statement of a patient caller waits behind all others, "
                    "makes room for them, and is refused once nothing leaves the queue")
{
    QueueFixture fixture(false);
    fixture.settings.queueLimit = 3;
    fixture.add(1, "", 0, milliseconds(2000));
    fixture.add(2, "", 0, milliseconds(2000));
    fixture.add(3, "", 0, milliseconds(1999));
    fixture.now += milliseconds(100);
    cr_assert(fixture.send(1) == Sessions({3}));
    fixture.now += milliseconds(150);
    cr_assert(fixture.queue.expire(fixture.now).empty());
    cr_assert_eq(fixture.queue.lateCount(), 2);
    cr_assert(fixture.add(4, "", 7).empty());
    cr_assert_eq(fixture.add(5, "", 7).at(0).session, 2, "the newest of the late ones");
    cr_assert(fixture.send(1) == Sessions({4}));
    cr_assert(fixture.send(2) == Sessions({5, 1}));

    fixture.add(6, "", 0, milliseconds(2000));
    fixture.add(7, "", 0, milliseconds(1999));
    fixture.now += milliseconds(250);
    cr_assert_eq(fixture.queue.expire(fixture.now).at(0).session, 6, "another pooler may serve it");
    cr_assert_eq(fixture.queue.size(), 1, "the pooler limits the wait of an impatient caller");
}

Test(statement_queue, without_service,
     .description =
         "A statement that waits alone while nothing is sent is refused while its caller "
         "can go elsewhere, not at its timeout")
{
    QueueFixture fixture;
    const TimePoint end = fixture.now + milliseconds(550);
    fixture.add(1, "a");
    while (fixture.queue.nextDeadline() < end) {
        fixture.now = fixture.queue.nextDeadline();
        fixture.queue.expire(fixture.now);
    }
    cr_assert(fixture.queue.empty());
}

Test(statement_queue, after_interruption,
     .description = "Once service resumes after an interruption, the time without service does not "
                    "count as a long queue, and a statement that can be in time is not refused")
{
    QueueFixture fixture;
    fixture.add(1, "a", 0, milliseconds(5000));
    fixture.now += milliseconds(1000);
    fixture.queue.expire(fixture.now);
    for (SessionNumber session = 2; session <= 8; ++session)
        fixture.add(session, "a");
    cr_assert(fixture.send(1) == Sessions({2}));
    // Six statements wait before it, for about half of its objective.
    cr_assert(fixture.add(9, "a").empty());
    cr_assert(fixture.send(9) == Sessions({3, 4, 5, 6, 7, 8, 9, 1}));
}

Test(statement_queue, expected_wait,
     .description = "A statement that is expected to be late is refused when it arrives, not after "
                    "it has waited")
{
    QueueFixture fixture;
    for (SessionNumber session = 1; session <= 100; ++session)
        fixture.add(session, "a", 0, milliseconds(499));
    for (int step = 0; step < 20; ++step) {
        fixture.now += milliseconds(10);
        fixture.send(1);
    }
    cr_assert_eq(fixture.add(101, "a", 0, milliseconds(499)).size(), 1);
    cr_assert(fixture.add(102, "b", 0, milliseconds(499)).empty());
}

Test(statement_queue, limits,
     .description = "The newest statement of the team with the most waiting ones is refused")
{
    QueueFixture fixture;
    fixture.settings.queueLimit = 4;
    fixture.settings.teamQueueLimit = 3;
    for (SessionNumber session = 1; session <= 3; ++session)
        fixture.add(session, "a", session == 2 ? 1 : 0);
    const auto ofTeam = fixture.add(4, "a");
    cr_assert_eq(ofTeam.at(0).session, 2, "the lowest priority of the team goes first");
    cr_assert(fixture.add(5, "b").empty());
    const auto ofAll = fixture.add(6, "b");
    cr_assert_eq(ofAll.at(0).session, 4);
    cr_assert(ofAll.at(0).reason == QueueRefusalReason::QueueLimit);
}

Test(statement_queue, no_starvation,
     .description = "One in eight statements is the oldest, whatever its priority")
{
    QueueFixture fixture;
    fixture.add(1, "a", 2);
    fixture.now += milliseconds(1);
    for (SessionNumber session = 2; session <= 20; ++session)
        fixture.add(session, "b");
    const Sessions sent = fixture.send(8);
    cr_assert_eq(sent.back(), 1);
    cr_assert_eq(std::count(sent.begin(), sent.end(), 1), 1);
}

Test(statement_queue, offers_are_few,
     .description = "Statements that cannot be sent are not offered: none of a group without "
                    "capacity, one of a team without a connection")
{
    QueueFixture fixture;
    for (SessionNumber session = 1; session <= 100; ++session)
        fixture.add(session, session % 2 == 0 ? "a" : "b");
    cr_assert(fixture.send(0).empty());
    int offers = 0;
    QueueOffer hooks;
    hooks.hasCapacity = [](const GroupId &, bool) {
        return true;
    };
    hooks.hasConnection = [](const WaitingStatement &) {
        return false;
    };
    hooks.offer = [&offers](const WaitingStatement &) {
        ++offers;
        return false;
    };
    fixture.queue.offerAll(fixture.now, hooks);
    cr_assert_eq(offers, 2);
    cr_assert_eq(fixture.queue.size(), 100);
}
