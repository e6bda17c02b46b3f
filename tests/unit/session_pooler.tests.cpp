// Tests of the session pooler: routing, transactions, session state, authority, lost answers.
#include "fakes/pooler_fixture.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

using Kind = TextStatementKind;

void beginAndWrite(PoolerFixture &fixture, SessionNumber session)
{
    fixture.ask(session, Kind::Begin, "b");
    fixture.ask(session, Kind::Write, "w");
    fixture.answerAll();
}

std::size_t runsOf(const PoolerFixture &fixture, const std::string &id)
{
    std::size_t count = 0;
    for (const SentCommand &each : fixture.statements())
        count += each.command.id == id ? 1U : 0U;
    return count;
}

} // namespace

Test(session_pooler, unknown_database, .description = "A session needs a route of its name")
{
    PoolerFixture fixture;
    cr_assert_eq(fixture.open("nowhere"), 0);
    cr_assert_neq(fixture.open("latest"), 0);
}

Test(session_pooler, routing,
     .description = "Reads go to replicas with a position, others to the primary")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.ask(fixture.open("bounded"), Kind::Read, "r");
    fixture.ask(fixture.open("latest"), Kind::Read, "l");
    fixture.ask(fixture.open("session"), Kind::Write, "w");
    fixture.advance(milliseconds(10));
    fixture.openConnections();
    const auto sent = fixture.statements();
    cr_assert_eq(sent.size(), 3);
    cr_assert_neq(sent[0].target, PoolerFixture::Primary);
    cr_assert(sent[0].command.minimum.has_value());
    cr_assert_eq(sent[1].target, PoolerFixture::Primary);
    cr_assert_eq(sent[2].target, PoolerFixture::Primary);
}

Test(session_pooler, text_is_unchanged, .description = "Statements keep their id and text")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.ask(fixture.open("latest"), Kind::Read, "5c0e");
    cr_assert_eq(fixture.statements().front().command.id, "5c0e");
    cr_assert_eq(fixture.statements().front().command.text, "read 5c0e");
}

Test(session_pooler, old_sample,
     .description = "Without a fresh position a read goes to the primary")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.advance(milliseconds(1600));
    fixture.ask(fixture.open("bounded"), Kind::Read, "r");
    cr_assert_eq(fixture.statements().front().target, PoolerFixture::Primary);
}

Test(session_pooler, own_writes, .description = "A session's read asks for its own commit")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("session");
    fixture.positions[PoolerFixture::Primary] = {1, 77};
    fixture.ask(session, Kind::Write, "w");
    fixture.answerAll();
    fixture.ask(session, Kind::Read, "r");
    const SentCommand read = fixture.statements().back();
    if (read.target != PoolerFixture::Primary)
        cr_assert(!(*read.command.minimum < (LogPosition{1, 77})));
}

Test(session_pooler, ended_lease, .description = "Nothing goes to the primary after the lease")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.now += milliseconds(4000);
    fixture.ask(fixture.open("latest"), Kind::Read, "r");
    cr_assert(fixture.statements().empty());
}

Test(session_pooler, frozen,
     .description = "A queued statement is not sent after a freeze outlived the lease")
{
    PoolerFixture fixture;
    const SessionNumber session = fixture.open("latest");
    fixture.ask(session, Kind::Write, "w");
    fixture.now += milliseconds(5000);
    fixture.openConnections();
    cr_assert(fixture.statements().empty());
    fixture.advance(milliseconds(100));
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::Busy);
}

Test(session_pooler, late_commit,
     .description = "A write answered after its authority ended is in doubt")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.ask(session, Kind::Write, "w");
    fixture.changeAuthority(2, TargetId());
    fixture.answerAll();
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::InDoubt);
}

Test(session_pooler, moved_primary, .description = "A transaction on a former primary is aborted")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    fixture.changeAuthority(2, TargetId());
    fixture.changeAuthority(3, PoolerFixture::ReplicaA);
    fixture.ask(session, Kind::Commit, "c");
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::Aborted);
    cr_assert_eq(runsOf(fixture, "c"), 0);
}

Test(session_pooler, reads_go_on,
     .description = "Reads are served while no primary has the authority")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.changeAuthority(2, TargetId());
    fixture.ask(fixture.open("bounded"), Kind::Read, "r");
    cr_assert_eq(fixture.statements().size(), 1);
    cr_assert_neq(fixture.statements().front().target, PoolerFixture::Primary);
}

Test(session_pooler, former_positions,
     .description = "Positions of a former primary are forgotten with the next authority")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.changeAuthority(2, TargetId());
    fixture.changeAuthority(3, PoolerFixture::ReplicaA);
    fixture.ask(fixture.open("bounded"), Kind::Read, "r");
    cr_assert_eq(fixture.statements().front().target, PoolerFixture::ReplicaA);
    cr_assert(!fixture.statements().front().command.minimum);
}

