// Tests of the tokens that carry the limits of teams: which of them a pooler may spend, and which
// of them the leader may grant again.
#include "fakes/fleet_fixture.hpp"
#include "fakes/pooler_fixture.hpp"
#include "rhubarbweir/coordination/fleet/budget_allocator.hpp"
#include "rhubarbweir/coordination/sessions/leader_monitor.hpp"
#include "rhubarbweir/coordination/sessions/team_budget.hpp"
#include "rhubarbweir/protocol/codec.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <optional>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;
using Kind = TextStatementKind;

namespace {

const TeamId Blue("team");

// A leader with one team of 10 operations per second, whose bucket is full, and poolers.
struct LimitFixture
{
    LimitFixture()
        : allocator({milliseconds(5000), 0.1, 20, milliseconds(3000)},
                    [](const TeamId &, const auto &) {})
    {
        this->allocator.setPoolers(4, this->now);
        this->now += milliseconds(10000);
        this->allocator.beginLeadership();
        this->allocator.start({}, this->now);
        this->allocator.setLimits({{Blue, {10, 10}}}, this->now);
        this->now += milliseconds(10000);
        this->allocator.advance(this->now);
    }

    // The pooler reports and gets the answer. `waiting` operations wait for tokens.
    TokenAnswer exchange(TeamBudget &budget, const char *name, std::size_t waiting)
    {
        const TokenReport report = this->reportOf(budget, waiting);
        TokenAnswer answer = this->allocator.answer({InstanceId(name), 1}, report, this->now);
        budget.answered(answer, this->now);
        return answer;
    }

    TokenReport reportOf(TeamBudget &budget, std::size_t waiting)
    {
        budget.setWaiting(Blue, waiting);
        return budget.report(this->now);
    }

    double bucket() const { return this->allocator.status().at(Blue).bucket; }

    TimePoint now;
    BudgetAllocator allocator;
};

KeyDigest keyOf(std::uint8_t number)
{
    KeyDigest key;
    key.bytes[0] = number;
    return key;
}

// A pooler with two limited teams, whose keys are 1 and 2, and a leader that answers on demand.
struct LimitedPooler : PoolerFixture
{
    LimitedPooler()
        : PoolerFixture(std::nullopt, true)
    {
        this->warmUp();
        this->setTeams(2, 2);
        this->advance(milliseconds(20));
    }

    // The team of key 1 is `Blue`, that of key 2 is "other"; `moved` is also a key of "other".
    void setTeams(std::uint64_t version, std::uint8_t moved)
    {
        RouteTable table = routes(version);
        table.hasTeams = true;
        table.teams[Blue].limit = TeamLimit{10, 10};
        table.teams[TeamId("other")].limit = TeamLimit{10, 10};
        table.teamsByKey = {{keyOf(1), Blue}, {keyOf(2), TeamId("other")}};
        table.teamsByKey[keyOf(moved)] = TeamId("other");
        this->pooler.routesReceived(table, this->now);
    }

    // The leader answers the next report.
    std::uint32_t grant(const TeamId &team, std::uint32_t tokens, bool exhausted = false)
    {
        const auto report = this->pooler.tokenReport(this->now);
        std::uint32_t waiting = 0;
        for (const TeamTokenUse &use : report->teams)
            waiting += use.team == team ? use.waiting : 0;
        TokenAnswer answer;
        answer.sequence = report->sequence;
        answer.epoch = 1;
        answer.lifetime = milliseconds(3000);
        answer.grants = {{team, tokens, exhausted}};
        this->pooler.tokensAnswered(answer, this->now);
        return waiting;
    }

    // Runs until the statements that may be sent are answered.
    void serve()
    {
        this->advance(milliseconds(10));
        this->answerAll();
    }
};

std::uint32_t tokensIn(const TokenAnswer &answer)
{
    return answer.grants.empty() ? 0 : answer.grants.front().tokens;
}

} // namespace

// Guards against tokens that the leader has granted again.
Test(team_limits, late_answer,
     .description = "The tokens of an answer that is not awaited any more are not spent")
{
    LimitFixture fleet;
    TeamBudget budget;
    const TokenReport late = fleet.reportOf(budget, 5);
    const TokenAnswer answer = fleet.allocator.answer({InstanceId("p"), 1}, late, fleet.now);
    cr_assert_eq(tokensIn(answer), 5);
    fleet.exchange(budget, "p", 0);
    budget.answered(answer, fleet.now);
    cr_assert_eq(budget.held(Blue, fleet.now), 0);
    const TokenReport awaited = fleet.reportOf(budget, 1);
    budget.answered(answer, fleet.now);
    cr_assert_eq(budget.held(Blue, fleet.now), 0);
    cr_assert_gt(awaited.sequence, answer.sequence);
}

