// Tests of sessions with teams: keys, proofs of the configuration, and connections of teams.
#include "fakes/pooler_fixture.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

using Kind = TextStatementKind;
using std::chrono::seconds;

constexpr milliseconds RevokeWithin{5000};
// The end of a proof, counted from when the renewal was sent.
constexpr milliseconds ProvenFor{4950};

const TeamId Red("red");
const TeamId Blue("blue");

KeyDigest keyOf(std::uint8_t number)
{
    KeyDigest digest;
    digest.bytes.fill(number);
    return digest;
}

const KeyDigest RedKey = keyOf(1);
const KeyDigest BlueKey = keyOf(2);

// Routes and teams; the route "open" is public.
RouteTable tableWith(std::uint64_t version, const std::map<KeyDigest, TeamId> &teamsByKey)
{
    RouteTable table = PoolerFixture::routes(version);
    Route open = table.routes.at("latest");
    open.database = "open";
    open.isPublic = true;
    table.routes["open"] = open;
    table.hasTeams = true;
    table.teams = {{Red, {}}, {Blue, {}}};
    table.teamsByKey = teamsByKey;
    return table;
}

// A pooler that serves two teams and is in contact with control.
class TeamFixture : public PoolerFixture
{
public:
    explicit TeamFixture(std::optional<Duration> revokeWithin = std::nullopt)
        : PoolerFixture(revokeWithin)
    {
        this->configure({{RedKey, Red}, {BlueKey, Blue}});
        this->prove();
        this->openConnections();
    }

    void configure(const std::map<KeyDigest, TeamId> &teamsByKey)
    {
        this->pooler.routesReceived(tableWith(++this->version, teamsByKey), this->now);
    }

    void revokeRed() { this->configure({{BlueKey, Blue}}); }

    // Control answers a renewal that was sent just now.
    void prove() { this->pooler.configurationAnswered(this->version, this->now, this->now); }

    // Leaves this pooler one connection to each target.
    void makeConnectionsScarce()
    {
        this->pooler.leaseReceived(this->now + seconds(60), 37, 0, this->now);
        this->advance(milliseconds(2500));
        this->prove();
    }

    bool wasSent(const std::string &id) const
    {
        const auto sentStatements = this->statements();
        return std::any_of(sentStatements.begin(), sentStatements.end(),
                           [&id](const SentCommand &each) { return each.command.id == id; });
    }

    std::optional<StatementFault> faultOf(SessionNumber session) const
    {
        return this->lastAnswer(session).fault;
    }

    std::uint64_t version = 1;
};

// Opens a session of the red team whose transaction has run a write.
SessionNumber beginRed(TeamFixture &fixture)
{
    const SessionNumber session = fixture.open("latest", RedKey);
    fixture.submit(session, Kind::Begin, "b");
    fixture.submit(session, Kind::Write, "w");
    fixture.answerAll();
    cr_assert_eq(fixture.answerCount(session), 2);
    cr_assert(!fixture.faultOf(session));
    return session;
}

} // namespace

Test(team_sessions, opening,
     .description = "A session needs the key of a team, except on a public route")
{
    TeamFixture fixture;
    cr_assert_eq(fixture.open("latest", keyOf(9)), 0);
    cr_assert_eq(fixture.lastOpening, SessionOpening::Denied);
    cr_assert_eq(fixture.open("nowhere", RedKey), 0);
    cr_assert_eq(fixture.lastOpening, SessionOpening::UnknownDatabase);
    cr_assert_neq(fixture.open("latest", RedKey), 0);
    cr_assert_neq(fixture.open("open", keyOf(9)), 0);
}

Test(team_sessions, document_without_teams,
     .description = "Without teams keys are not looked at and connections belong to no team")
{
    PoolerFixture fixture(RevokeWithin);
    fixture.warmUp();
    fixture.submit(fixture.open("latest", keyOf(9)), Kind::Write, "w");
    cr_assert_eq(fixture.statements().size(), 1);
    for (const auto &[connection, team] : fixture.teamOf)
        cr_assert(team.empty());
}

