// Tests of the session pooler: routing, transactions, session state, authority and lost answers.
#include "fakes/pooler_fixture.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

using Kind = TextStatementKind;

void beginAndWrite(PoolerFixture &fixture, SessionNumber session)
{
    fixture.submit(session, Kind::Begin, "b");
    fixture.submit(session, Kind::Write, "w");
    fixture.answerAll();
}

std::size_t sendCount(const PoolerFixture &fixture, const std::string &id)
{
    std::size_t count = 0;
    for (const SentCommand &each : fixture.statements())
        count += each.command.id == id ? 1U : 0U;
    return count;
}

} // namespace

Test(session_pooler, unknown_database,
     .description = "A session of a database without a route is not opened")
{
    PoolerFixture fixture;
    cr_assert_eq(fixture.open("nowhere"), 0);
    cr_assert_neq(fixture.open("latest"), 0);
}

Test(session_pooler, routing,
     .description = "Reads on stale-tolerant routes go to replicas with a minimum position, all "
                    "else to the primary")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.submit(fixture.open("bounded"), Kind::Read, "r");
    fixture.submit(fixture.open("latest"), Kind::Read, "l");
    fixture.submit(fixture.open("session"), Kind::Write, "w");
    fixture.advance(milliseconds(10));
    fixture.openConnections();
    const auto sent = fixture.statements();
    cr_assert_eq(sent.size(), 3);
    cr_assert_neq(sent[0].target, PoolerFixture::Primary);
    cr_assert(sent[0].command.minimum.has_value());
    cr_assert_eq(sent[1].target, PoolerFixture::Primary);
    cr_assert_eq(sent[2].target, PoolerFixture::Primary);
}

Test(session_pooler, text_is_unchanged,
     .description = "Statements are forwarded with their id and text unchanged")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.submit(fixture.open("latest"), Kind::Read, "5c0e");
    cr_assert_eq(fixture.statements().front().command.id, "5c0e");
    cr_assert_eq(fixture.statements().front().command.text, "read 5c0e");
}

Test(session_pooler, stale_sample,
     .description = "A read goes to the primary when the newest known position is too old")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.advance(milliseconds(1600));
    fixture.submit(fixture.open("bounded"), Kind::Read, "r");
    cr_assert_eq(fixture.statements().front().target, PoolerFixture::Primary);
}

Test(session_pooler, own_writes,
     .description = "A session's read requires the position of its own commit")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("session");
    fixture.positions[PoolerFixture::Primary] = {1, 77};
    fixture.submit(session, Kind::Write, "w");
    fixture.answerAll();
    fixture.submit(session, Kind::Read, "r");
    const SentCommand read = fixture.statements().back();
    if (read.target != PoolerFixture::Primary)
        cr_assert(!(*read.command.minimum < (LogPosition{1, 77})));
}

Test(session_pooler, ended_lease,
     .description = "Nothing is sent to the primary after the lease ended")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.now += milliseconds(4000);
    fixture.submit(fixture.open("latest"), Kind::Read, "r");
    cr_assert(fixture.statements().empty());
}

Test(session_pooler, frozen_process,
     .description =
         "A queued statement is not sent when the process was frozen past the end of its lease")
{
    PoolerFixture fixture;
    const SessionNumber session = fixture.open("latest");
    fixture.submit(session, Kind::Write, "w");
    fixture.now += milliseconds(5000);
    fixture.openConnections();
    cr_assert(fixture.statements().empty());
    fixture.advance(milliseconds(100));
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::Busy);
}

Test(session_pooler, late_commit,
     .description = "A write that is confirmed after the authority ended is in doubt")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.submit(session, Kind::Write, "w");
    fixture.changeAuthority(2, TargetId());
    fixture.answerAll();
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::InDoubt);
}

Test(session_pooler, deposed_primary,
     .description = "A transaction on a deposed primary is aborted")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    fixture.changeAuthority(2, TargetId());
    fixture.changeAuthority(3, PoolerFixture::ReplicaA);
    fixture.submit(session, Kind::Commit, "c");
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::Aborted);
    cr_assert_eq(sendCount(fixture, "c"), 0);
}