// Guards against a bucket that gets the token back while the operation runs.
Test(team_limits, token_of_running_operation,
     .description = "A token that ends while its operation runs is reported as spent")
{
    LimitFixture fleet;
    TeamBudget budget;
    fleet.exchange(budget, "p", 1);
    const auto token = budget.take(Blue, fleet.now);
    cr_assert(token.has_value());
    const TokenReport before = fleet.reportOf(budget, 0);
    cr_assert_eq(before.teams.at(0).held, 1);
    fleet.now = *token;
    const TokenReport after = fleet.reportOf(budget, 0);
    cr_assert_eq(after.teams.at(0).held, 0);
    cr_assert_eq(after.teams.at(0).spent, before.teams.at(0).spent + 1);
    budget.settle(Blue, *token, true, fleet.now);
    cr_assert_eq(fleet.reportOf(budget, 0).teams.at(0).spent, after.teams.at(0).spent);
}

// Guards against a frozen pooler that spends tokens after the leader has granted them again.
Test(team_limits, deadline,
     .description = "Tokens end a lifetime after the pooler asked for them, not after the answer")
{
    LimitFixture fleet;
    TeamBudget budget;
    const TokenReport report = fleet.reportOf(budget, 2);
    const TokenAnswer answer = fleet.allocator.answer({InstanceId("p"), 1}, report, fleet.now);
    const TimePoint asked = fleet.now;
    fleet.now += milliseconds(900);
    budget.answered(answer, fleet.now);
    cr_assert_eq(budget.held(Blue, asked + milliseconds(2999)), 2);
    cr_assert(!budget.take(Blue, asked + milliseconds(3000)));
}

// Guards against a charge for an operation that had no effect.
Test(team_limits, refused_operation,
     .description = "An operation that is refused without having run returns its token")
{
    LimitFixture fleet;
    TeamBudget budget;
    fleet.exchange(budget, "p", 1);
    const auto token = budget.take(Blue, fleet.now);
    cr_assert(token && !budget.take(Blue, fleet.now));
    budget.settle(Blue, *token, false, fleet.now);
    cr_assert(budget.take(Blue, fleet.now) == token);
}

// Guards against a new leader that grants what its predecessor has granted.
Test(team_limits, new_leader,
     .description =
         "A new leader counts the most that an unreported pooler may hold, for as long as "
         "tokens live")
{
    LimitFixture fleet;
    TeamBudget silent;
    cr_assert_eq(tokensIn(fleet.exchange(silent, "silent", 20)), 20);
    fleet.allocator.beginLeadership();
    fleet.allocator.start({{InstanceId("silent"), 1}, {InstanceId("p"), 1}}, fleet.now);
    fleet.allocator.setLimits({{Blue, {10, 10}}}, fleet.now);
    TeamBudget budget;
    fleet.now += milliseconds(2900);
    const TokenAnswer early = fleet.exchange(budget, "p", 30);
    cr_assert_eq(tokensIn(early), 0);
    cr_assert(early.grants.empty(), "an unsettled leader does not refuse operations");
    fleet.now += milliseconds(1500);
    cr_assert_gt(tokensIn(fleet.exchange(budget, "p", 30)), 5);
}

// Guards against a new leader that grants nothing until the last pooler has reported, and against
// one that grants more than the unreported pooler leaves.
Test(team_limits, reported_use,
     .description = "A new leader grants what first reports prove to have been spent")
{
    LimitFixture fleet;
    fleet.allocator.beginLeadership();
    fleet.allocator.start({{InstanceId("silent"), 1}, {InstanceId("p"), 1}}, fleet.now);
    fleet.allocator.setLimits({{Blue, {10, 10}}}, fleet.now);
    TokenReport report;
    report.sequence = 1;
    report.teams = {{Blue, 20, 0, 0, 0, 20}};
    const ProxyRun run{InstanceId("p"), 1};
    cr_assert_eq(tokensIn(fleet.allocator.answer(run, report, fleet.now)), 0);
    std::uint32_t granted = 0;
    for (report.sequence = 2; report.sequence < 10; ++report.sequence) {
        fleet.now += milliseconds(350);
        // Reports after the first prove nothing further.
        report.teams = {{Blue, 20, granted, 30, 0, 20}};
        granted += tokensIn(fleet.allocator.answer(run, report, fleet.now));
        cr_assert_leq(granted, 3.5 * static_cast<double>(report.sequence - 1));
    }
    cr_assert_eq(granted, 20);
}