Test(team_sessions, names_of_teams,
     .description = "Targets are told the team of the key, and none on a public route")
{
    TeamFixture fixture;
    for (const auto &[database, key, team] :
         std::vector<std::tuple<std::string, KeyDigest, TeamId>>{
             {"latest", RedKey, Red}, {"latest", BlueKey, Blue}, {"open", RedKey, TeamId()}}) {
        const SessionNumber session = fixture.open(database, key);
        fixture.submit(session, Kind::Write, "w");
        fixture.answerAll();
        cr_assert(!fixture.faultOf(session));
        cr_assert_eq(fixture.teamOf.at(fixture.statements().back().connection), team);
    }
}

Test(team_sessions, revoked_key,
     .description = "Every kind of statement of a session whose key was taken away is denied")
{
    TeamFixture fixture;
    const SessionNumber session = fixture.open("latest", RedKey);
    const SessionNumber other = fixture.open("latest", BlueKey);
    fixture.revokeRed();
    for (const Kind kind : {Kind::Read, Kind::Write, Kind::Begin, Kind::SetValue, Kind::Prepare,
                            Kind::Rollback, Kind::Commit}) {
        fixture.submit(session, kind, "s", "name", "value");
        cr_assert_eq(fixture.faultOf(session), StatementFault::Denied, "%s",
                     std::string(nameOf(kind)).c_str());
        cr_assert_eq(fixture.lastAnswer(session).state, TransactionState::None);
    }
    cr_assert(!fixture.wasSent("s"));
    fixture.submit(other, Kind::Write, "w");
    fixture.answerAll();
    cr_assert(!fixture.faultOf(other));
}

Test(
    team_sessions, revoked_in_transaction,
    .description = "A transaction whose key was taken away is rolled back and its statement denied")
{
    for (const Kind kind : {Kind::Write, Kind::Commit, Kind::SetValue}) {
        TeamFixture fixture;
        const SessionNumber session = beginRed(fixture);
        fixture.revokeRed();
        fixture.submit(session, kind, "late", "name", "value");
        cr_assert_eq(fixture.faultOf(session), StatementFault::Denied);
        cr_assert(!fixture.wasSent("late"));
        cr_assert_eq(fixture.sent.back().command.kind, TargetCommandKind::Rollback);
    }
}

Test(team_sessions, revoked_while_waiting,
     .description = "A statement that waits for a connection is denied once its key is taken away")
{
    TeamFixture fixture;
    const SessionNumber session = fixture.open("latest", RedKey);
    fixture.submit(session, Kind::Write, "w");
    fixture.revokeRed();
    cr_assert_eq(fixture.faultOf(session), StatementFault::Denied);
    fixture.answerAll();
    cr_assert(!fixture.wasSent("w"));
}

Test(
    team_sessions, revoked_while_beginning,
    .description = "A key that is taken away after the begin was sent stops the statement after it")
{
    TeamFixture fixture;
    const SessionNumber session = fixture.open("latest", RedKey);
    fixture.submit(session, Kind::Begin, "b");
    fixture.submit(session, Kind::Write, "w");
    fixture.openConnections();
    cr_assert_eq(fixture.sent.back().command.kind, TargetCommandKind::Begin);
    fixture.revokeRed();
    fixture.answerNext();
    cr_assert_eq(fixture.faultOf(session), StatementFault::Denied);
    cr_assert(!fixture.wasSent("w"));
    cr_assert_eq(fixture.sent.back().command.kind, TargetCommandKind::Rollback);
}

Test(team_sessions, older_document,
     .description = "An older document that arrives late brings no revoked key back")
{
    TeamFixture fixture(RevokeWithin);
    const SessionNumber session = fixture.open("latest", RedKey);
    const RouteTable older = tableWith(fixture.version, {{RedKey, Red}});
    fixture.revokeRed();
    fixture.prove();
    fixture.pooler.routesReceived(older, fixture.now);
    fixture.submit(session, Kind::Write, "w");
    cr_assert_eq(fixture.faultOf(session), StatementFault::Denied);
}