Test(session_pooler, reads_without_primary,
     .description = "Reads are served while no primary has the authority")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.changeAuthority(2, TargetId());
    fixture.submit(fixture.open("bounded"), Kind::Read, "r");
    cr_assert_eq(fixture.statements().size(), 1);
    cr_assert_neq(fixture.statements().front().target, PoolerFixture::Primary);
}

Test(session_pooler, former_primary_positions,
     .description =
         "Positions of a former primary are discarded when another target gets the authority")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.changeAuthority(2, TargetId());
    fixture.changeAuthority(3, PoolerFixture::ReplicaA);
    fixture.submit(fixture.open("bounded"), Kind::Read, "r");
    cr_assert_eq(fixture.statements().front().target, PoolerFixture::ReplicaA);
    cr_assert(!fixture.statements().front().command.minimum);
}

Test(session_pooler, pinned_transaction,
     .description = "A transaction stays on its connection until it ends")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    fixture.submit(fixture.open("latest"), Kind::Read, "other");
    fixture.openConnections();
    fixture.answerAll();
    fixture.submit(session, Kind::Commit, "c");
    const auto sent = fixture.statements();
    cr_assert_eq(sent.front().connection, sent.back().connection);
    cr_assert_neq(sent[1].connection, sent.back().connection);
}

Test(session_pooler, begin_first,
     .description = "The first statement is sent only after the target answered the begin")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.submit(session, Kind::Begin, "b");
    fixture.submit(session, Kind::Write, "w");
    cr_assert(fixture.statements().empty());
    fixture.answerNext(StatementFault::ReadOnly);
    cr_assert_eq(sendCount(fixture, "w"), 0);
}

Test(session_pooler, rollback_by_pooler,
     .description = "A rollback is answered by the pooler at once and also sent to the target")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    fixture.submit(session, Kind::Rollback, "x");
    cr_assert(!fixture.lastAnswer(session).fault);
    cr_assert_eq(fixture.sent.back().command.kind, TargetCommandKind::Rollback);
}

Test(session_pooler, caller_disconnected,
     .description =
         "The transaction of a disconnected caller is rolled back and its connection reused")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    const ConnectionId connection = fixture.statements().front().connection;
    fixture.pooler.sessionClosed(session, fixture.now);
    cr_assert_eq(fixture.sent.back().command.kind, TargetCommandKind::Rollback);
    fixture.answerAll();
    fixture.submit(fixture.open("latest"), Kind::Read, "r");
    cr_assert_eq(fixture.statements().back().connection, connection);
}

Test(session_pooler, lost_before_commit,
     .description = "A connection lost in a transaction aborts it")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    fixture.closeConnection(fixture.statements().back().connection);
    fixture.submit(session, Kind::Read, "r");
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
    fixture.submit(session, Kind::Commit, "c");
    fixture.closeConnection(fixture.statements().back().connection);
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::InDoubt);
    cr_assert_eq(fixture.lastAnswer(session).state, TransactionState::None);
}

Test(session_pooler, lost_write, .description = "A write outside a transaction is never sent twice")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.submit(session, Kind::Write, "w");
    fixture.closeConnection(fixture.statements().back().connection);
    fixture.answerAll();
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::InDoubt);
    cr_assert_eq(sendCount(fixture, "w"), 1);
}

Test(session_pooler, lost_read,
     .description = "A read whose answer was lost is retried at another target")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("bounded");
    fixture.submit(session, Kind::Read, "r");
    fixture.closeConnection(fixture.statements().back().connection);
    fixture.answerAll();
    cr_assert(!fixture.lastAnswer(session).fault);
    cr_assert_neq(fixture.statements().front().target, fixture.statements().back().target);
}

Test(session_pooler, lagging_replica,
     .description =
         "A lagging replica's read is retried elsewhere and the replica is skipped for a backoff")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("bounded");
    fixture.submit(session, Kind::Read, "r");
    const TargetId first = fixture.statements().front().target;
    fixture.answerNext(StatementFault::Lagging);
    fixture.answerAll();
    cr_assert(!fixture.lastAnswer(session).fault);
    fixture.submit(session, Kind::Read, "r2");
    cr_assert_neq(fixture.statements().back().target, first);
}

