// Callers that send a random mix of requests, and a checker of the answers.
#pragma once

#include "fakes/proxy_fixture.hpp"

namespace rhubarbweir::fakes {

struct WorkloadMix
{
    std::size_t callers = 8;
    // Proxies to which callers connect; all if empty.
    std::vector<std::string> entries;
    Duration meanPause = std::chrono::milliseconds(20);
    Duration timeLeft = std::chrono::milliseconds(800);
    Duration maxAge = std::chrono::seconds(3);
    double writes = 0.3;
    double transactions = 0.1;
    double roaming = 0.05;
    // Shares of the reads; the remaining ones are session reads.
    double bounded = 0.4;
    double latest = 0.2;
};

class Workload
{
public:
    struct SentRequest
    {
        CallerRequest request;
        TimePoint sentAt;
        std::uint64_t number = 0;
        // Highest number of the key that was acknowledged before the request was sent.
        std::uint64_t confirmedBefore = 0;
        // Unused; checkRead() takes the limit of a bounded read from `history`.
        std::uint64_t confirmedBeforeAge = 0;
        // Highest number of the key that was acknowledged to the session before.
        std::uint64_t ownBefore = 0;
        std::vector<CallerAnswer> answers;
        TimePoint answeredAt;
    };

    std::vector<std::string> violations;
    std::map<RequestKey, SentRequest> sentRequests;
    std::uint64_t ok = 0;
    std::uint64_t readsOk = 0;
    std::uint64_t replicaReadsOk = 0;

    Workload(ProxyFixture &givenFixture, WorkloadMix givenMix)
        : fixture(givenFixture)
        , mix(givenMix)
        , callers(givenMix.callers)
    {
        this->fixture.answered = [this](CallerConnectionId connection, const CallerReply &reply) {
            this->receive(connection, reply);
        };
        for (std::size_t index = 0; index < this->callers.size(); ++index)
            this->connect(index);
    }

    // Sends requests until `end`.
    void run(TimePoint end)
    {
        this->stopAt = end;
        for (std::size_t index = 0; index < this->callers.size(); ++index)
            this->scheduleNext(index);
    }

