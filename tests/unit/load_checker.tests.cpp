// Tests that the load tool's checker detects each injected violation and reports no others.
#include "programs/load/checker.hpp"
#include "programs/load/measurements.hpp"
#include "programs/load/report.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace rhubarbweir;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const GroupId Group("windlog-1");
const SessionId Session("s1");
// Key 0 of a session is a counter, key 1 is a register.
const std::string Counter = "s1/windlog-1/0";
const std::string Register = "s1/windlog-1/1";

struct CheckedSession
{
    Checker checker;
    TimePoint now = TimePoint() + seconds(100);
    std::uint64_t requests = 0;

    CheckedSession() { this->checker.addKeys(Session, Group, 2); }

    // Performs a write of `key` that ends with `effect`; returns the request's key.
    RequestKey write(const std::string &key, WriteEffect effect = WriteEffect::Ran)
    {
        const RequestKey request{Session, ++this->requests};
        const PlannedWrite value = this->checker.beginWrite(key);
        this->checker.finishWrite(request, Group, {value}, effect, this->now);
        return request;
    }

    void read(const std::string &key, const std::string &value, Consistency consistency)
    {
        CallerRequest request;
        request.session = Session;
        request.requestId = ++this->requests;
        request.key = key;
        request.consistency = consistency;
        request.maxAge = seconds(3);
        const ReadExpectation expectation =
            this->checker.expectRead(key, consistency, request.maxAge, this->now);
        CallerAnswer answer = this->answerTo(request);
        answer.value = value;
        if (this->checker.checkAnswerMatches(request, answer))
            this->checker.checkRead(request, answer, expectation);
    }

    CallerAnswer answerTo(const CallerRequest &request) const
    {
        CallerAnswer answer;
        answer.session = request.session;
        answer.requestId = request.requestId;
        answer.outcome = Outcome::Ok;
        answer.key = request.key;
        return answer;
    }
};

nlohmann::json reportWith(const std::vector<std::pair<std::uint64_t, std::string>> &requests,
                          const std::string &role = "primary", std::uint64_t term = 1)
{
    nlohmann::json report{{"group", Group.value},
                          {"role", role},
                          {"term", term},
                          {"limit_exceeded", 0},
                          {"mixed_transactions", 0},
                          {"entries", nlohmann::json::array()}};
    for (const auto &[request, kind] : requests) {
        report["entries"].push_back(
            {{"kind", kind}, {"requests", {{{"session", Session.value}, {"request", request}}}}});
    }
    return report;
}

bool hasNoViolations(const Violations &found)
{
    return found.confirmedLost == 0 && found.doubled == 0 && found.readYourWrites == 0
           && found.crossed == 0 && found.limitExceeded == 0 && found.tooOld == 0
           && found.notRunButRan == 0 && found.mixedTransactions == 0;
}

} // namespace

Test(load_checker, clean_run, .description = "a run that keeps every guarantee has no violations")
{
    CheckedSession session;
    session.write(Counter);
    session.write(Register);
    session.write(Register, WriteEffect::None);
    session.read(Counter, "1", Consistency::Session);
    session.read(Register, Register + ":1", Consistency::Latest);
    session.read(Register, "", Consistency::Bounded);
    session.checker.checkFinalRead(Counter, "1");
    session.checker.checkFinalRead(Register, Register + ":1");
    cr_assert(session.checker.checkReports({reportWith({{1, "write"}, {2, "write"}})}).empty());
    cr_assert(hasNoViolations(session.checker.violations()));
}

Test(load_checker, lost_by_read, .description = "a confirmed write is missing from a final read")
{
    CheckedSession session;
    session.write(Counter);
    session.write(Counter);
    session.checker.checkFinalRead(Counter, "1");
    cr_assert(session.checker.violations().confirmedLost == 1);
    session.write(Register);
    session.checker.checkFinalRead(Register, "");
    cr_assert(session.checker.violations().confirmedLost == 2);
}

Test(load_checker, lost_by_log,
     .description = "a confirmed write is missing from the newest primary's log")
{
    CheckedSession session;
    session.write(Counter);
    session.write(Counter);
    const auto missing =
        session.checker.checkReports({reportWith({{1, "write"}, {2, "write"}}, "primary", 1),
                                      reportWith({{1, "write"}, {2, "sealed"}}, "primary", 2)});
    cr_assert(missing.empty());
    cr_assert(session.checker.violations().confirmedLost == 1);
}

Test(load_checker, doubled, .description = "a write ran twice, seen in a value and in the log")
{
    CheckedSession session;
    session.write(Counter);
    session.checker.checkFinalRead(Counter, "2");
    cr_assert(session.checker.violations().doubled == 1);
    CheckedSession logged;
    logged.write(Counter);
    logged.checker.checkReports({reportWith({{1, "write"}, {1, "write"}})});
    cr_assert(logged.checker.violations().doubled == 1);
    cr_assert(logged.checker.violations().confirmedLost == 0);
}

Test(load_checker, false_not_run, .description = "a write ran although it was answered NotRun")
{
    CheckedSession session;
    session.write(Counter, WriteEffect::None);
    session.checker.checkReports({reportWith({{1, "write"}})});
    cr_assert(session.checker.violations().notRunButRan == 1);
    cr_assert(session.checker.violations().doubled == 1);
    CheckedSession shown;
    shown.write(Register, WriteEffect::None);
    shown.checker.checkFinalRead(Register, Register + ":1");
    cr_assert(shown.checker.violations().doubled == 1);
}