// Guards against operations that prove room at two leaders.
Test(team_limits, uncounted_use,
     .description = "A whole report tells what was spent since a leader may have counted a report")
{
    LimitFixture fleet;
    TeamBudget budget;
    fleet.exchange(budget, "p", 20);
    const auto spend = [&fleet, &budget](int count) {
        for (int operation = 0; operation < count; ++operation)
            budget.settle(Blue, *budget.take(Blue, fleet.now), true, fleet.now);
    };
    spend(3);
    budget.disconnected();
    cr_assert_eq(fleet.reportOf(budget, 0).teams.at(0).spentUncounted, 3);
    spend(2);
    budget.refused();
    cr_assert_eq(fleet.reportOf(budget, 0).teams.at(0).spentUncounted, 5);
    budget.disconnected();
    spend(1);
    const TeamTokenUse use = fleet.reportOf(budget, 0).teams.at(0);
    cr_assert_eq(use.spentUncounted, 1);
    cr_assert_eq(use.held, 14);
    budget.refused();
    fleet.now += milliseconds(3000);
    const TeamTokenUse ended = fleet.reportOf(budget, 1).teams.at(0);
    cr_assert_eq(ended.spentUncounted, 0, "ended tokens were not counted at the former leader");
}

// Guards against a small team whose tokens end unused at poolers.
Test(team_limits, idle_tokens,
     .description = "Idle tokens that end soon return to the bucket, and new ones are asked for")
{
    LimitFixture fleet;
    TeamBudget budget;
    fleet.exchange(budget, "p", 2);
    budget.arrived(Blue);
    fleet.exchange(budget, "p", 0);
    fleet.now += milliseconds(2500);
    const TokenReport report = fleet.reportOf(budget, 0);
    cr_assert_eq(report.teams.at(0).held, 0);
    cr_assert_eq(report.teams.at(0).spent, 0);
    cr_assert_eq(report.teams.at(0).wanted, 1);
    cr_assert_eq(budget.held(Blue, fleet.now), 0);
    budget.answered(fleet.allocator.answer({InstanceId("p"), 1}, report, fleet.now), fleet.now);
    cr_assert_eq(fleet.allocator.status().at(Blue).atPoolers, 1);
    cr_assert_eq(budget.held(Blue, fleet.now + milliseconds(2900)), 1);
    budget.disconnected();
    fleet.now += milliseconds(2500);
    cr_assert_eq(fleet.reportOf(budget, 0).teams.at(0).held, 1, "a new leader cannot return them");
}

// Guards against tokens of a lost pooler that count twice.
Test(team_limits, lost_pooler,
     .description = "Tokens of a lost pooler count as spent, and their room is refilled only after "
                    "they ended")
{
    LimitFixture fleet;
    TeamBudget lost;
    TeamBudget budget;
    cr_assert_eq(tokensIn(fleet.exchange(lost, "lost", 30)), 30);
    const double atGrant = fleet.bucket();
    fleet.now += milliseconds(2990);
    fleet.allocator.advance(fleet.now);
    const auto status = fleet.allocator.status().at(Blue);
    cr_assert_lt(status.bucket + static_cast<double>(status.atPoolers), status.capacity + 0.001);
    cr_assert_eq(status.atPoolers, 30);
    fleet.now += milliseconds(300);
    fleet.allocator.advance(fleet.now);
    cr_assert_eq(fleet.allocator.status().at(Blue).atPoolers, 0);
    cr_assert_lt(fleet.bucket(), atGrant + 30);
}

// Guards against refused operations of a team below its limit, and of a team at its limit that
// wait.
Test(team_limits, exhausted,
     .description = "Operations of a team at its limit are refused for a short while")
{
    LimitFixture fleet;
    TeamBudget budget;
    TeamBudget other;
    fleet.exchange(other, "other", 1000);
    const TokenAnswer answer = fleet.exchange(budget, "p", 1000);
    cr_assert(answer.grants.at(0).exhausted);
    cr_assert(budget.shortage(Blue, fleet.now) == TokenShortage::Exhausted);
    cr_assert(budget.shortage(Blue, fleet.now + milliseconds(200)) == TokenShortage::Awaited);
    cr_assert(budget.shortage(Blue, fleet.now + milliseconds(1600))
              == TokenShortage::WithoutLeader);
}