Test(team_sessions, moved_key,
     .description = "A key that moves to another team runs as that team from the next operation on")
{
    TeamFixture fixture;
    const SessionNumber session = fixture.open("latest", RedKey);
    fixture.submit(session, Kind::Write, "first");
    fixture.answerAll();
    fixture.configure({{RedKey, Blue}});
    fixture.submit(session, Kind::Write, "second");
    fixture.answerAll();
    cr_assert(!fixture.faultOf(session));
    cr_assert_eq(fixture.teamOf.at(fixture.statements().back().connection), Blue);
}

Test(team_sessions, moved_in_transaction,
     .description = "A transaction is aborted when its key moves to another team")
{
    TeamFixture fixture;
    const SessionNumber session = beginRed(fixture);
    fixture.configure({{RedKey, Blue}});
    fixture.submit(session, Kind::Write, "late");
    cr_assert_eq(fixture.faultOf(session), StatementFault::Aborted);
    cr_assert(!fixture.wasSent("late"));
    fixture.submit(session, Kind::Rollback, "r");
    cr_assert(!fixture.faultOf(session));
}

// Guards against a transaction that was begun as one team and runs as another.
Test(team_sessions, moved_before_the_first_statement,
     .description = "A transaction is aborted also if its key moves before the first statement")
{
    TeamFixture fixture;
    const SessionNumber session = fixture.open("latest", RedKey);
    fixture.submit(session, Kind::Begin, "b");
    fixture.configure({{RedKey, Blue}});
    fixture.submit(session, Kind::Write, "late");
    fixture.answerAll();
    cr_assert_eq(fixture.faultOf(session), StatementFault::Aborted);
    cr_assert(!fixture.wasSent("late"));
}

// Guards against a transaction that goes on without a key because its route was public once.
Test(
    team_sessions, route_needs_a_key_now,
    .description = "A transaction of a route that is no longer public does not go on without a key")
{
    TeamFixture fixture;
    const SessionNumber session = fixture.open("open", keyOf(9));
    fixture.submit(session, Kind::Begin, "b");
    fixture.submit(session, Kind::Write, "w");
    fixture.answerAll();
    RouteTable table = tableWith(++fixture.version, {{RedKey, Red}});
    table.routes.at("open").isPublic = false;
    fixture.pooler.routesReceived(table, fixture.now);
    fixture.submit(session, Kind::Commit, "late");
    cr_assert_eq(fixture.faultOf(session), StatementFault::Denied);
    cr_assert(!fixture.wasSent("late"));
}

Test(team_sessions, lost_contact,
     .description =
         "Without control keyed statements are served for a while, then refused as busy, "
         "and served again at once when contact is back")
{
    TeamFixture fixture(RevokeWithin);
    const SessionNumber session = fixture.open("latest", RedKey);
    const SessionNumber open = fixture.open("open", keyOf(9));
    const auto run = [&fixture](SessionNumber number) {
        fixture.submit(number, Kind::Write, "w");
        fixture.answerAll();
        return fixture.faultOf(number);
    };
    fixture.extendLease(seconds(60));
    fixture.advance(RevokeWithin * 6 / 10);
    cr_assert(!run(session));
    fixture.advance(RevokeWithin * 4 / 10);
    cr_assert_eq(run(session), StatementFault::Busy);
    cr_assert(!run(open));
    cr_assert(!fixture.pooler.servesTeams(fixture.now));
    cr_assert_eq(fixture.open("latest", keyOf(9)), 0);
    cr_assert_eq(fixture.lastOpening, SessionOpening::Unproven);
    fixture.prove();
    cr_assert(fixture.pooler.servesTeams(fixture.now));
    cr_assert(!run(session));
}