Test(session_pooler, pinned, .description = "A transaction keeps its connection until it ends")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    fixture.ask(fixture.open("latest"), Kind::Read, "other");
    fixture.openConnections();
    fixture.answerAll();
    fixture.ask(session, Kind::Commit, "c");
    const auto sent = fixture.statements();
    cr_assert_eq(sent.front().connection, sent.back().connection);
    cr_assert_neq(sent[1].connection, sent.back().connection);
}

Test(session_pooler, begin_first,
     .description = "The statement follows the answer of the pooler's own begin")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.ask(session, Kind::Begin, "b");
    fixture.ask(session, Kind::Write, "w");
    cr_assert(fixture.statements().empty());
    fixture.answerNext(StatementFault::ReadOnly);
    cr_assert_eq(runsOf(fixture, "w"), 0);
}

Test(session_pooler, rollback_by_proxy,
     .description = "A rollback is answered at once and reaches the target")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    fixture.ask(session, Kind::Rollback, "x");
    cr_assert(!fixture.lastAnswer(session).fault);
    cr_assert_eq(fixture.sent.back().command.kind, TargetCommandKind::Rollback);
}

Test(session_pooler, caller_left,
     .description = "A transaction whose caller left is rolled back, its connection reused")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    const ConnectionId connection = fixture.statements().front().connection;
    fixture.pooler.sessionClosed(session, fixture.now);
    cr_assert_eq(fixture.sent.back().command.kind, TargetCommandKind::Rollback);
    fixture.answerAll();
    fixture.ask(fixture.open("latest"), Kind::Read, "r");
    cr_assert_eq(fixture.statements().back().connection, connection);
}

Test(session_pooler, lost_before_commit,
     .description = "A connection lost in a transaction aborts it")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    fixture.lose(fixture.statements().back().connection);
    fixture.ask(session, Kind::Read, "r");
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::Aborted);
    cr_assert_eq(fixture.lastAnswer(session).state, TransactionState::Failed);
}

Test(session_pooler, lost_at_commit,
     .description = "A connection lost at a commit leaves it in doubt")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    fixture.ask(session, Kind::Commit, "c");
    fixture.lose(fixture.statements().back().connection);
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::InDoubt);
    cr_assert_eq(fixture.lastAnswer(session).state, TransactionState::None);
}

Test(session_pooler, lost_write, .description = "A lone write that was sent is never sent again")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.ask(session, Kind::Write, "w");
    fixture.lose(fixture.statements().back().connection);
    fixture.answerAll();
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::InDoubt);
    cr_assert_eq(runsOf(fixture, "w"), 1);
}

Test(session_pooler, lost_read,
     .description = "A read whose answer was lost runs at another target")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("bounded");
    fixture.ask(session, Kind::Read, "r");
    fixture.lose(fixture.statements().back().connection);
    fixture.answerAll();
    cr_assert(!fixture.lastAnswer(session).fault);
    cr_assert_neq(fixture.statements().front().target, fixture.statements().back().target);
}

Test(session_pooler, lagging,
     .description = "A lagging replica's read goes elsewhere, and the replica rests")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("bounded");
    fixture.ask(session, Kind::Read, "r");
    const TargetId first = fixture.statements().front().target;
    fixture.answerNext(StatementFault::Lagging);
    fixture.answerAll();
    cr_assert(!fixture.lastAnswer(session).fault);
    fixture.ask(session, Kind::Read, "r2");
    cr_assert_neq(fixture.statements().back().target, first);
}

Test(session_pooler, busy,
     .description = "A busy target gets nothing for a pause, then the statement again")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.ask(session, Kind::Write, "w");
    fixture.answerNext(StatementFault::Busy);
    cr_assert_eq(runsOf(fixture, "w"), 1);
    fixture.advance(milliseconds(100));
    fixture.answerAll();
    cr_assert_eq(runsOf(fixture, "w"), 2);
    cr_assert(!fixture.lastAnswer(session).fault);
}

Test(session_pooler, prepared_names,
     .description = "Equal names of two sessions run their own shapes")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber one = fixture.open("latest");
    const SessionNumber two = fixture.open("latest");
    fixture.ask(one, Kind::Prepare, "p1", "s", "shape-one", true);
    fixture.ask(two, Kind::Prepare, "p2", "s", "shape-two", true);
    std::map<std::pair<ConnectionId, std::string>, std::string> shapes;
    fixture.onSent = [&shapes](const SentCommand &each) {
        if (each.command.kind == TargetCommandKind::Prepare)
            shapes[{each.connection, each.command.name}] = each.command.argument;
    };
    for (const SessionNumber session : {one, two, one}) {
        fixture.ask(session, Kind::Execute, "e", "s", "item");
        fixture.answerAll();
        const SentCommand run = fixture.statements().back();
        cr_assert_eq(shapes.at({run.connection, run.command.name}),
                     session == one ? "shape-one" : "shape-two");
    }
}