// Guards against tokens that a malformed report makes count for ever, or not at all.
Test(team_limits, team_listed_twice,
     .description = "The second entry of a team in a report is ignored")
{
    LimitFixture fleet;
    TokenReport report;
    report.sequence = 1;
    report.teams = {{Blue, 0, 2, 3, 0}, {Blue, 0, 2, 3, 0}};
    const TokenAnswer answer = fleet.allocator.answer({InstanceId("p"), 1}, report, fleet.now);
    cr_assert_eq(answer.grants.size(), 1);
    cr_assert_eq(fleet.allocator.status().at(Blue).atPoolers, 5);
}

// Guards against a leader that takes the changes of a pooler as the whole.
Test(team_limits, whole_report,
     .description = "A leader that does not know the pooler's former reports asks for a whole one")
{
    LimitFixture fleet;
    TeamBudget budget;
    fleet.exchange(budget, "p", 3);
    fleet.allocator.beginLeadership();
    fleet.allocator.start({{InstanceId("p"), 1}}, fleet.now);
    fleet.allocator.setLimits({{Blue, {10, 10}}}, fleet.now);
    cr_assert(fleet.exchange(budget, "p", 1).needsWholeReport);
    fleet.exchange(budget, "p", 0);
    cr_assert_eq(fleet.allocator.status().at(Blue).atPoolers, 3);
}

// Guards against operations that run before they are paid for, and against statements of a
// transaction that pay again.
Test(team_limits, one_token_for_an_operation,
     .description = "A statement outside a transaction or a whole transaction costs one token")
{
    LimitedPooler fixture;
    const SessionNumber session = fixture.open("latest", keyOf(1));
    fixture.submit(session, Kind::Begin, "b");
    fixture.submit(session, Kind::Write, "w1");
    fixture.serve();
    cr_assert(fixture.statements().empty());
    cr_assert_eq(fixture.grant(Blue, 2), 1);
    fixture.serve();
    fixture.submit(session, Kind::Write, "w2");
    fixture.serve();
    fixture.submit(session, Kind::Commit, "c");
    fixture.serve();
    cr_assert_eq(fixture.statements().size(), 3);
    fixture.submit(session, Kind::Write, "alone");
    fixture.serve();
    cr_assert_eq(fixture.statements().size(), 4);
    fixture.submit(session, Kind::Read, "third");
    fixture.serve();
    cr_assert_eq(fixture.statements().size(), 4);
    cr_assert_gt(fixture.tokenRequests, 0);
}

// Guards against operations over the limit that wait.
Test(team_limits, over_the_limit,
     .description =
         "An operation of a team at its limit is refused at once, of another team it is not")
{
    LimitedPooler fixture;
    const SessionNumber session = fixture.open("latest", keyOf(1));
    fixture.submit(session, Kind::Read, "r1");
    fixture.grant(Blue, 0, true);
    cr_assert_eq(fixture.lastAnswer(session).fault, StatementFault::TooMany);
    fixture.submit(session, Kind::Begin, "b");
    fixture.submit(session, Kind::Write, "w");
    cr_assert_eq(fixture.lastAnswer(session).fault, StatementFault::TooMany);
    cr_assert(fixture.lastAnswer(session).state == TransactionState::Failed);
    const SessionNumber other = fixture.open("latest", keyOf(2));
    fixture.submit(other, Kind::Read, "r2");
    fixture.grant(TeamId("other"), 1);
    fixture.serve();
    cr_assert(!fixture.lastAnswer(other).fault);
}

// Guards against an operation that waits for a leader until its timeout.
Test(team_limits, no_leader,
     .description =
         "Without an answer an operation is refused as busy after a third of its objective")
{
    LimitedPooler fixture;
    const SessionNumber session = fixture.open("latest", keyOf(1));
    fixture.submit(session, Kind::Read, "r");
    fixture.advance(milliseconds(130));
    cr_assert_eq(fixture.answerCount(session), 0);
    fixture.advance(milliseconds(10));
    cr_assert_eq(fixture.lastAnswer(session).fault, StatementFault::Busy);
    cr_assert(fixture.statements().empty());
}