Test(team_sessions, unproven_transaction,
     .description = "A transaction without proof fails and can be rolled back by its caller")
{
    TeamFixture fixture(RevokeWithin);
    fixture.extendLease(seconds(60));
    fixture.advance(ProvenFor - milliseconds(100));
    const SessionNumber session = beginRed(fixture);
    fixture.advance(milliseconds(100));
    fixture.submit(session, Kind::Commit, "late");
    cr_assert_eq(fixture.faultOf(session), StatementFault::Busy);
    cr_assert_eq(fixture.lastAnswer(session).state, TransactionState::None);
    cr_assert(!fixture.wasSent("late"));
    cr_assert_eq(fixture.sent.back().command.kind, TargetCommandKind::Rollback);
}

Test(team_sessions, partition,
     .description = "No statement runs later than the bound after a revocation, wherever a "
                    "partition begins")
{
    for (int cut = 0; cut <= 1000; cut += 50) {
        TeamFixture fixture(RevokeWithin);
        fixture.extendLease(seconds(60));
        const SessionNumber session = fixture.open("latest", RedKey);
        const TimePoint start = fixture.now;
        // The document that takes the key away is acknowledged right after the partition begins.
        TimePoint revoked;
        for (int step = 0; fixture.now < start + seconds(8); ++step) {
            if (fixture.now < start + milliseconds(cut)) {
                if (step % 10 == 0)
                    fixture.prove();
                revoked = fixture.now;
            }
            fixture.submit(session, Kind::Write, absl::StrCat("w", step));
            fixture.answerAll();
            fixture.advance(milliseconds(50));
        }
        if (cut == 0)
            revoked = start;
        const auto sent = fixture.statements();
        cr_assert_gt(sent.back().at, start + seconds(4));
        cr_assert_lt(sent.back().at, revoked + RevokeWithin, "cut at %d ms", cut);
        cr_assert_eq(fixture.faultOf(session), StatementFault::Busy);
    }
}

Test(team_sessions, suspension,
     .description = "A pooler that was suspended for longer than the bound runs nothing when it "
                    "resumes, whichever event comes first")
{
    for (const int first : {0, 1, 2}) {
        TeamFixture fixture(RevokeWithin);
        fixture.extendLease(seconds(60));
        const SessionNumber waiting = fixture.open("latest", RedKey);
        fixture.submit(waiting, Kind::Write, "waiting");
        const SessionNumber idle = fixture.open("latest", BlueKey);
        fixture.now += RevokeWithin;
        if (first == 0)
            fixture.openConnections();
        else if (first == 1)
            fixture.pooler.advance(fixture.now);
        fixture.submit(idle, Kind::Write, "arrived");
        fixture.answerAll();
        cr_assert(fixture.statements().empty(), "event %d", first);
        cr_assert_eq(fixture.faultOf(idle), StatementFault::Busy);
        // An answer to a renewal that was sent before the suspension proves nothing any more.
        fixture.pooler.configurationAnswered(fixture.version, fixture.now - RevokeWithin,
                                             fixture.now);
        fixture.submit(idle, Kind::Write, "still");
        cr_assert_eq(fixture.faultOf(idle), StatementFault::Busy);
    }
}

// Guards against denying a valid key that only a newer document holds.
Test(team_sessions, new_key_at_an_old_document,
     .description = "A key is not denied by a pooler that has long had no answer of control, or "
                    "knows that it does not hold the newest document")
{
    TeamFixture fixture(RevokeWithin);
    const KeyDigest added = keyOf(3);
    fixture.open("latest", added);
    cr_assert_eq(fixture.lastOpening, SessionOpening::Denied);
    fixture.pooler.configurationAnswered(fixture.version + 1, fixture.now, fixture.now);
    fixture.open("latest", added);
    cr_assert_eq(fixture.lastOpening, SessionOpening::Unproven);
    fixture.configure({{added, Red}, {BlueKey, Blue}});
    cr_assert_neq(fixture.open("latest", added), 0);
    const SessionNumber session = fixture.lastSession;
    fixture.advance(milliseconds(3000));
    fixture.open("latest", keyOf(9));
    cr_assert_eq(fixture.lastOpening, SessionOpening::Unproven);
    fixture.submit(session, Kind::Write, "w");
    fixture.answerAll();
    cr_assert(!fixture.faultOf(session));
}

