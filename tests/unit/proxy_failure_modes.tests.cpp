// Regression tests for failure modes of database proxies. Scenarios (failure_NN) and documentation
// refer to a failure mode by the same number as the test descriptions.
#include "fakes/proxy_fixture.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;
using std::chrono::milliseconds;

namespace {

// A caller with one session on one proxy that records every answer.
class TestCaller
{
public:
    TestCaller(ProxyFixture &givenFixture, std::string givenProxy, CallerConnectionId connection,
               SessionId resumed = {})
        : fixture(givenFixture)
        , proxy(std::move(givenProxy))
        , id(connection)
        , session(resumed)
    {
        const auto previous = this->fixture.answered;
        this->fixture.answered = [this, previous](CallerConnectionId to, const CallerReply &reply) {
            if (to != this->id) {
                if (previous)
                    previous(to, reply);
                return;
            }
            this->receive(reply);
        };
        this->fixture.callerOpened(this->proxy, this->id, CallerId("c"), resumed);
        this->fixture.time.runFor(milliseconds(1));
    }

    std::uint64_t send(RequestKind kind, const std::function<void(CallerRequest &)> &adjust = {})
    {
        CallerRequest request;
        request.session = this->session;
        request.requestId = ++this->lastRequest;
        request.kind = kind;
        request.group = GroupId("g");
        request.transaction = kind == RequestKind::Begin ? 0 : this->transaction;
        request.key = "k";
        request.value = "7";
        request.timeLeft = milliseconds(400);
        request.token = this->token;
        if (adjust)
            adjust(request);
        if (kind == RequestKind::Begin)
            this->transaction = request.requestId;
        this->fixture.callerSends(this->proxy, this->id, request);
        return request.requestId;
    }

    // Sends a request, waits until its deadline has passed, and returns the answer.
    CallerAnswer ask(RequestKind kind, const std::function<void(CallerRequest &)> &adjust = {})
    {
        const std::uint64_t request = this->send(kind, adjust);
        this->fixture.time.runFor(milliseconds(410));
        return this->answer(request);
    }

    const CallerAnswer &answer(std::uint64_t request) const
    {
        cr_assert(this->answers.count(request) == 1, "request %d has %d answers",
                  static_cast<int>(request), static_cast<int>(this->answers.count(request)));
        return this->answers.find(request)->second;
    }

    ProxyFixture &fixture;
    std::string proxy;
    CallerConnectionId id;
    SessionId session;
    SessionToken token;
    std::uint64_t transaction = 0;
    std::uint64_t lastRequest = 0;
    std::multimap<std::uint64_t, CallerAnswer> answers;
    bool toldToMove = false;

private:
    void receive(const CallerReply &reply)
    {
        if (const auto *opened = std::get_if<SessionOpened>(&reply))
            this->session = opened->session;
        this->toldToMove = this->toldToMove || std::holds_alternative<MoveSession>(reply);
        if (const auto *answer = std::get_if<CallerAnswer>(&reply)) {
            this->answers.emplace(answer->requestId, *answer);
            for (const auto &[group, position] : answer->token.seen)
                this->token.observe(group, position);
        }
    }
};

std::size_t countRuns(const ProxyFixture &fixture, const TestCaller &caller, std::uint64_t request)
{
    std::size_t runs = 0;
    const auto &log = fixture.databases.at(fixture.group.primary)->log;
    for (const DatabaseEntry &entry : log) {
        for (const RequestKey &key : entry.requests)
            runs += !entry.seals && key == RequestKey{caller.session, request} ? 1 : 0;
    }
    return runs;
}

void cutReplication(ProxyFixture &fixture)
{
    fixture.cuts.insert({"d1", "d2"});
    fixture.cuts.insert({"d1", "d3"});
}

} // namespace