Test(session_pooler, busy_target,
     .description = "A statement is retried at a busy target after a backoff")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.submit(session, Kind::Write, "w");
    fixture.answerNext(StatementFault::Busy);
    cr_assert_eq(sendCount(fixture, "w"), 1);
    fixture.advance(milliseconds(100));
    fixture.answerAll();
    cr_assert_eq(sendCount(fixture, "w"), 2);
    cr_assert(!fixture.lastAnswer(session).fault);
}

Test(session_pooler, prepared_names,
     .description = "Prepared statements of the same name in two sessions keep their own shapes")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber one = fixture.open("latest");
    const SessionNumber two = fixture.open("latest");
    fixture.submit(one, Kind::Prepare, "p1", "s", "shape-one", true);
    fixture.submit(two, Kind::Prepare, "p2", "s", "shape-two", true);
    std::map<std::pair<ConnectionId, std::string>, std::string> shapes;
    fixture.onSent = [&shapes](const SentCommand &each) {
        if (each.command.kind == TargetCommandKind::Prepare)
            shapes[{each.connection, each.command.name}] = each.command.argument;
    };
    for (const SessionNumber session : {one, two, one}) {
        fixture.submit(session, Kind::Execute, "e", "s", "item");
        fixture.answerAll();
        const SentCommand run = fixture.statements().back();
        cr_assert_eq(shapes.at({run.connection, run.command.name}),
                     session == one ? "shape-one" : "shape-two");
    }
}

// Guards against memory that grows with each shape that any session has ever prepared.
Test(session_pooler, bounded_prepared_statements,
     .description = "Names and connections hold a limited number of prepared statements")
{
    constexpr std::size_t limit = 8;
    PoolerFixture fixture(std::nullopt, false, [](PoolerSettings &settings) {
        settings.preparedNamesLimit = 4096;
        settings.preparedPerConnection = limit;
    });
    fixture.warmUp();
    std::map<ConnectionId, std::map<std::string, std::string>> held;
    std::map<std::string, std::string> shapesByName;
    std::size_t most = 0;
    fixture.onSent = [&](const SentCommand &each) {
        auto &shapes = held[each.connection];
        if (each.command.kind == TargetCommandKind::Discard)
            shapes.clear();
        if (each.command.kind != TargetCommandKind::Prepare)
            return;
        shapes[each.command.name] = each.command.argument;
        most = std::max(most, shapes.size());
        const std::string &first =
            shapesByName.emplace(each.command.name, each.command.argument).first->second;
        cr_assert_eq(first, each.command.argument, "a name is given to two shapes");
    };
    const SessionNumber session = fixture.open("latest");
    fixture.submit(session, Kind::SetValue, "v", "colour", "red");
    for (int round = 0; round < 200; ++round) {
        // Some come again, before and after their names are forgotten.
        const std::string shape = "shape-" + std::to_string(round % 3 == 0 ? round / 30 : round);
        const bool inTransaction = round % 5 == 0;
        fixture.submit(session, Kind::Prepare, "p", "s", shape, true);
        if (inTransaction)
            fixture.submit(session, Kind::Begin, "b", "", "", true);
        fixture.submit(session, Kind::Execute, "e", "s", "item");
        fixture.answerAll();
        const SentCommand run = fixture.statements().back();
        cr_assert_eq(held[run.connection].at(run.command.name), shape);
        if (inTransaction) {
            fixture.submit(session, Kind::Commit, "c");
            fixture.answerAll();
        }
    }
    cr_assert_leq(most, limit + 1);
    cr_assert_gt(shapesByName.size(), 3 * limit);
}