Test(team_sessions, connections_of_teams,
     .description = "A connection serves one team only, however scarce connections are")
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        TeamFixture fixture;
        std::mt19937_64 random(seed);
        fixture.pooler.leaseReceived(fixture.now + seconds(600), seed % 3 == 0 ? 1 : 37, 0,
                                     fixture.now);
        std::map<SessionNumber, TeamId> teams;
        fixture.onSent = [&fixture, &teams](const SentCommand &each) {
            if (each.command.id.empty())
                return;
            const SessionNumber session = std::stoull(each.command.id);
            cr_assert_eq(fixture.teamOf.at(each.connection), teams.at(session));
        };
        for (int number = 0; number < 6; ++number) {
            const bool isOpen = number == 5;
            const SessionNumber session =
                fixture.open(isOpen ? "open" : "latest", number % 2 == 0 ? RedKey : BlueKey);
            teams[session] = isOpen ? TeamId() : number % 2 == 0 ? Red : Blue;
        }
        for (int step = 0; step < 400; ++step) {
            const SessionNumber session = 1 + random() % teams.size();
            const Kind kinds[] = {Kind::Read,   Kind::Write,    Kind::Begin,
                                  Kind::Commit, Kind::Rollback, Kind::Write};
            if (random() % 2 == 0)
                fixture.submit(session, kinds[random() % 6], absl::StrCat(session));
            else if (!fixture.unanswered.empty())
                fixture.answerNext(random() % 6 == 0
                                       ? std::optional<StatementFault>(StatementFault::Busy)
                                       : std::nullopt);
            if (random() % 3 == 0)
                fixture.openConnections();
            if (random() % 20 == 0 && !fixture.unanswered.empty())
                fixture.closeConnection(fixture.unanswered.front().connection);
            fixture.advance(milliseconds(random() % 30));
        }
        cr_assert_gt(fixture.statements().size(), 30U);
    }
}

// Guards against the use of a connection that was replaced as soon as it became idle.
Test(team_sessions, replaced_after_a_refused_begin,
     .description = "A begin that is refused may cost its connection to another team's statement")
{
    TeamFixture fixture;
    fixture.makeConnectionsScarce();
    const SessionNumber red = fixture.open("latest", RedKey);
    fixture.submit(red, Kind::Begin, "b");
    fixture.submit(red, Kind::Write, "w");
    fixture.openConnections();
    const SessionNumber blue = fixture.open("latest", BlueKey);
    fixture.submit(blue, Kind::Write, "other");
    fixture.answerNext(StatementFault::Failed);
    fixture.answerAll();
    fixture.advance(milliseconds(100));
    fixture.answerAll();
    cr_assert(!fixture.faultOf(blue));
    cr_assert_eq(fixture.teamOf.at(fixture.statements().front().connection), Blue);
}

// Guards against closing connections of other teams without opening one in their place.
Test(team_sessions, one_replaced_at_a_time,
     .description = "Waiting statements of a team replace one idle connection of another at a time")
{
    TeamFixture fixture;
    fixture.pooler.leaseReceived(fixture.now + seconds(60), 18, 0, fixture.now);
    // Both connections of the share.
    for (const std::string id : {"r1", "r2"})
        fixture.submit(fixture.open("latest", RedKey), Kind::Write, id);
    fixture.openConnections();
    fixture.advance(milliseconds(10));
    fixture.answerAll();
    const std::size_t before = fixture.closedConnections.size();
    const std::size_t opened = fixture.teamOf.size();
    for (const std::string id : {"b1", "b2", "b3"})
        fixture.submit(fixture.open("latest", BlueKey), Kind::Write, id);
    cr_assert_eq(fixture.closedConnections.size() - before, fixture.teamOf.size() - opened);
    fixture.answerAll();
    cr_assert(fixture.wasSent("b1") && fixture.wasSent("b2") && fixture.wasSent("b3"));
}