Test(proxy_failure_modes, proxy_lost_during_commit,
     .description =
         "failure mode 1: a commit runs once, and its outcome can be queried through another "
         "proxy after its own proxy failed")
{
    ProxyFixture fixture(1);
    TestCaller caller(fixture, "p3", 1);
    cr_assert(caller.ask(RequestKind::Begin).outcome == Outcome::Ok);
    cr_assert(caller.ask(RequestKind::Write).outcome == Outcome::Ok);
    const std::uint64_t commit = caller.send(RequestKind::Commit);
    fixture.time.runFor(milliseconds(2));
    fixture.freeze("p3");
    fixture.breakHop("p3", "p1");
    fixture.breakHop("p3", "p2");
    fixture.time.runFor(milliseconds(100));
    TestCaller elsewhere(fixture, "p2", 2, caller.session);
    elsewhere.lastRequest = 100;
    const auto asked = elsewhere.ask(
        RequestKind::AskOutcome, [&](CallerRequest &request) { request.askedRequestId = commit; });
    cr_assert(asked.outcome == Outcome::Ok);
    cr_assert(countRuns(fixture, caller, commit) == 1);
}

Test(proxy_failure_modes, unreplicated_write,
     .description = "failure mode 3: a write held only by a crashed primary is never answered Ok")
{
    ProxyFixture fixture(2);
    cutReplication(fixture);
    TestCaller caller(fixture, "p3", 1);
    const std::uint64_t first = caller.send(RequestKind::Write);
    fixture.time.runFor(milliseconds(20));
    cr_assert(fixture.primary().log.size() == 2 && caller.answers.empty());
    fixture.kill(TargetId("d1"));
    fixture.time.runFor(milliseconds(50));
    fixture.failOver(milliseconds(5));
    fixture.time.runFor(milliseconds(300));
    cr_assert(caller.answer(first).outcome == Outcome::NotRun);
    cr_assert(caller.answer(first).reason == Reason::Sealed);
    const std::uint64_t second = caller.lastRequest + 1;
    cr_assert(caller.ask(RequestKind::Write).outcome == Outcome::Ok);
    cr_assert(countRuns(fixture, caller, first) == 0 && countRuns(fixture, caller, second) == 1);
}

Test(proxy_failure_modes, former_primary,
     .description = "failure mode 2: no request is answered Ok by way of a former primary")
{
    ProxyFixture fixture(3);
    cutReplication(fixture);
    fixture.proxy("p1").cutFromControl = true;
    for (const char *other : {"d2", "d3", "p2", "p3"})
        fixture.cuts.insert({"p1", other});
    TestCaller caller(fixture, "p1", 1);
    fixture.failOver(milliseconds(5));
    const CallerAnswer write = caller.ask(RequestKind::Write);
    cr_assert(write.outcome == Outcome::OutcomeUnknown);
    const CallerAnswer latest = caller.ask(RequestKind::Read, [](CallerRequest &request) {
        request.consistency = Consistency::Latest;
    });
    cr_assert(latest.outcome != Outcome::Ok);
}

Test(
    proxy_failure_modes, read_index_without_majority,
    .description = "failure mode 2: an answer from one replica of an old term proves no read index")
{
    ProxyFixture fixture(15);
    for (const char *other : {"d1", "d2", "p2", "p3"})
        fixture.cuts.insert({"p1", other});
    fixture.cuts.insert({"d3", "d1"});
    fixture.cuts.insert({"d3", "d2"});
    fixture.proxy("p1").cutFromControl = true;
    fixture.group.term = 2;
    fixture.group.primary = TargetId("d2");
    fixture.database("d1").fence(2);
    fixture.database("d2").promote(2);
    fixture.publish();
    fixture.time.runFor(milliseconds(100));
    TestCaller writer(fixture, "p3", 1);
    TestCaller reader(fixture, "p1", 2);
    cr_assert(writer.ask(RequestKind::Write).outcome == Outcome::Ok);
    const CallerAnswer latest = reader.ask(RequestKind::Read, [](CallerRequest &request) {
        request.consistency = Consistency::Latest;
    });
    cr_assert(latest.outcome != Outcome::Ok);
}

