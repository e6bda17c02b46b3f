// Open-loop load: sends requests at a given rate independent of the answers, and collects the
// results.
#pragma once

#include "fakes/proxy_fixture.hpp"

#include <algorithm>

namespace rhubarbweir::fakes {

struct OpenLoopResult
{
    std::uint64_t sent = 0;
    std::uint64_t ok = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t late = 0;
    std::uint64_t replicaReads = 0;
    // Latencies of the requests that were answered Ok, in ascending order.
    std::vector<Duration> latencies;
    std::map<Reason, std::uint64_t> reasons;
    std::map<CallerId, std::uint64_t> okOf;

    Duration quantile(double share) const
    {
        if (this->latencies.empty())
            return Duration{0};
        return this->latencies[static_cast<std::size_t>(share * (this->latencies.size() - 1))];
    }

    Duration mean() const
    {
        Duration sum{0};
        for (const Duration each : this->latencies)
            sum += each;
        return this->latencies.empty() ? sum
                                       : sum / static_cast<std::int64_t>(this->latencies.size());
    }
};

class OpenLoop
{
public:
    using RequestSetup = std::function<void(CallerRequest &)>;

    // Selects the requests whose latency and serving replica are recorded; all by default.
    std::function<bool(const CallerRequest &)> measured = [](const CallerRequest &) {
        return true;
    };

    // Opens one session for each name in `callers`, distributed over `entries` or, if that is
    // empty, over all proxies.
    OpenLoop(ProxyFixture &givenFixture, const std::vector<std::string> &callers,
             const std::vector<std::string> &entries = {})
        : fixture(givenFixture)
    {
        this->fixture.answered = [this](CallerConnectionId connection, const CallerReply &reply) {
            this->receive(connection, reply);
        };
        const auto &names = entries.empty() ? this->fixture.settings.proxies : entries;
        for (std::size_t index = 0; index < callers.size(); ++index) {
            Caller caller;
            caller.name = CallerId(callers[index]);
            caller.proxy = names[index % names.size()];
            this->sessions.push_back(caller);
            this->fixture.callerOpened(caller.proxy, index + 1, caller.name);
        }
        this->fixture.time.runFor(std::chrono::milliseconds(1));
    }

    // Sends on average `rate` requests per second for `length`, with exponentially distributed
    // gaps, then waits until every deadline has passed.
    OpenLoopResult run(double rate, Duration length, const RequestSetup &setUp)
    {
        const TimePoint end = this->fixture.time.now() + length;
        this->schedule(rate, end, setUp);
        this->fixture.time.runUntil(end + std::chrono::seconds(2));
        this->result.unanswered = this->inFlight.size();
        std::sort(this->result.latencies.begin(), this->result.latencies.end());
        return this->result;
    }

private:
    struct Caller
    {
        CallerId name;
        std::string proxy;
        SessionId session;
        SessionToken token;
        std::uint64_t lastRequest = 0;
    };
    struct Sent
    {
        TimePoint at;
        TimePoint deadline;
        bool isMeasured = true;
    };

    void schedule(double rate, TimePoint end, const RequestSetup &setUp)
    {
        std::exponential_distribution<double> gap(rate / 1e6);
        const Duration wait(static_cast<std::int64_t>(gap(this->fixture.random)) + 1);
        this->fixture.time.after(wait, [this, rate, end, setUp] {
            if (this->fixture.time.now() >= end)
                return;
            this->send(setUp);
            this->schedule(rate, end, setUp);
        });
    }

    void send(const RequestSetup &setUp)
    {
        const std::size_t index = this->fixture.random() % this->sessions.size();
        Caller &caller = this->sessions[index];
        CallerRequest request;
        request.session = caller.session;
        request.requestId = ++caller.lastRequest;
        request.group = GroupId("g");
        request.token = caller.token;
        request.key = "k";
        request.value = "1";
        request.timeLeft = std::chrono::milliseconds(500);
        request.maxAge = std::chrono::seconds(3);
        setUp(request);
        const TimePoint now = this->fixture.time.now();
        this->inFlight[keyOf(request)] = {now, now + request.timeLeft, this->measured(request)};
        ++this->result.sent;
        this->fixture.callerSends(caller.proxy, index + 1, request);
    }

    void receive(CallerConnectionId connection, const CallerReply &reply)
    {
        Caller &caller = this->sessions[connection - 1];
        if (const auto *opened = std::get_if<SessionOpened>(&reply))
            caller.session = opened->session;
        const auto *answer = std::get_if<CallerAnswer>(&reply);
        if (answer == nullptr)
            return;
        const auto found = this->inFlight.find({answer->session, answer->requestId});
        if (found == this->inFlight.end())
            return;
        const TimePoint now = this->fixture.time.now();
        this->result.late += now > found->second.deadline ? 1 : 0;
        ++this->result.reasons[answer->reason];
        if (answer->outcome == Outcome::Ok) {
            ++this->result.ok;
            ++this->result.okOf[caller.name];
            if (found->second.isMeasured) {
                this->result.replicaReads += answer->servedByReplica ? 1 : 0;
                this->result.latencies.push_back(
                    std::chrono::duration_cast<Duration>(now - found->second.at));
            }
            for (const auto &[group, position] : answer->token.seen)
                caller.token.observe(group, position);
        } else if (answer->outcome == Outcome::NotRun) {
            ++this->result.notRun;
        } else {
            ++this->result.unknown;
        }
        this->inFlight.erase(found);
    }

    ProxyFixture &fixture;
    std::vector<Caller> sessions;
    std::map<RequestKey, Sent> inFlight;
    OpenLoopResult result;
};

} // namespace rhubarbweir::fakes