    // Checks every answer against the log of the current primary.
    void check()
    {
        const auto &log = this->fixture.primary().log;
        std::map<RequestKey, int> runs;
        std::set<RequestKey> seals;
        for (const DatabaseEntry &entry : log) {
            for (const RequestKey &key : entry.requests) {
                if (entry.seals)
                    seals.insert(key);
                else
                    ++runs[key];
            }
        }
        for (const auto &[key, count] : runs) {
            if (count > 1 || seals.count(key) > 0)
                this->addViolation("request ran more than once, or although it was sealed", key);
        }
        for (const auto &[key, each] : this->sentRequests)
            this->checkAnswer(key, each, runs.count(key) > 0);
        for (const std::string &violation : this->fixture.ruleViolations())
            this->violations.push_back(violation);
    }

private:
    struct Caller
    {
        std::string proxy;
        CallerConnectionId connection = 0;
        SessionId session;
        SessionToken token;
        std::uint64_t lastRequest = 0;
        std::uint64_t transaction = 0;
        int statementsLeft = 0;
        // Highest number acknowledged to the session for each key.
        std::map<std::string, std::uint64_t> ownWrites;
    };

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->fixture.random) < share;
    }

    void connect(std::size_t index)
    {
        Caller &caller = this->callers[index];
        const auto &names =
            this->mix.entries.empty() ? this->fixture.settings.proxies : this->mix.entries;
        if (caller.connection != 0)
            this->fixture.callerClosed(caller.proxy, caller.connection);
        caller.proxy = names[this->fixture.random() % names.size()];
        caller.connection = ++this->lastConnection;
        this->callerIndexes[caller.connection] = index;
        const CallerId id("c" + std::to_string(index));
        this->fixture.callerOpened(caller.proxy, caller.connection, id, caller.session);
    }

    void scheduleNext(std::size_t index)
    {
        std::exponential_distribution<double> pause(1.0 / this->mix.meanPause.count());
        const Duration wait(static_cast<std::int64_t>(pause(this->fixture.random)));
        this->fixture.time.after(wait, [this, index] {
            if (this->fixture.time.now() >= this->stopAt)
                return;
            if (this->chance(this->mix.roaming))
                this->connect(index);
            this->sendRequest(index);
        });
    }

    void sendRequest(std::size_t index)
    {
        Caller &caller = this->callers[index];
        if (caller.session.empty()) {
            this->scheduleNext(index);
            return;
        }
        CallerRequest request;
        request.session = caller.session;
        request.requestId = ++caller.lastRequest;
        request.group = GroupId("g");
        request.timeLeft = this->mix.timeLeft;
        request.token = caller.token;
        request.maxAge = this->mix.maxAge;
        request.transaction = caller.transaction;
        request.key = "k" + std::to_string(this->fixture.random() % 4);
        this->chooseKind(caller, request);
        if (request.kind == RequestKind::Write)
            request.value = std::to_string(++this->lastNumber);
        SentRequest &each = this->sentRequests[keyOf(request)];
        each.request = request;
        each.sentAt = this->fixture.time.now();
        each.number = this->lastNumber;
        each.confirmedBefore = this->confirmed[request.key];
        each.ownBefore = caller.ownWrites[request.key];
        this->fixture.callerSends(caller.proxy, caller.connection, request);
    }

    void chooseKind(Caller &caller, CallerRequest &request)
    {
        if (caller.transaction != 0) {
            --caller.statementsLeft;
            const bool commits = this->chance(0.8);
            request.kind = caller.statementsLeft > 0 ? RequestKind::Write
                           : commits                 ? RequestKind::Commit
                                                     : RequestKind::Rollback;
            // Transactions use separate keys, as their writes are not ordered with other writes.
            request.key = "t" + request.session.value;
            return;
        }
        if (this->chance(this->mix.transactions)) {
            request.kind = RequestKind::Begin;
            return;
        }
        if (this->chance(this->mix.writes)) {
            request.kind = RequestKind::Write;
            // With a single writer per key, the numbers of a key are ascending.
            request.key = "k" + std::to_string(this->callerIndexes[caller.connection] % 4);
            request.repeatable = this->chance(0.3);
            if (this->callerIndexes[caller.connection] >= 4)
                request.key = "w" + request.session.value;
            return;
        }
        request.kind = RequestKind::Read;
        const double kind = std::uniform_real_distribution<double>(0, 1)(this->fixture.random);
        request.consistency = kind < this->mix.bounded                      ? Consistency::Bounded
                              : kind < this->mix.bounded + this->mix.latest ? Consistency::Latest
                                                                            : Consistency::Session;
    }

    void receive(CallerConnectionId connection, const CallerReply &reply)
    {
        const std::size_t index = this->callerIndexes.at(connection);
        Caller &caller = this->callers[index];
        if (const auto *opened = std::get_if<SessionOpened>(&reply)) {
            if (caller.session.empty())
                caller.session = opened->session;
            return;
        }
        const auto *answer = std::get_if<CallerAnswer>(&reply);
        if (answer == nullptr)
            return;
        const RequestKey key{answer->session, answer->requestId};
        const auto found = this->sentRequests.find(key);
        if (found == this->sentRequests.end() || answer->session != caller.session) {
            this->addViolation("answer to the request of another caller", key);
            return;
        }
        found->second.answers.push_back(*answer);
        found->second.answeredAt = this->fixture.time.now();
        this->recordAnswer(caller, found->second, *answer);
        this->scheduleNext(index);
    }

    void recordAnswer(Caller &caller, const SentRequest &each, const CallerAnswer &answer)
    {
        const RequestKind kind = each.request.kind;
        const bool isOk = answer.outcome == Outcome::Ok;
        if (kind == RequestKind::Begin && isOk) {
            caller.transaction = answer.requestId;
            caller.statementsLeft = 3;
        } else if (each.request.transaction != 0) {
            const bool continues = isOk && kind == RequestKind::Write;
            if (!continues)
                caller.transaction = 0;
        } else if (kind == RequestKind::Write && isOk) {
            auto &ownWrites = caller.ownWrites[each.request.key];
            ownWrites = std::max(ownWrites, each.number);
            this->confirmed[each.request.key] =
                std::max(this->confirmed[each.request.key], each.number);
            this->history[each.request.key].emplace_back(this->fixture.time.now(), each.number);
        }
        if (!isOk)
            return;
        ++this->ok;
        for (const auto &[group, position] : answer.token.seen)
            caller.token.observe(group, position);
        if (kind != RequestKind::Read)
            return;
        ++this->readsOk;
        this->replicaReadsOk += answer.servedByReplica ? 1 : 0;
    }

    void checkAnswer(const RequestKey &key, const SentRequest &each, bool ran)
    {
        if (each.answers.size() != 1) {
            this->addViolation(each.answers.empty() ? "never answered" : "answered more than once",
                               key);
            return;
        }
        const CallerAnswer &answer = each.answers.front();
        if (each.answeredAt > each.sentAt + each.request.timeLeft)
            this->addViolation("answered after its deadline", key);
        const RequestKind kind = each.request.kind;
        const bool isPlainWrite = kind == RequestKind::Write && each.request.transaction == 0;
        if (answer.outcome == Outcome::NotRun && ran)
            this->addViolation("answered NotRun, but the request ran", key);
        if (answer.outcome == Outcome::Ok && (isPlainWrite || kind == RequestKind::Commit) && !ran)
            this->addViolation("answered Ok, but the write is lost", key);
        if (kind == RequestKind::Read && answer.outcome == Outcome::Ok)
            this->checkRead(key, each, answer);
    }

    void checkRead(const RequestKey &key, const SentRequest &each, const CallerAnswer &answer)
    {
        if (answer.key != each.request.key)
            this->addViolation("answer for another key", key);
        const std::uint64_t shown = std::stoull(answer.value);
        if (shown < each.ownBefore)
            this->addViolation("read misses the session's own write", key);
        if (each.request.consistency == Consistency::Latest && shown < each.confirmedBefore)
            this->addViolation("latest read misses a confirmed write", key);
        if (each.request.consistency != Consistency::Bounded)
            return;
        for (const auto &[when, number] : this->history[each.request.key]) {
            if (when + each.request.maxAge <= each.sentAt && shown < number)
                this->addViolation("bounded read is too old", key);
        }
    }

    void addViolation(const std::string &what, const RequestKey &key)
    {
        this->violations.push_back(what + " " + key.session.value + "/"
                                   + std::to_string(key.request));
    }

    ProxyFixture &fixture;
    WorkloadMix mix;
    std::vector<Caller> callers;
    std::map<CallerConnectionId, std::size_t> callerIndexes;
    std::map<std::string, std::uint64_t> confirmed;
    std::map<std::string, std::vector<std::pair<TimePoint, std::uint64_t>>> history;
    CallerConnectionId lastConnection = 0;
    std::uint64_t lastNumber = 0;
    TimePoint stopAt;
};

} // namespace rhubarbweir::fakes