Test(proxy_failure_modes, bounded_staleness,
     .description = "a bounded read is not served from a replica that is too far behind")
{
    FixtureSettings settings;
    settings.limits.applyLag = std::chrono::seconds(2);
    ProxyFixture fixture(16, settings);
    TestCaller writer(fixture, "p3", 1);
    TestCaller reader(fixture, "p3", 2);
    const auto bounded = [](Duration maxAge) {
        return [maxAge](CallerRequest &request) {
            request.consistency = Consistency::Bounded;
            request.maxAge = maxAge;
        };
    };
    fixture.time.runFor(milliseconds(2500));
    cr_assert(writer.ask(RequestKind::Write).outcome == Outcome::Ok);
    const CallerAnswer old = reader.ask(RequestKind::Read, bounded(std::chrono::seconds(3)));
    cr_assert(old.outcome == Outcome::Ok && old.servedByReplica);
    fixture.time.runFor(milliseconds(700));
    const CallerAnswer fresh = reader.ask(RequestKind::Read, bounded(milliseconds(600)));
    cr_assert(fresh.outcome == Outcome::Ok && fresh.value == "7");
}

Test(proxy_failure_modes, diverged_log,
     .description = "failure mode 4: a fenced replica with a diverged log serves no session read")
{
    ProxyFixture fixture(4);
    TestCaller writer(fixture, "p3", 1);
    cutReplication(fixture);
    for (int count = 0; count < 3; ++count)
        writer.send(RequestKind::Write, [](CallerRequest &request) { request.value = "666"; });
    fixture.time.runFor(milliseconds(20));
    fixture.failOver(milliseconds(5));
    fixture.database("d1").fence(2);
    fixture.time.runFor(milliseconds(500));
    TestCaller reader(fixture, "p3", 2);
    cr_assert(covers(fixture.database("d1").status().applied, {1, 1}));
    for (int count = 0; count < 8; ++count) {
        reader.token.observe(GroupId("g"), {1, 1});
        const CallerAnswer read = reader.ask(RequestKind::Read);
        cr_assert(read.outcome == Outcome::Ok && read.servedBy != TargetId("d1"));
        cr_assert(read.value != "666");
    }
}

Test(proxy_failure_modes, late_answer,
     .description = "failure mode 5: a late answer is not delivered to another request")
{
    ProxyFixture fixture(5);
    TestCaller caller(fixture, "p1", 1);
    for (auto &[name, database] : fixture.databases)
        database->extraService = milliseconds(500);
    const auto keyed = [](const char *key) {
        return [key](CallerRequest &request) {
            request.key = key;
        };
    };
    // Enough reads to occupy all slots of p1 on both replicas.
    std::vector<std::uint64_t> late;
    for (int count = 0; count < 4; ++count)
        late.push_back(caller.send(RequestKind::Read, keyed("late")));
    fixture.time.runFor(milliseconds(402));
    for (auto &[name, database] : fixture.databases)
        database->extraService = Duration{0};
    for (int count = 0; count < 4; ++count) {
        const CallerAnswer next = caller.ask(RequestKind::Read, keyed("next"));
        cr_assert(next.outcome == Outcome::Ok && next.key == "next");
    }
    for (const std::uint64_t request : late)
        cr_assert(caller.answer(request).outcome == Outcome::OutcomeUnknown);
    cr_assert(fixture.ruleViolations().empty(), "%s", fixture.ruleViolations().front().c_str());
}

Test(
    proxy_failure_modes, suspended_holder,
    .description = "failure mode 6: a holder that resumes after its grant ended sends no statement")
{
    ProxyFixture fixture(6);
    TestCaller caller(fixture, "p3", 1);
    fixture.freeze("p1");
    for (int count = 0; count < 40; ++count)
        caller.send(RequestKind::Write,
                    [](CallerRequest &request) { request.timeLeft = std::chrono::seconds(20); });
    fixture.time.runFor(std::chrono::seconds(2));
    fixture.group.holders = {fixture.holder("p2", 1), fixture.holder("p3", 2)};
    fixture.publish();
    fixture.time.runFor(milliseconds(200));
    std::uint64_t before = 0;
    for (const auto &[name, database] : fixture.databases)
        before += database->statementsBySender[InstanceId("p1")];
    fixture.thaw("p1");
    fixture.time.runFor(milliseconds(500));
    std::uint64_t after = 0;
    for (const auto &[name, database] : fixture.databases)
        after += database->statementsBySender[InstanceId("p1")];
    cr_assert(after == before, "%d statements sent after the grant ended",
              static_cast<int>(after - before));
    cr_assert(fixture.ruleViolations().empty());
}

