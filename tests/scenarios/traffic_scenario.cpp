// See traffic_scenario.hpp.
#include "scenarios/traffic_scenario.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbweir::testing {

namespace {

constexpr std::chrono::milliseconds DefaultTimeLeft{400};

absl::Status failure(const std::string &message)
{
    return absl::FailedPreconditionError(message);
}

// A verb that always succeeds.
Verb infallible(std::function<void(const Step &)> action)
{
    return [action = std::move(action)](const Step &step) {
        action(step);
        return absl::OkStatus();
    };
}

} // namespace

absl::Status TrafficScenario::run(const std::string &file)
{
    const absl::Status ready = this->setUp(Step());
    if (!ready.ok())
        return ready;
    return runScenarioFile(
        file, [this](Duration at) { this->fixture->time.runUntil(this->start + at); },
        this->verbs());
}

Verbs TrafficScenario::verbs()
{
    Verbs verbs;
    verbs["fixture"] = [this](const Step &step) {
        return this->setUp(step);
    };
    verbs["open"] = [this](const Step &step) {
        return this->open(step);
    };
    for (const RequestKind kind :
         {RequestKind::Read, RequestKind::Write, RequestKind::Begin, RequestKind::Commit,
          RequestKind::Rollback, RequestKind::AskOutcome}) {
        verbs[std::string(nameOf(kind))] = [this, kind](const Step &step) {
            return this->send(step, kind);
        };
    }
    verbs["cut"] = infallible([this](const Step &step) {
        for (std::size_t index = 1; index < step.words.size(); ++index)
            this->fixture->cuts.insert({step.word(0), step.word(index)});
    });
    verbs["heal"] = infallible([this](const Step &) { this->fixture->cuts.clear(); });
    verbs["cut_control"] = infallible(
        [this](const Step &step) { this->fixture->proxy(step.word(0)).cutFromControl = true; });
    verbs["kill"] =
        infallible([this](const Step &step) { this->fixture->kill(TargetId(step.word(0))); });
    verbs["revive"] =
        infallible([this](const Step &step) { this->fixture->revive(TargetId(step.word(0))); });
    verbs["freeze"] = infallible([this](const Step &step) { this->fixture->freeze(step.word(0)); });
    verbs["thaw"] = infallible([this](const Step &step) { this->fixture->thaw(step.word(0)); });
    verbs["fence"] = infallible([this](const Step &step) {
        this->fixture->database(step.word(0))
            .fence(static_cast<std::uint64_t>(step.number("term", 0)));
    });
    verbs["fail_over"] = infallible([this](const Step &step) {
        this->fixture->failOver(step.duration("publish_after", std::chrono::milliseconds(5)));
    });
    verbs["break_hop"] = infallible(
        [this](const Step &step) { this->fixture->breakHop(step.word(0), step.word(1)); });
    verbs["delay_targets"] = infallible([this](const Step &step) {
        this->fixture->targetDelay = step.duration("by", Duration{0});
    });
    verbs["leave"] = infallible([this](const Step &step) {
        for (TargetView &target : this->fixture->group.targets) {
            if (std::count(step.words.begin(), step.words.end(), target.target.value) > 0)
                target.leaving = true;
        }
        this->fixture->publish();
    });
    verbs["drain"] = infallible([this](const Step &step) {
        this->fixture->with(step.word(0),
                            [this](ProxyNode &node) { node.drain(this->fixture->time.now()); });
    });
    verbs["holders"] = [this](const Step &step) {
        return this->setHolders(step);
    };
    verbs["record_statements"] = infallible([this](const Step &step) {
        this->recordedStatements[step.word(0)] = this->countStatements(step.word(0));
    });
    verbs["expect"] = [this](const Step &step) {
        return this->expect(step);
    };
    return verbs;
}