// Guards against refusals during an election that an operation could outlast.
Test(team_limits, wait_for_new_leader,
     .description = "An operation whose work is known waits for as long as it can be in time")
{
    LimitedPooler fixture;
    const SessionNumber session = fixture.open("latest", keyOf(1));
    fixture.submit(session, Kind::Read, "r1");
    fixture.grant(Blue, 1);
    fixture.openConnections();
    fixture.serve();
    cr_assert_eq(fixture.answerCount(session), 1);
    fixture.submit(session, Kind::Read, "r2");
    fixture.advance(milliseconds(360));
    cr_assert_eq(fixture.answerCount(session), 1);
    fixture.advance(milliseconds(40));
    cr_assert_eq(fixture.lastAnswer(session).fault, StatementFault::Busy);
}

// Guards against a charge for what did not run, and a refund of what may have run.
Test(team_limits, refund,
     .description = "A refused operation returns its token, one that may have run does not")
{
    LimitedPooler fixture;
    fixture.submit(fixture.open("latest", keyOf(1)), Kind::Write, "w1");
    fixture.grant(Blue, 1);
    // Beyond the time limit of the route, until which a late answer is awaited, and the backoff of
    // targets whose connections did not open.
    fixture.advance(milliseconds(1400));
    cr_assert_eq(fixture.answers.rbegin()->second.back().fault, StatementFault::Busy);
    const SessionNumber session = fixture.open("latest", keyOf(1));
    fixture.submit(session, Kind::Write, "w2");
    fixture.openConnections();
    cr_assert_eq(fixture.statements().size(), 1);
    fixture.closeConnection(fixture.statements().back().connection);
    cr_assert_eq(fixture.lastAnswer(session).fault, StatementFault::InDoubt);
    fixture.submit(session, Kind::Write, "w3");
    fixture.serve();
    cr_assert_eq(fixture.statements().size(), 1);
}

// Guards against operations of a team that another one has paid for.
Test(team_limits, moved_key,
     .description = "An operation whose key moves while it waits is paid for by the new team")
{
    LimitedPooler fixture;
    const SessionNumber session = fixture.open("latest", keyOf(1));
    fixture.submit(session, Kind::Read, "r");
    fixture.setTeams(3, 1);
    fixture.grant(Blue, 1);
    fixture.serve();
    cr_assert(fixture.statements().empty());
    fixture.grant(TeamId("other"), 1);
    fixture.serve();
    cr_assert_eq(fixture.statements().size(), 1);
}

// Guards against a lost leader that poolers keep waiting for, and against a fleet that leaves a
// leader which is only slow.
Test(team_limits, silent_leader,
     .description = "A leader that leaves a report unanswered for several usual times is silent")
{
    LeaderMonitor monitor;
    TimePoint now;
    cr_assert(monitor.silentAt() == TimePoint::max(), "no report was sent");
    for (int answer = 0; answer < 50; ++answer) {
        monitor.reportSent(30, 0.5, now);
        now += milliseconds(60);
        monitor.heard("leader", now);
        cr_assert(monitor.silentAt() == TimePoint::max());
    }
    monitor.reportSent(30, 0, now);
    const TimePoint alarm = monitor.silentAt();
    cr_assert_gt(alarm - now, milliseconds(400));
    cr_assert_lt(alarm - now, milliseconds(500));
    monitor.reportSent(30, 0, now + milliseconds(200));
    cr_assert(monitor.silentAt() == alarm, "a further report postponed the alarm");
    cr_assert(!monitor.isSilent("leader", alarm - milliseconds(1)));
    cr_assert(monitor.isSilent("leader", alarm));
    monitor.reportsEnded();
    cr_assert(monitor.silentAt() == TimePoint::max());
}

// Guards against a crowd of poolers that leaves a stalled leader at once, and again and again.
Test(team_limits, false_alarm,
     .description = "Alarms spread with the number of poolers, and are later after false ones")
{
    TimePoint now;
    Duration limit{0};
    LeaderMonitor monitor;
    for (int alarm = 0; alarm < 5; ++alarm) {
        monitor.reportSent(300, 0, now);
        const auto next = std::chrono::duration_cast<Duration>(monitor.silentAt() - now);
        cr_assert(next >= std::min<Duration>(limit * 2, milliseconds(1200)));
        cr_assert(next <= milliseconds(1200));
        limit = next;
        now = monitor.silentAt();
        cr_assert(monitor.isSilent("leader", now));
        monitor.reportsEnded();
        monitor.heard("leader", now);
    }
    LeaderMonitor first;
    LeaderMonitor last;
    first.reportSent(300, 0, now);
    last.reportSent(300, 1, now);
    cr_assert(last.silentAt() - first.silentAt() == milliseconds(150));
}