Test(proxy_failure_modes, leaving_target,
     .description =
         "failure mode 11: a leaving target completes its transactions and gets no new requests")
{
    ProxyFixture fixture(7);
    TestCaller caller(fixture, "p1", 1);
    TestCaller reader(fixture, "p1", 2);
    TestCaller other(fixture, "p2", 3);
    cr_assert(caller.ask(RequestKind::Begin).outcome == Outcome::Ok);
    fixture.proxy("p2").cutFromControl = true;
    fixture.group.targets[0].leaving = true;
    fixture.group.targets[1].leaving = true;
    fixture.publish();
    fixture.time.runFor(std::chrono::seconds(3));
    cr_assert(caller.ask(RequestKind::Write).outcome == Outcome::Ok);
    cr_assert(caller.ask(RequestKind::Commit).outcome == Outcome::Ok);
    const auto writes = fixture.database("d1").statementsByKind;
    const auto reads = fixture.database("d2").statementsByKind;
    cr_assert(reader.ask(RequestKind::Write).outcome == Outcome::NotRun);
    cr_assert(reader.ask(RequestKind::Read).servedBy == TargetId("d3"));
    cr_assert(other.ask(RequestKind::Read).reason == Reason::NoCurrentView);
    cr_assert(fixture.database("d1").statementsByKind == writes);
    cr_assert(fixture.database("d2").statementsByKind == reads);
}

Test(proxy_failure_modes, transaction_on_another_proxy,
     .description = "failure mode 12: a transaction cannot continue on another proxy")
{
    ProxyFixture fixture(8);
    TestCaller caller(fixture, "p3", 1);
    cr_assert(caller.ask(RequestKind::Begin).outcome == Outcome::Ok);
    cr_assert(caller.ask(RequestKind::Write).outcome == Outcome::Ok);
    TestCaller moved(fixture, "p2", 2, caller.session);
    moved.lastRequest = 100;
    moved.transaction = caller.transaction;
    const CallerAnswer refused = moved.ask(RequestKind::Write);
    cr_assert(refused.outcome == Outcome::NotRun);
    cr_assert(refused.reason == Reason::TransactionElsewhere);
    const CallerAnswer commit = caller.ask(RequestKind::Commit);
    cr_assert(commit.outcome == Outcome::NotRun && commit.reason == Reason::TransactionEnded);
    cr_assert(fixture.proxy("p1").node->counters().openTransactions == 0);
    cr_assert(fixture.proxy("p2").node->counters().openTransactions == 0);
    cr_assert(fixture.primary().log.size() == 1);
}

Test(proxy_failure_modes, broken_proxy_connection,
     .description =
         "failure mode 13: a write is not sent again when the connection between proxies breaks")
{
    for (std::int64_t wait = 1; wait < 12; ++wait) {
        ProxyFixture fixture(9);
        TestCaller caller(fixture, "p3", 1);
        const std::uint64_t write = caller.send(RequestKind::Write);
        fixture.time.runFor(milliseconds(wait));
        fixture.breakHop("p3", "p1");
        fixture.breakHop("p3", "p2");
        fixture.time.runFor(milliseconds(500));
        const CallerAnswer &answer = caller.answer(write);
        const std::size_t runs = countRuns(fixture, caller, write);
        cr_assert(answer.outcome == (runs == 1 ? Outcome::Ok : Outcome::NotRun));
        cr_assert(runs == 1 || answer.reason == Reason::Sealed);
        cr_assert(fixture.database("d1").statementsByKind[StatementKind::Write] <= 1);
    }
}