Test(session_pooler, values, .description = "A reused connection has exactly the session's values")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber one = fixture.open("latest");
    fixture.ask(one, Kind::SetValue, "s", "colour", "red");
    fixture.ask(one, Kind::Read, "r1");
    fixture.answerAll();
    fixture.ask(fixture.open("latest"), Kind::Read, "r2");
    const auto &sent = fixture.sent;
    cr_assert_eq(sent.front().command.kind, TargetCommandKind::SetValue);
    cr_assert(std::any_of(sent.begin(), sent.end(), [](const SentCommand &each) {
        return each.command.kind == TargetCommandKind::Discard;
    }));
}

Test(session_pooler, unknown_name, .description = "An unprepared name is answered without a target")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.ask(session, Kind::Execute, "e", "nothing", "item");
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::NoSuchName);
    cr_assert(fixture.sent.empty());
}

Test(session_pooler, removed_route,
     .description = "A removed route holds from the next transaction on")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    RouteTable next = PoolerFixture::routes(2);
    next.routes.erase("latest");
    fixture.pooler.routesReceived(next, fixture.now);
    fixture.ask(session, Kind::Commit, "c");
    fixture.answerAll();
    cr_assert(!fixture.lastAnswer(session).fault);
    fixture.ask(session, Kind::Read, "r");
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::NoDatabase);
}

Test(session_pooler, older_routes, .description = "An older configuration or view changes nothing")
{
    PoolerFixture fixture;
    fixture.pooler.routesReceived(PoolerFixture::routes(5), fixture.now);
    RouteTable older = PoolerFixture::routes(4);
    older.routes.clear();
    fixture.pooler.routesReceived(older, fixture.now);
    cr_assert_neq(fixture.open("latest"), 0);
    FleetView view;
    view.revision = 1;
    fixture.pooler.viewReceived(view, fixture.now);
    cr_assert_eq(fixture.pooler.authorityView().targets().size(), 3);
}

Test(session_pooler, draining_target, .description = "A draining target gets no new statement")
{
    PoolerFixture fixture;
    fixture.warmUp();
    ++fixture.view.revision;
    for (RegisteredTarget &target : fixture.view.targets) {
        if (target.target != PoolerFixture::ReplicaB && target.target != PoolerFixture::Primary)
            target.phase = TargetPhase::Draining;
    }
    fixture.pooler.viewReceived(fixture.view, fixture.now);
    for (int count = 0; count < 5; ++count) {
        fixture.ask(fixture.open("bounded"), Kind::Read, "r");
        cr_assert_neq(fixture.statements().back().target, PoolerFixture::ReplicaA);
    }
}

Test(session_pooler, silent_target,
     .description = "A statement without an answer ends at its time-out")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.ask(session, Kind::Read, "r");
    fixture.advance(milliseconds(1100));
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::Timeout);
    fixture.advance(milliseconds(300));
    cr_assert_eq(fixture.pooler.observations().size(), 1);
}

Test(session_pooler, late_answer, .description = "A late answer belongs to nobody")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.ask(session, Kind::Read, "r");
    fixture.advance(milliseconds(1100));
    fixture.ask(session, Kind::Read, "r2");
    const std::size_t before = fixture.answerCount(session);
    fixture.answerNext();
    cr_assert_eq(fixture.answerCount(session), before);
}

Test(session_pooler, stopping,
     .description = "A stopping pooler answers what runs and closes every session")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber resting = fixture.open("latest");
    const SessionNumber running = fixture.open("latest");
    const SessionNumber stuck = fixture.open("session");
    fixture.ask(running, Kind::Read, "r");
    fixture.ask(stuck, Kind::Write, "w");
    fixture.pooler.closeWhenAnswered(fixture.now);
    cr_assert_eq(fixture.closedSessions.count(resting), 1);
    cr_assert_eq(fixture.closedSessions.count(running), 0);
    fixture.answerNext();
    fixture.pooler.closeWhenAnswered(fixture.now);
    cr_assert_eq(fixture.closedSessions.count(running), 1);
    fixture.pooler.closeAll(fixture.now);
    cr_assert_eq(*fixture.lastAnswer(stuck).fault, StatementFault::Timeout);
    cr_assert_eq(fixture.closedSessions.count(stuck), 1);
}