Test(session_pooler, session_values,
     .description = "A reused connection is set to exactly the values of its new session")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber one = fixture.open("latest");
    fixture.submit(one, Kind::SetValue, "s", "colour", "red");
    fixture.submit(one, Kind::Read, "r1");
    fixture.answerAll();
    fixture.submit(fixture.open("latest"), Kind::Read, "r2");
    const auto &sent = fixture.sent;
    cr_assert_eq(sent.front().command.kind, TargetCommandKind::SetValue);
    cr_assert(std::any_of(sent.begin(), sent.end(), [](const SentCommand &each) {
        return each.command.kind == TargetCommandKind::Discard;
    }));
}

Test(session_pooler, unknown_name,
     .description = "Executing an unknown prepared statement fails without a target")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.submit(session, Kind::Execute, "e", "nothing", "item");
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::NoSuchName);
    cr_assert(fixture.sent.empty());
}

Test(session_pooler, removed_route,
     .description = "The removal of a route applies from the next transaction on")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    RouteTable next = PoolerFixture::routes(2);
    next.routes.erase("latest");
    fixture.pooler.routesReceived(next, fixture.now);
    fixture.submit(session, Kind::Commit, "c");
    fixture.answerAll();
    cr_assert(!fixture.lastAnswer(session).fault);
    fixture.submit(session, Kind::Read, "r");
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::NoDatabase);
}

Test(session_pooler, older_routes, .description = "An older configuration or view is ignored")
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

Test(session_pooler, draining_target, .description = "A draining target receives no new statement")
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
        fixture.submit(fixture.open("bounded"), Kind::Read, "r");
        cr_assert_neq(fixture.statements().back().target, PoolerFixture::ReplicaA);
    }
}

Test(session_pooler, silent_target,
     .description =
         "A statement without an answer fails at its timeout and the target is reported as silent")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.submit(session, Kind::Read, "r");
    fixture.advance(milliseconds(1100));
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::Timeout);
    fixture.advance(milliseconds(300));
    cr_assert_eq(fixture.pooler.observations().size(), 1);
}

Test(session_pooler, late_answer,
     .description = "An answer that arrives after the timeout is discarded")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.submit(session, Kind::Read, "r");
    fixture.advance(milliseconds(1100));
    fixture.submit(session, Kind::Read, "r2");
    const std::size_t before = fixture.answerCount(session);
    fixture.answerNext();
    cr_assert_eq(fixture.answerCount(session), before);
}

Test(session_pooler, stopping,
     .description = "A stopping pooler answers running statements and closes every session")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber resting = fixture.open("latest");
    const SessionNumber running = fixture.open("latest");
    const SessionNumber stuck = fixture.open("session");
    fixture.submit(running, Kind::Read, "r");
    fixture.submit(stuck, Kind::Write, "w");
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
     .description = "An idle transaction is aborted and the next statement reports it")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    beginAndWrite(fixture, session);
    for (int round = 0; round < 40; ++round) {
        fixture.extendLease(milliseconds(4000));
        fixture.advance(milliseconds(100));
    }
    fixture.submit(session, Kind::Commit, "c");
    cr_assert_eq(*fixture.lastAnswer(session).fault, StatementFault::Aborted);
}

