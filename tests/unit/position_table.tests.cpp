// Tests of the leader's table of primaries' positions.
#include "rhubarbweir/coordination/fleet/position_table.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;

namespace {

using std::chrono::milliseconds;

const GroupId Group("g");

// A table over a group whose primary has the authority of generation 1.
struct TableFixture
{
    TableFixture()
        : table(this->state)
    {
        this->state.apply(1, GrantAuthority{Group, 0, TargetId("t1"), 0, {}});
    }

    void report(std::uint64_t answered, std::uint64_t generation, std::uint64_t position,
                Duration age)
    {
        this->table.report(
            1, PositionReport{answered, {GroupPosition{Group, generation, {1, position}, age}}});
    }

    FleetState state;
    PositionTable table;
    TimePoint now{std::chrono::seconds(1000)};
};

} // namespace

Test(position_table, age_counts_from_the_answer,
     .description = "A report that was delayed looks older, never younger")
{
    TableFixture fixture;
    fixture.table.answerSent(1, 5, fixture.now);
    fixture.now += milliseconds(800);
    fixture.report(5, 1, 10, milliseconds(40));
    const auto positions = fixture.table.positions(fixture.now);
    cr_assert_eq(positions.size(), 1);
    cr_assert_eq(positions.front().age.count(), Duration(milliseconds(840)).count());
}

Test(position_table, unconfirmed_report,
     .description = "A report that does not confirm the connection's last answer is ignored")
{
    TableFixture fixture;
    fixture.report(5, 1, 10, milliseconds(40));
    fixture.table.answerSent(1, 5, fixture.now);
    fixture.table.answerSent(1, 6, fixture.now);
    fixture.report(5, 1, 10, milliseconds(40));
    cr_assert(fixture.table.positions(fixture.now).empty());
    fixture.table.connectionClosed(1);
    fixture.report(6, 1, 10, milliseconds(40));
    cr_assert(fixture.table.positions(fixture.now).empty());
}

Test(position_table, other_generations,
     .description = "Positions of another generation are ignored, and forgotten with the authority")
{
    TableFixture fixture;
    fixture.table.answerSent(1, 5, fixture.now);
    fixture.report(5, 2, 10, milliseconds(0));
    cr_assert(fixture.table.positions(fixture.now).empty());
    fixture.report(5, 1, 10, milliseconds(0));
    cr_assert_eq(fixture.table.positions(fixture.now).size(), 1);
    fixture.state.apply(2, RevokeAuthority{Group, 1});
    cr_assert(fixture.table.positions(fixture.now).empty());
}

Test(position_table, newest_position,
     .description =
         "The newest position is kept, also if an older one arrives later or is malformed")
{
    TableFixture fixture;
    fixture.table.answerSent(1, 5, fixture.now);
    fixture.report(5, 1, 12, milliseconds(10));
    fixture.report(5, 1, 11, milliseconds(50));
    fixture.report(5, 1, 99, milliseconds(-500));
    const auto positions = fixture.table.positions(fixture.now);
    cr_assert_eq(positions.front().position.position, 12);
    cr_assert(fixture.table.positions(fixture.now + std::chrono::seconds(6)).empty());
}

Test(position_table, changes_for_a_connection,
     .description = "A pooler is not sent again what it was sent or has reported, a new connection "
                    "is sent everything")
{
    TableFixture fixture;
    fixture.table.answerSent(1, 5, fixture.now);
    cr_assert(fixture.table.takeChanges(2, fixture.now).empty());
    fixture.report(5, 1, 10, milliseconds(40));
    cr_assert_eq(fixture.table.takeChanges(2, fixture.now).size(), 1);
    cr_assert(fixture.table.takeChanges(2, fixture.now).empty());
    fixture.table.connectionClosed(2);
    cr_assert_eq(fixture.table.takeChanges(3, fixture.now).size(), 1);

    cr_assert_eq(fixture.table.takeChanges(1, fixture.now).size(), 1);
    fixture.now += milliseconds(500);
    fixture.table.answerSent(1, 6, fixture.now);
    fixture.report(6, 1, 11, milliseconds(40));
    cr_assert(fixture.table.takeChanges(1, fixture.now).empty());
    cr_assert_eq(fixture.table.takeChanges(3, fixture.now).size(), 1);
}

Test(position_table, ignored_report_restores_positions,
     .description = "A pooler whose report crossed an answer takes its position for known; it has "
                    "to learn what the leader really knows")
{
    TableFixture fixture;
    fixture.table.answerSent(1, 5, fixture.now);
    fixture.report(5, 1, 10, milliseconds(40));
    fixture.table.takeChanges(1, fixture.now);
    fixture.table.answerSent(1, 6, fixture.now);
    fixture.report(5, 1, 12, milliseconds(0));
    cr_assert_eq(fixture.table.takeChanges(1, fixture.now).size(), 1);
}