// Guards against a resumed pooler that leaves a leader whose answer it has not read yet.
Test(team_limits, delayed_alarm,
     .description = "An alarm that this process has delayed is repeated after a while")
{
    LeaderMonitor monitor;
    monitor.reportSent(30, 0, TimePoint());
    const TimePoint resumed = TimePoint() + milliseconds(5000);
    cr_assert(!monitor.isSilent("leader", resumed));
    cr_assert(monitor.silentAt() > resumed);
    cr_assert(monitor.isSilent("leader", monitor.silentAt()));
}

// Guards against costs for deployments without limits.
Test(team_limits, without_limits,
     .description = "Without limited teams nothing is reported, and operations need no token")
{
    LimitedPooler fixture;
    fixture.pooler.routesReceived(PoolerFixture::routes(3), fixture.now);
    cr_assert(!fixture.pooler.tokenReport(fixture.now));
    const SessionNumber session = fixture.open("latest");
    fixture.submit(session, Kind::Read, "r");
    fixture.serve();
    cr_assert(!fixture.lastAnswer(session).fault);
    cr_assert_eq(fixture.tokenRequests, 0);
}

// Guards against tokens for runs that the leader does not count.
Test(team_limits, controller,
     .description = "The leader grants tokens to registered runs only, and decodes a document once")
{
    FleetFixture fleet;
    fleet.teamLimits[Blue] = {10, 10};
    fleet.waitForGracePeriod();
    fleet.configure(1, "document");
    fleet.startGroup();
    fleet.renew("p1", fleet.revision());
    fleet.advance(milliseconds(5000));
    fleet.renew("p1", fleet.revision());
    const auto ask = [&fleet](const char *name, std::uint64_t incarnation) {
        TokenRequest request{InstanceId(name), incarnation, {}};
        request.report.sequence = ++fleet.sequence;
        request.report.teams = {{Blue, 0, 0, 3, 0}};
        fleet.sent.clear();
        fleet.controller.tokensRequested(fleet.connectionOf(name), request, fleet.now);
        const auto *answer =
            fleet.sent.empty() ? nullptr : std::get_if<TokenAnswer>(&fleet.sent.back().second);
        return answer == nullptr ? 0 : tokensIn(*answer);
    };
    cr_assert_eq(ask("p1", 1), 3);
    cr_assert_eq(ask("p1", 2), 0);
    cr_assert_eq(ask("unknown", 1), 0);
    cr_assert_leq(fleet.limitsDecoded, 2);
    fleet.hasLease = false;
    ask("p1", 1);
    cr_assert(std::holds_alternative<FleetRedirect>(fleet.sent.back().second));
}

// Guards against an upgrade during which instances do not understand each other.
Test(team_limits, optional_fields,
     .description = "Renewals and leases without tokens are encoded as before, others keep them")
{
    RenewLease renewal;
    cr_assert_eq(encode(renewal, Encoding::Json).find("tokens"), std::string::npos);
    cr_assert(!std::get<RenewLease>(*decode(encode(renewal))).tokens);
    renewal.tokens = TokenReport{7, 3, {{Blue, 5, 4, 3, 2}}};
    const auto report = std::get<RenewLease>(*decode(encode(renewal))).tokens;
    cr_assert(report && report->epoch == 3 && report->teams.at(0).waiting == 3);
    cr_assert(encode(renewal, Encoding::Json).find("[\"team\",5,4,3,2]") != std::string::npos);
    renewal.tokens->teams[0].spentUncounted = 1;
    const auto whole = std::get<RenewLease>(*decode(encode(renewal))).tokens;
    cr_assert_eq(whole->teams.at(0).spentUncounted, 1);
    FleetLease lease;
    cr_assert_eq(encode(lease, Encoding::Json).find("tokens"), std::string::npos);
    lease.tokens = TokenAnswer{7, 3, false, milliseconds(3000), {{Blue, 2, true}}};
    const auto answer = std::get<FleetLease>(*decode(encode(lease))).tokens;
    cr_assert(answer && answer->lifetime == milliseconds(3000) && answer->grants.at(0).exhausted);
}