namespace {

std::size_t openConnectionCount(const PoolerFixture &fixture, const TargetId &target)
{
    std::size_t count = 0;
    for (const auto &[connection, at] : fixture.targetOf)
        count += at == target && fixture.closedConnections.count(connection) == 0 ? 1 : 0;
    return count;
}

// Begins six transactions at the primary, each on its own connection as far as the limit allows.
void beginSixTransactions(PoolerFixture &fixture)
{
    for (int number = 0; number < 6; ++number) {
        const SessionNumber session = fixture.open("latest");
        fixture.submit(session, TextStatementKind::Begin, absl::StrCat("b", number));
        fixture.submit(session, TextStatementKind::Read, absl::StrCat("r", number));
        fixture.answerAll();
    }
}

// Runs a bounded read that the primary answers slowly. With `areReplicasBehind`, every replica
// answers that it lags.
void readWithSlowPrimary(PoolerFixture &fixture, const std::string &id, bool areReplicasBehind)
{
    const SessionNumber session = fixture.open("bounded");
    fixture.submit(session, TextStatementKind::Read, id);
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
     .description = "The connection shares of all poolers together stay below a target's limit")
{
    PoolerFixture fixture;
    fixture.pooler.leaseReceived(fixture.now + milliseconds(4000), 18, 0, fixture.now);
    fixture.warmUp();
    beginSixTransactions(fixture);
    cr_assert_eq(openConnectionCount(fixture, PoolerFixture::Primary), 2);
}

Test(session_pooler, shares_after_a_restart,
     .description = "Connections that ended pooler processes may have left open reduce the share")
{
    PoolerFixture fixture;
    fixture.pooler.leaseReceived(fixture.now + milliseconds(4000), 18, 18, fixture.now);
    fixture.warmUp();
    beginSixTransactions(fixture);
    cr_assert_eq(openConnectionCount(fixture, PoolerFixture::Primary), 1);
}

Test(session_pooler, overloaded_primary,
     .description = "A slow primary whose replicas are all behind is reported as overloaded")
{
    PoolerFixture fixture;
    fixture.warmUp();
    for (int round = 0; round < 8; ++round) {
        readWithSlowPrimary(fixture, absl::StrCat("q", round), true);
        fixture.extendLease(milliseconds(4000));
    }
    cr_assert_eq(fixture.pooler.overloadedGroups(fixture.now).size(), 1);
    // Past the backoff after which a lagging replica is tried again.
    fixture.advance(milliseconds(300));
    readWithSlowPrimary(fixture, "fresh", false);
    cr_assert(fixture.pooler.overloadedGroups(fixture.now).empty());
}

Test(session_pooler, absent_primary,
     .description =
         "Statements that need a primary are refused early once the group has long had none")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.changeAuthority(2, TargetId());
    const SessionNumber early = fixture.open("latest");
    fixture.submit(early, TextStatementKind::Read, "early");
    fixture.advance(milliseconds(200));
    cr_assert_eq(fixture.answerCount(early), 0);
    fixture.advance(milliseconds(1200));
    cr_assert_eq(fixture.lastAnswer(early).fault, StatementFault::Busy);
    const SessionNumber late = fixture.open("latest");
    fixture.submit(late, TextStatementKind::Read, "late");
    fixture.advance(milliseconds(100));
    cr_assert_eq(fixture.lastAnswer(late).fault, StatementFault::Busy);
}

Test(session_pooler, scarce_connections,
     .description = "With fewer connections than poolers none to the primary is kept idle and one "
                    "is opened on demand")
{
    PoolerFixture fixture;
    fixture.pooler.leaseReceived(fixture.now + milliseconds(4000), 37, 0, fixture.now);
    fixture.warmUp();
    cr_assert_eq(openConnectionCount(fixture, PoolerFixture::Primary), 1);
    fixture.advance(milliseconds(1500));
    cr_assert_eq(openConnectionCount(fixture, PoolerFixture::Primary), 0);
    beginSixTransactions(fixture);
    cr_assert_eq(openConnectionCount(fixture, PoolerFixture::Primary), 1);
}

Test(session_pooler, home_replica,
     .description = "With fewer connections than poolers one is kept to a single replica")
{
    PoolerFixture fixture;
    fixture.pooler.leaseReceived(fixture.now + milliseconds(8000), 60, 0, fixture.now);
    fixture.warmUp();
    fixture.advance(milliseconds(2500));
    fixture.openConnections();
    // The replica in the own failure domain.
    cr_assert_eq(openConnectionCount(fixture, PoolerFixture::ReplicaA), 1);
    cr_assert_eq(openConnectionCount(fixture, PoolerFixture::ReplicaB), 0);
}

Test(session_pooler, too_few_for_a_home_replica,
     .description = "No connection is kept where the limits do not allow a share of the poolers")
{
    PoolerFixture fixture;
    fixture.pooler.leaseReceived(fixture.now + milliseconds(8000), 90, 0, fixture.now);
    fixture.warmUp();
    fixture.advance(milliseconds(2500));
    fixture.openConnections();
    cr_assert_eq(openConnectionCount(fixture, PoolerFixture::ReplicaA), 0);
}