Test(proxy_failure_modes, lagging_replicas,
     .description =
         "failure mode 14: a session read waits for lagging replicas, then uses the primary")
{
    FixtureSettings settings;
    settings.limits.applyLag = std::chrono::seconds(30);
    ProxyFixture fixture(10, settings);
    TestCaller caller(fixture, "p3", 1);
    cr_assert(caller.ask(RequestKind::Write).outcome == Outcome::Ok);
    const CallerAnswer read = caller.ask(RequestKind::Read);
    cr_assert(read.outcome == Outcome::Ok && read.value == "7" && !read.servedByReplica);
}

Test(proxy_failure_modes, draining,
     .description = "a draining proxy completes its open transactions and interrupts none")
{
    ProxyFixture fixture(11);
    TestCaller caller(fixture, "p1", 1);
    cr_assert(caller.ask(RequestKind::Begin).outcome == Outcome::Ok);
    fixture.with("p1", [&](ProxyNode &node) { node.drain(fixture.time.now()); });
    cr_assert(caller.toldToMove);
    cr_assert(!fixture.proxy("p1").node->isDrained());
    cr_assert(caller.ask(RequestKind::Write).outcome == Outcome::Ok);
    cr_assert(caller.ask(RequestKind::Commit).outcome == Outcome::Ok);
    caller.transaction = 0;
    const CallerAnswer refused = caller.ask(RequestKind::Read);
    cr_assert(refused.outcome == Outcome::NotRun && refused.reason == Reason::Draining);
    fixture.group.holders = {fixture.holder("p2", 1), fixture.holder("p3", 2)};
    fixture.publish();
    fixture.time.runFor(milliseconds(200));
    cr_assert(fixture.proxy("p1").node->isDrained());
}

Test(proxy_failure_modes, duplicate_in_flight,
     .description = "a duplicate of a request in flight is answered once, on the new connection")
{
    ProxyFixture fixture(12);
    TestCaller caller(fixture, "p3", 1);
    const std::uint64_t write = caller.send(RequestKind::Write);
    TestCaller again(fixture, "p3", 2, caller.session);
    again.send(RequestKind::Write);
    fixture.time.runFor(milliseconds(400));
    cr_assert(caller.answers.empty());
    cr_assert(again.answer(write).outcome == Outcome::Ok);
    cr_assert(countRuns(fixture, caller, write) == 1);
}

Test(proxy_failure_modes, observed_states,
     .description = "a crashed target is reported broken at once, a silent one within 700 ms")
{
    ProxyFixture fixture(13);
    const auto stateOf = [&](const std::string &target) {
        for (const TargetObservation &seen : fixture.proxy("p1").node->observations()) {
            if (seen.target.value == target)
                return seen.state;
        }
        return ObservedState::Alive;
    };
    fixture.resetLink("p1");
    fixture.time.runFor(milliseconds(600));
    for (const char *target : {"d1", "d2", "d3"})
        cr_assert(stateOf(target) == ObservedState::Alive);
    fixture.kill(TargetId("d1"));
    fixture.time.runFor(milliseconds(5));
    cr_assert(stateOf("d1") == ObservedState::Broken);
    fixture.cuts.insert({"p1", "d2"});
    fixture.time.runFor(milliseconds(700));
    cr_assert(stateOf("d2") == ObservedState::Silent);
    cr_assert(stateOf("d3") == ObservedState::Alive);
    // A proxy that was suspended itself does not report targets as silent.
    fixture.freeze("p2");
    fixture.time.runFor(milliseconds(900));
    fixture.thaw("p2");
    for (const TargetObservation &seen : fixture.proxy("p2").node->observations())
        cr_assert(seen.target.value == "d1" || seen.state == ObservedState::Alive);
}

Test(proxy_failure_modes, idle_transaction,
     .description = "an idle transaction is ended and its slot is released")
{
    ProxyFixture fixture(14);
    TestCaller caller(fixture, "p1", 1);
    cr_assert(caller.ask(RequestKind::Begin).outcome == Outcome::Ok);
    fixture.time.runFor(milliseconds(5100));
    cr_assert(fixture.primary().running() == 0);
    cr_assert(caller.ask(RequestKind::Write).reason == Reason::TransactionEnded);
}