absl::Status TrafficScenario::setUp(const Step &step)
{
    fakes::FixtureSettings settings;
    settings.limits.applyLag = step.duration("apply_lag", Duration{0});
    const Duration silentAfter = step.duration("silent_after", std::chrono::milliseconds(500));
    settings.adjust = [silentAfter](ProxySettings &proxy) {
        proxy.silentAfter = silentAfter;
    };
    this->fixture = std::make_unique<fakes::ProxyFixture>(
        static_cast<std::uint64_t>(step.number("seed", 1)), settings);
    this->fixture->answered = [this](CallerConnectionId connection, const CallerReply &reply) {
        this->recordReply(connection, reply);
    };
    this->start = this->fixture->time.now();
    return absl::OkStatus();
}

absl::Status TrafficScenario::open(const Step &step)
{
    Session &session = this->sessions[step.word(0)];
    session.connection = ++this->lastConnection;
    session.proxy = step.value("via", "p1");
    const auto resumed = this->sessions.find(step.value("resume"));
    if (resumed != this->sessions.end()) {
        session.id = resumed->second.id;
        session.token = resumed->second.token;
    }
    this->fixture->callerOpened(session.proxy, session.connection, CallerId(step.word(0)),
                                session.id);
    this->fixture->time.runFor(std::chrono::milliseconds(1));
    this->start = std::max(this->start, this->fixture->time.now() - step.at);
    return absl::OkStatus();
}

absl::Status TrafficScenario::send(const Step &step, RequestKind kind)
{
    const auto session = this->sessions.find(step.value("by"));
    if (session == this->sessions.end())
        return absl::InvalidArgumentError("unknown session");
    const auto consistency = enumFromName<Consistency>(step.value("consistency", "session"));
    if (!consistency)
        return absl::InvalidArgumentError("unknown consistency");
    for (std::int64_t copy = 0; copy < step.number("times", 1); ++copy) {
        CallerRequest request;
        request.session = session->second.id;
        request.requestId = ++this->lastRequest;
        request.kind = kind;
        request.group = GroupId("g");
        request.key = step.value("key", "k");
        request.value = step.value("value", "7");
        request.consistency = *consistency;
        request.maxAge = step.duration("max_age", std::chrono::seconds(3));
        request.timeLeft = step.duration("time_left", DefaultTimeLeft);
        request.token = session->second.token;
        const auto transaction = this->requests.find(step.value("in"));
        if (transaction != this->requests.end())
            request.transaction = transaction->second.key.request;
        const auto asked = this->requests.find(step.value("about"));
        if (asked != this->requests.end())
            request.askedRequestId = asked->second.key.request;
        const std::string name = copy == 0 ? step.word(0) : absl::StrCat(step.word(0), "-", copy);
        this->requests[name] = Request{session->first, keyOf(request), {}};
        this->fixture->callerSends(session->second.proxy, session->second.connection, request);
    }
    return absl::OkStatus();
}

absl::Status TrafficScenario::setHolders(const Step &step)
{
    this->fixture->group.holders.clear();
    for (const auto &[proxy, text] : step.options) {
        std::uint32_t slots = 0;
        if (!absl::SimpleAtoi(text, &slots))
            return absl::InvalidArgumentError(absl::StrCat("invalid number of slots: ", text));
        this->fixture->group.holders.push_back(this->fixture->holder(proxy, slots));
    }
    this->fixture->publish();
    return absl::OkStatus();
}

absl::Status TrafficScenario::expect(const Step &step)
{
    const std::string expectation = step.word(0);
    if (expectation == "answer")
        return this->expectAnswer(step);
    if (expectation == "runs")
        return this->expectRuns(step);
    if (expectation == "statements")
        return this->expectStatements(step);
    if (expectation == "told_to_move")
        return this->sessions[step.word(1)].toldToMove
                   ? absl::OkStatus()
                   : failure("the session was not told to move");
    if (expectation == "drained")
        return this->fixture->proxy(step.word(1)).node->isDrained()
                   ? absl::OkStatus()
                   : failure("the proxy is not drained");
    if (expectation == "within_limits") {
        const auto ruleViolations = this->fixture->ruleViolations();
        return ruleViolations.empty() ? absl::OkStatus() : failure(ruleViolations.front());
    }
    return absl::InvalidArgumentError(absl::StrCat("unknown expectation ", expectation));
}