namespace {

GroupPosition sharedPosition(std::uint64_t generation, Duration age)
{
    return {PoolerFixture::Group, generation, LogPosition{1, 10}, age};
}

// Where the first statement of a new session on the route is sent.
TargetId targetOfRead(PoolerFixture &fixture, const std::string &route)
{
    fixture.openConnections();
    const SessionNumber session = fixture.open(route);
    fixture.submit(session, TextStatementKind::Read, "read");
    fixture.openConnections();
    return fixture.sent.empty() ? TargetId() : fixture.sent.back().target;
}

} // namespace

Test(session_pooler, shared_positions,
     .description = "A position that another pooler learned lets a replica serve a read")
{
    PoolerFixture alone;
    alone.advance(milliseconds(200));
    cr_assert_eq(targetOfRead(alone, "bounded"), PoolerFixture::Primary);
    PoolerFixture fixture;
    fixture.advance(milliseconds(200));
    fixture.pooler.positionsReceived({sharedPosition(1, milliseconds(300))}, fixture.now,
                                     fixture.now);
    cr_assert_neq(targetOfRead(fixture, "bounded"), PoolerFixture::Primary);
    cr_assert_eq(fixture.sent.back().command.minimum->position, 10);
}

Test(session_pooler, old_shared_positions,
     .description = "An age counts from when the renewal was sent; other generations do not count")
{
    PoolerFixture fixture;
    fixture.advance(milliseconds(1000));
    // 1,500 ms old are accepted on the route.
    fixture.pooler.positionsReceived({sharedPosition(1, milliseconds(700))},
                                     fixture.now - milliseconds(900), fixture.now);
    fixture.pooler.positionsReceived({sharedPosition(2, milliseconds(0))}, fixture.now,
                                     fixture.now);
    cr_assert_eq(targetOfRead(fixture, "bounded"), PoolerFixture::Primary);
}

Test(session_pooler, reported_positions,
     .description = "A position is reported once, and only if control has none as recent")
{
    PoolerFixture fixture;
    fixture.warmUp();
    fixture.advance(milliseconds(100));
    const auto reported = fixture.pooler.positionsToReport(fixture.now);
    cr_assert_eq(reported.size(), 1);
    cr_assert_geq(reported.front().age.count(), Duration(milliseconds(100)).count());
    cr_assert(fixture.pooler.positionsToReport(fixture.now).empty());
    PoolerFixture informed;
    informed.warmUp();
    informed.pooler.positionsReceived({sharedPosition(1, milliseconds(0))}, informed.now,
                                      informed.now);
    cr_assert(informed.pooler.positionsToReport(informed.now).empty());
}

Test(session_pooler, state_is_limited,
     .description = "A session whose values would take the memory of the process is refused more, "
                    "and keeps those that it has")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    const auto set = [&](const std::string &name, std::size_t bytes) {
        TextStatement statement;
        statement.kind = Kind::SetValue;
        statement.id = "s";
        statement.name = name;
        statement.argument = std::string(bytes, 'v');
        fixture.pooler.statement(session, statement, fixture.now);
        return fixture.answers[session].back().fault;
    };
    for (int round = 0; round < 8; ++round)
        cr_assert(!set("same", 500'000));
    int kept = 0;
    while (kept < 64 && !set("n" + std::to_string(kept), 500'000))
        ++kept;
    cr_assert_lt(kept, 8);
    cr_assert(!set("same", 10));
    cr_assert(!set("other", 10));
}

Test(session_pooler, backlog_after_local_answer,
     .description = "A statement behind one that the pooler answers itself is not left without an "
                    "answer")
{
    PoolerFixture fixture;
    fixture.warmUp();
    const SessionNumber session = fixture.open("latest");
    fixture.submit(session, Kind::Read, "r1");
    fixture.submit(session, Kind::SetValue, "s");
    fixture.submit(session, Kind::Read, "r2");
    fixture.answerAll();
    fixture.advance(milliseconds(10));
    fixture.answerAll();
    cr_assert_eq(fixture.answers[session].size(), 3);
}