Test(session_pooler, idle_transaction,
     .description = "An idle transaction is ended and the caller told so")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    for (int round = 0; round < 40; ++round) {
        fixture.extendLease(milliseconds(4000));
        fixture.advance(milliseconds(100));
    }
    fixture.ask(session, Kind::Commit, "c");
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::Aborted);
}

namespace {

std::size_t openTo(const PoolerFixture &fixture, const TargetId &target)
{
    std::size_t count = 0;
    for (const auto &[connection, at] : fixture.targetOf)
        count += at == target && fixture.closedConnections.count(connection) == 0 ? 1 : 0;
    return count;
}

// Six transactions at the primary, each on a connection of its own where there is one.
void beginSix(PoolerFixture &fixture)
{
    for (int number = 0; number < 6; ++number) {
        const SessionNumber session = fixture.open("latest");
        fixture.ask(session, TextStatementKind::Begin, absl::StrCat("b", number));
        fixture.ask(session, TextStatementKind::Read, absl::StrCat("r", number));
        fixture.answerAll();
    }
}

// A bounded read that every replica answers as lagging and the primary late.
void readLate(PoolerFixture &fixture, const std::string &id, bool areReplicasBehind)
{
    const SessionNumber session = fixture.open("bounded");
    fixture.ask(session, TextStatementKind::Read, id);
    for (int round = 0; round < 10 && fixture.answerCount(session) == 0; ++round) {
        fixture.openConnections();
        if (fixture.unanswered.empty()) {
            fixture.advance(milliseconds(10));
            continue;
        }
        const bool isReplica = fixture.unanswered.front().target != PoolerFixture::Primary;
        if (!isReplica)
            fixture.advance(milliseconds(150));
        fixture.answerNext(isReplica && areReplicasBehind
                               ? std::optional<StatementFault>(StatementFault::Lagging)
                               : std::nullopt);
    }
    fixture.pooler.sessionClosed(session, fixture.now);
}

} // namespace

Test(session_pooler, shares_below_limit,
     .description = "The shares of all poolers together stay below a target's limit")
{
    PoolerFixture fixture;
    fixture.pooler.leaseReceived(fixture.now + milliseconds(4000), 18, 0, fixture.now);
    fixture.warmUp();
    beginSix(fixture);
    cr_assert_eq(openTo(fixture, PoolerFixture::Primary), 2);
}

Test(session_pooler, shares_after_a_restart,
     .description = "Connections that former poolers may have left open count as theirs")
{
    PoolerFixture fixture;
    fixture.pooler.leaseReceived(fixture.now + milliseconds(4000), 18, 18, fixture.now);
    fixture.warmUp();
    beginSix(fixture);
    cr_assert_eq(openTo(fixture, PoolerFixture::Primary), 1);
}

Test(session_pooler, overloaded_primary,
     .description = "A primary that serves all reads alone and late is reported")
{
    PoolerFixture fixture;
    fixture.warmUp();
    for (int round = 0; round < 8; ++round) {
        readLate(fixture, absl::StrCat("q", round), true);
        fixture.extendLease(milliseconds(4000));
    }
    cr_assert_eq(fixture.pooler.overloadedGroups(fixture.now).size(), 1);
    // Past the pause after which a replica is asked again.
    fixture.advance(milliseconds(300));
    readLate(fixture, "fresh", false);
    cr_assert(fixture.pooler.overloadedGroups(fixture.now).empty());
}

Test(session_pooler, long_vacancy,
     .description = "What needs a primary is refused soon once the group was long without one")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.changeAuthority(2, TargetId());
    const SessionNumber early = fixture.open("latest");
    fixture.ask(early, TextStatementKind::Read, "early");
    fixture.advance(milliseconds(200));
    cr_assert_eq(fixture.answerCount(early), 0);
    fixture.advance(milliseconds(1200));
    cr_assert_eq(fixture.lastAnswer(early).fault, StatementFault::Busy);
    const SessionNumber late = fixture.open("latest");
    fixture.ask(late, TextStatementKind::Read, "late");
    fixture.advance(milliseconds(100));
    cr_assert_eq(fixture.lastAnswer(late).fault, StatementFault::Busy);
}

Test(session_pooler, scarce_connections,
     .description = "With fewer connections than poolers none rests open, and one serves a use")
{
    PoolerFixture fixture;
    fixture.pooler.leaseReceived(fixture.now + milliseconds(4000), 37, 0, fixture.now);
    fixture.warmUp();
    cr_assert_eq(openTo(fixture, PoolerFixture::Primary), 1);
    fixture.advance(milliseconds(1500));
    cr_assert_eq(openTo(fixture, PoolerFixture::Primary), 0);
    beginSix(fixture);
    cr_assert_eq(openTo(fixture, PoolerFixture::Primary), 1);
}