// Guards against closing a connection although the target rejects the one that would replace it.
Test(team_sessions, kept_while_none_may_be_opened,
     .description = "No connection is replaced while the target rejects new ones")
{
    TeamFixture fixture;
    fixture.pooler.leaseReceived(fixture.now + seconds(60), 18, 0, fixture.now);
    fixture.submit(fixture.open("latest", RedKey), Kind::Write, "r1");
    fixture.openConnections();
    fixture.submit(fixture.open("latest", RedKey), Kind::Write, "r2");
    cr_assert_eq(fixture.opening.size(), 1);
    fixture.closeConnection(fixture.opening.front().first, TargetFailure::TooMany);
    fixture.answerAll();
    // One connection is left, and as more poolers share the limit, no other is allowed.
    fixture.pooler.leaseReceived(fixture.now + seconds(60), 37, 0, fixture.now);
    const std::size_t before = fixture.closedConnections.size();
    fixture.submit(fixture.open("latest", BlueKey), Kind::Write, "b");
    cr_assert_eq(fixture.closedConnections.size(), before);
    fixture.advance(milliseconds(320));
    fixture.answerAll();
    cr_assert(fixture.wasSent("b"));
}

// Guards against connections that are opened and replaced in turn without ever serving a statement.
Test(team_sessions, new_connections_serve,
     .description = "A connection that was opened for a waiting statement serves one before it is "
                    "replaced")
{
    // The other team, and callers of a public route.
    for (const std::string database : {"latest", "open"}) {
        TeamFixture fixture;
        fixture.makeConnectionsScarce();
        fixture.submit(fixture.open(database, BlueKey), Kind::Write, "first");
        // Past the time after which the newest statement goes first.
        fixture.advance(milliseconds(120));
        for (int round = 0; round < 4 && fixture.statements().empty(); ++round) {
            const bool isRed = round % 2 == 0;
            fixture.submit(fixture.open(isRed ? "latest" : database, isRed ? RedKey : BlueKey),
                           Kind::Write, absl::StrCat("w", round));
            // The connection that the former round opened; the other team's statement is newer by
            // now.
            const auto [connection, target] = fixture.opening.front();
            fixture.opening.pop_front();
            fixture.pooler.targetOpened(connection, fixture.positions[target], fixture.now);
            fixture.advance(milliseconds(20));
        }
        cr_assert_eq(fixture.statements().size(), 1);
        cr_assert_eq(fixture.statements().front().command.id, "first");
    }
}

Test(team_sessions, removed_team,
     .description = "No connection is opened in the name of a team that was removed")
{
    TeamFixture fixture;
    const SessionNumber session = fixture.open("latest", RedKey);
    fixture.submit(session, Kind::Write, "w");
    fixture.answerAll();
    const ConnectionId used = fixture.statements().back().connection;
    for (const auto &[connection, target] : std::map<ConnectionId, TargetId>(fixture.targetOf)) {
        if (connection != used && target == PoolerFixture::Primary)
            fixture.closeConnection(connection);
    }
    RouteTable table = tableWith(++fixture.version, {{BlueKey, Blue}});
    table.teams.erase(Red);
    fixture.pooler.routesReceived(table, fixture.now);
    fixture.opening.clear();
    fixture.closeConnection(used);
    for (const auto &[connection, target] : fixture.opening)
        cr_assert_neq(fixture.teamOf.at(connection), Red);
}