Test(load_checker, crossed,
     .description = "an answer for another request, session or key, or a foreign value")
{
    CheckedSession session;
    CallerRequest request;
    request.session = Session;
    request.requestId = 7;
    request.key = Counter;
    const CallerAnswer own = session.answerTo(request);
    cr_assert(session.checker.checkAnswerMatches(request, own));
    CallerAnswer answer = own;
    answer.requestId = 8;
    cr_assert(!session.checker.checkAnswerMatches(request, answer));
    answer = own;
    answer.session = SessionId("s2");
    cr_assert(!session.checker.checkAnswerMatches(request, answer));
    answer = own;
    answer.key = Register;
    cr_assert(!session.checker.checkAnswerMatches(request, answer));
    session.read(Register, "s2/windlog-1/1:5", Consistency::Session);
    session.read(Counter, Register + ":1", Consistency::Session);
    cr_assert(session.checker.violations().crossed == 5);
}

Test(load_checker, stale, .description = "a read misses a confirmed write of its session")
{
    CheckedSession session;
    session.write(Register);
    session.write(Register);
    session.read(Register, Register + ":1", Consistency::Session);
    session.read(Register, Register + ":1", Consistency::Latest);
    session.read(Counter, "", Consistency::Latest);
    cr_assert(session.checker.violations().readYourWrites == 2);
}

Test(load_checker, too_old, .description = "a bounded read returns data older than its maximum age")
{
    CheckedSession session;
    session.write(Register);
    session.now += seconds(2);
    session.write(Register);
    session.now += seconds(1);
    session.read(Register, Register + ":1", Consistency::Bounded);
    cr_assert(session.checker.violations().tooOld == 0);
    session.read(Register, "", Consistency::Bounded);
    cr_assert(session.checker.violations().tooOld == 1);
    session.now += seconds(2);
    session.read(Register, Register + ":1", Consistency::Bounded);
    cr_assert(session.checker.violations().tooOld == 2);
}

Test(load_checker, unresolved, .description = "an unresolved write may have run once or not at all")
{
    for (const std::string value : {"1", "2"}) {
        CheckedSession session;
        session.write(Counter);
        session.write(Counter, WriteEffect::Unresolved);
        cr_assert(session.checker.isBusy(Counter));
        session.checker.checkFinalRead(Counter, value);
        cr_assert(hasNoViolations(session.checker.violations()));
    }
    CheckedSession session;
    session.write(Counter, WriteEffect::Unresolved);
    session.checker.checkFinalRead(Counter, "2");
    cr_assert(session.checker.violations().doubled == 1);
}

Test(load_checker, reports,
     .description = "exceeded limits and mixed transactions count on replicas too")
{
    CheckedSession session;
    session.write(Counter);
    nlohmann::json replica = reportWith({}, "replica");
    replica["limit_exceeded"] = 3;
    replica["mixed_transactions"] = 2;
    cr_assert(session.checker.checkReports({replica}).size() == 1, "no primary's log");
    cr_assert(session.checker.violations().limitExceeded == 3);
    cr_assert(session.checker.violations().mixedTransactions == 2);
}

Test(load_checker, write_gap, .description = "time in which no writes are sent is not a gap")
{
    const TimePoint start{};
    Measurements measurements(start);
    measurements.writeSent(Group, start + seconds(1));
    measurements.writeConfirmed(Group, start + seconds(1) + milliseconds(5));
    // No write is sent for nine seconds.
    measurements.writeSent(Group, start + seconds(10));
    measurements.writeSent(Group, start + seconds(11));
    measurements.writeConfirmed(Group, start + seconds(12));
    cr_assert(measurements.longestGap().length == seconds(2));
    cr_assert(measurements.longestGap().sinceLastConfirmed == milliseconds(10'995));
    cr_assert(measurements.gaps().size() == 1);
    measurements.writeSent(Group, start + seconds(20));
    measurements.finish(start + seconds(25));
    cr_assert(measurements.longestGap().length == seconds(5));
}

Test(load_checker, last_line, .description = "the last line has a fixed, machine-readable format")
{
    Measurements measurements{TimePoint{}};
    measurements.readServed(true);
    measurements.readServed(false);
    RunResult result;
    cr_assert(resultLine(measurements, result)
              == "reads_on_replicas=0.5000 failover_gap_ms=0 confirmed_lost=0 doubled=0 "
                 "ryw_violations=0 crossed=0 limit_exceeded=0");
    cr_assert(isClean(measurements, result));
    result.violations.silent = 1;
    cr_assert(!isClean(measurements, result));
}

Test(load_checker, quantiles, .description = "quantiles are accurate to the width of a bin")
{
    LatencyHistogram latency;
    for (int value = 1; value <= 1000; ++value)
        latency.add(milliseconds(value));
    cr_assert(latency.quantile(0.5) >= 500 && latency.quantile(0.5) < 515);
    cr_assert(latency.quantile(0.99) >= 990 && latency.quantile(0.99) <= 1000);
    cr_assert(latency.maxLatency() == 1000);
}