absl::Status TrafficScenario::expectAnswer(const Step &step) const
{
    const auto found = this->requests.find(step.word(1));
    if (found == this->requests.end())
        return absl::InvalidArgumentError("unknown request");
    const auto &answers = found->second.answers;
    if (step.word(2) == "none")
        return answers.empty() ? absl::OkStatus() : failure("the request was answered");
    if (answers.size() != 1)
        return failure(absl::StrCat(answers.size(), " answers instead of one"));
    const CallerAnswer &answer = answers.front();
    const std::map<std::string, std::string> actual = {
        {"reason", std::string(nameOf(answer.reason))},
        {"value", answer.value},
        {"key", answer.key},
        {"served_by", answer.servedBy.value},
        {"replica", answer.servedByReplica ? "yes" : "no"}};
    if (nameOf(answer.outcome) != step.word(2))
        return failure(absl::StrCat("the answer is ", std::string(nameOf(answer.outcome)), " ",
                                    actual.at("reason")));
    for (const auto &[name, expected] : step.options) {
        const bool isNegated = name.rfind("not_", 0) == 0;
        const auto field = actual.find(isNegated ? name.substr(4) : name);
        if (field == actual.end())
            return absl::InvalidArgumentError(absl::StrCat("unknown answer field ", name));
        if ((field->second == expected) == isNegated)
            return failure(absl::StrCat(name, " is ", field->second));
    }
    return absl::OkStatus();
}

absl::Status TrafficScenario::expectRuns(const Step &step) const
{
    const auto found = this->requests.find(step.word(1));
    if (found == this->requests.end())
        return absl::InvalidArgumentError("unknown request");
    const std::uint64_t runs = this->countRuns(found->second.key);
    return absl::StrCat(runs) == step.word(2)
               ? absl::OkStatus()
               : failure(absl::StrCat("the request ran ", runs, " times"));
}

absl::Status TrafficScenario::expectStatements(const Step &step) const
{
    const auto before = this->recordedStatements.find(step.word(1));
    if (before == this->recordedStatements.end())
        return absl::InvalidArgumentError("no statement count was recorded for this proxy");
    const std::uint64_t sent = this->countStatements(step.word(1)) - before->second;
    return sent == 0
               ? absl::OkStatus()
               : failure(absl::StrCat(sent, " statements were sent since the count was recorded"));
}

void TrafficScenario::recordReply(CallerConnectionId connection, const CallerReply &reply)
{
    for (auto &[name, session] : this->sessions) {
        if (session.connection != connection)
            continue;
        if (const auto *opened = std::get_if<SessionOpened>(&reply))
            session.id = opened->session;
        else if (std::holds_alternative<MoveSession>(reply))
            session.toldToMove = true;
        else if (const auto *answer = std::get_if<CallerAnswer>(&reply)) {
            for (const auto &[group, position] : answer->token.seen)
                session.token.observe(group, position);
            const RequestKey key{answer->session, answer->requestId};
            for (auto &[requestName, request] : this->requests) {
                if (request.key == key)
                    request.answers.push_back(*answer);
            }
        }
    }
}

std::uint64_t TrafficScenario::countStatements(const std::string &proxy) const
{
    std::uint64_t count = 0;
    for (const auto &[name, database] : this->fixture->databases) {
        const auto found = database->statementsBySender.find(InstanceId(proxy));
        count += found == database->statementsBySender.end() ? 0 : found->second;
    }
    return count;
}

std::uint64_t TrafficScenario::countRuns(const RequestKey &key) const
{
    std::uint64_t runs = 0;
    for (const fakes::DatabaseEntry &entry : this->fixture->primary().log) {
        const auto count = std::count(entry.requests.begin(), entry.requests.end(), key);
        runs += entry.seals ? 0 : static_cast<std::uint64_t>(count);
    }
    return runs;
}

} // namespace rhubarbweir::testing