// Guards against a statement that waits in vain for a transaction whose caller fell silent.
Test(team_sessions, connection_held_by_an_idle_transaction,
     .description =
         "A statement is refused early if idle transactions hold all connections that it "
         "could use, and is served if one ends before")
{
    for (const bool ends : {false, true}) {
        TeamFixture fixture;
        fixture.makeConnectionsScarce();
        const SessionNumber red = beginRed(fixture);
        fixture.advance(milliseconds(500));
        const SessionNumber blue = fixture.open("latest", BlueKey);
        fixture.submit(blue, Kind::Write, "b");
        fixture.advance(milliseconds(50));
        if (ends)
            fixture.submit(red, Kind::Commit, "commit");
        fixture.answerAll();
        fixture.advance(milliseconds(50));
        cr_assert_eq(fixture.answerCount(blue), 1);
        cr_assert_eq(fixture.faultOf(blue).has_value(), !ends);
    }
}

Test(team_sessions, transaction_that_goes_on,
     .description = "A statement waits its whole objective for a transaction that goes on")
{
    TeamFixture fixture;
    fixture.makeConnectionsScarce();
    const SessionNumber red = beginRed(fixture);
    const SessionNumber blue = fixture.open("latest", BlueKey);
    fixture.submit(blue, Kind::Write, "b");
    for (int round = 0; round < 7; ++round) {
        fixture.advance(milliseconds(50));
        fixture.submit(red, Kind::Write, "r");
        fixture.answerAll();
    }
    cr_assert_eq(fixture.answerCount(blue), 0);
    fixture.submit(red, Kind::Commit, "commit");
    fixture.answerAll();
    cr_assert(!fixture.faultOf(blue));
}

Test(team_sessions, counted_refusals,
     .description = "Each refusal for a key or a missing proof is counted under its cause")
{
    TeamFixture fixture(RevokeWithin);
    const SessionNumber session = fixture.open("latest", RedKey);
    fixture.open("latest", keyOf(9));
    cr_assert_eq(fixture.eventCounts["key_denied"], 1);
    fixture.submit(session, Kind::Begin, "b");
    fixture.configure({{RedKey, Blue}});
    fixture.submit(session, Kind::Read, "r");
    cr_assert_eq(fixture.eventCounts["key_moved"], 1);
    fixture.submit(session, Kind::Rollback, "e");
    fixture.now += RevokeWithin;
    fixture.submit(session, Kind::Read, "r");
    fixture.open("latest", keyOf(9));
    cr_assert_eq(fixture.eventCounts["configuration_unproven"], 2);
    fixture.prove();
    // Also once when the fixture first served teams.
    cr_assert_eq(fixture.eventCounts["configuration_proven"], 2);
    // Waiting for a connection when the key is taken away.
    fixture.submit(session, Kind::Write, "w");
    fixture.configure({{BlueKey, Blue}});
    cr_assert_eq(fixture.eventCounts["key_denied"], 2);
}

// Guards against a wait for one target that does not accept, while another could serve.
Test(team_sessions, replaced_elsewhere,
     .description = "A connection to another target is replaced when the first does not open soon")
{
    TeamFixture fixture;
    fixture.makeConnectionsScarce();
    fixture.submit(fixture.open("latest", RedKey), Kind::Write, "w");
    fixture.answerAll();
    // Leaves an idle connection of the red team to each target.
    for (const std::string id : {"r1", "r2", "r3"})
        fixture.submit(fixture.open("bounded", RedKey), Kind::Read, id);
    fixture.answerAll();
    const SessionNumber blue = fixture.open("bounded", BlueKey);
    fixture.submit(blue, Kind::Read, "b");
    fixture.advance(milliseconds(50));
    cr_assert_eq(fixture.opening.size(), 1);
    fixture.advance(milliseconds(100));
    cr_assert_eq(fixture.opening.size(), 2);
    fixture.opening.pop_front();
    fixture.answerAll();
    cr_assert_eq(fixture.answerCount(blue), 1);
    cr_assert(!fixture.faultOf(blue));
}
