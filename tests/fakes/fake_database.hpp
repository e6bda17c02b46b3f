// In-memory database of a group: terms, a replicated log, slots and connections. It checks its
// limits and the connection protocol, and records every violation.
#pragma once

#include "fakes/virtual_time.hpp"
#include "rhubarbweir/coordination/proxy/proxy_settings.hpp"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbweir::fakes {

// Identifies a connection by its proxy and generation.
using LinkId = std::pair<InstanceId, Generation>;

struct DatabaseEntry
{
    std::uint64_t term = 0;
    // Requests whose effect the entry holds: one write, or a transaction's writes and commit.
    std::vector<RequestKey> requests;
    // Whether the entry seals its requests instead of executing them.
    bool seals = false;
    std::map<std::string, std::string> values;
};

class FakeDatabase
{
public:
    struct Limits
    {
        std::uint32_t slots = 3;
        std::uint32_t connections = 45;
        Duration meanService = std::chrono::milliseconds(2);
        // Delay until a received entry is visible to reads.
        Duration applyLag{0};
    };

    std::function<void(const LinkId &, const TargetMessage &)> send;
    // Called after an entry was appended to the log.
    std::function<void()> appended;
    std::vector<std::string> ruleViolations;
    std::vector<DatabaseEntry> log;
    std::size_t applied = 0;
    std::uint64_t adoptedTerm = 1;
    TargetRole role = TargetRole::Replica;
    bool frozen = false;
    // Added to the service time of every statement.
    Duration extraService{0};
    // Statements that arrived, by kind and by the proxy that sent them.
    std::map<StatementKind, std::uint64_t> statementsByKind;
    std::map<InstanceId, std::uint64_t> statementsBySender;
    // Highest number of concurrent reads.
    std::size_t maxConcurrentReads = 0;

    FakeDatabase(VirtualTime &givenTime, std::mt19937_64 &givenRandom, TargetId givenName,
                 Limits givenLimits)
        : time(givenTime)
        , random(givenRandom)
        , name(std::move(givenName))
        , limits(givenLimits)
    {
    }

    TargetStatus status(std::uint64_t probeId = 0) const
    {
        TargetStatus status;
        status.probeId = probeId;
        status.target = this->name;
        status.group = GroupId("g");
        status.role = this->role;
        status.adoptedTerm = this->adoptedTerm;
        status.received = this->positionOf(this->log.size());
        status.applied = this->positionOf(this->applied);
        return status;
    }

    bool open(const LinkId &link)
    {
        if (this->links.size() >= this->limits.connections) {
            this->recordViolation("connection over limit");
            return false;
        }
        this->links[link];
        return true;
    }

    // Closes a connection. A statement in flight takes effect with a probability of one half.
    void close(const LinkId &link)
    {
        const auto found = this->links.find(link);
        if (found == this->links.end())
            return;
        const bool takesEffect = found->second.isBusy && this->random() % 2 == 0;
        const Statement statement = found->second.statement;
        const bool isPlain = statement.transaction == 0 || statement.kind == StatementKind::Commit;
        if (takesEffect && isPlain)
            this->execute(found->second, statement);
        this->links.erase(link);
    }

    void closeAll() { this->links.clear(); }
    bool hasLink(const LinkId &link) const { return this->links.count(link) > 0; }

    void receive(const LinkId &id, const TargetRequest &request)
    {
        const auto found = this->links.find(id);
        if (found == this->links.end() || this->frozen)
            return;
        if (const auto *probe = std::get_if<StatusProbe>(&request)) {
            this->send(id, this->status(probe->probeId));
            return;
        }
        Link &link = found->second;
        if (link.isBusy)
            this->recordViolation("second statement on a connection");
        link.isBusy = true;
        link.statement = std::get<Statement>(request);
        ++this->statementsByKind[link.statement.kind];
        ++this->statementsBySender[id.first];
        this->maxConcurrentReads = std::max(this->maxConcurrentReads, this->runningReads());
        if (this->running() > this->limits.slots)
            this->recordViolation("slot over limit");
        const std::uint64_t statementNumber = ++this->lastStatementNumber;
        link.statementNumber = statementNumber;
        this->time.after(this->serviceTime(), [this, id, statementNumber] {
            this->finishStatement(id, statementNumber);
        });
    }

    // Copies the first `length` entries of the primary's log, truncating a diverged tail.
    void replicate(const FakeDatabase &primary, std::size_t length)
    {
        if (primary.adoptedTerm < this->adoptedTerm || this->frozen)
            return;
        this->adoptedTerm = primary.adoptedTerm;
        this->role = TargetRole::Replica;
        std::size_t same = 0;
        while (same < std::min(this->log.size(), length)
               && this->log[same].term == primary.log[same].term
               && this->log[same].requests == primary.log[same].requests)
            ++same;
        const bool isCurrent =
            same == length && !this->log.empty() && this->log.back().term == primary.adoptedTerm;
        if (isCurrent)
            return;
        this->log.assign(primary.log.begin(),
                         primary.log.begin() + static_cast<std::ptrdiff_t>(length));
        this->applied = std::min(this->applied, same);
        if (this->limits.applyLag == Duration{0})
            this->applied = length;
        else
            this->time.after(this->limits.applyLag, [this, length] { this->apply(length); });
        this->pushStatus();
    }

    void fence(std::uint64_t term)
    {
        this->adoptedTerm = std::max(this->adoptedTerm, term);
        this->role = TargetRole::Replica;
        this->pushStatus();
    }

    void promote(std::uint64_t term)
    {
        this->adoptedTerm = term;
        this->role = TargetRole::Primary;
        this->append({term, {}, false, {}});
    }

    void pushStatus()
    {
        if (this->frozen)
            return;
        for (const auto &[id, link] : this->links)
            this->send(id, this->status());
    }

    // Last number written under `key` in the first `upTo` entries; 0 if none.
    std::uint64_t valueOf(const std::string &key, std::size_t upTo) const
    {
        for (std::size_t index = upTo; index > 0; --index) {
            const auto found = this->log[index - 1].values.find(key);
            if (found != this->log[index - 1].values.end())
                return std::stoull(found->second);
        }
        return 0;
    }

    // Slots in use by one proxy, or by all if `proxy` is empty.
    std::size_t running(const InstanceId &proxy = {}) const
    {
        std::size_t count = 0;
        for (const auto &[id, link] : this->links) {
            const bool matches = proxy.empty() || id.first == proxy;
            count += matches && (link.isBusy || link.transaction != 0) ? 1 : 0;
        }
        return count;
    }

    std::size_t runningReads() const
    {
        std::size_t count = 0;
        for (const auto &[id, link] : this->links)
            count += link.isBusy && link.statement.kind == StatementKind::Read ? 1 : 0;
        return count;
    }

private:
    struct Link
    {
        bool isBusy = false;
        Statement statement;
        std::uint64_t statementNumber = 0;
        SessionId session;
        std::uint64_t transaction = 0;
        DatabaseEntry pending;
    };

    void apply(std::size_t length)
    {
        this->applied = std::max(this->applied, std::min(length, this->log.size()));
        this->pushStatus();
    }

    void recordViolation(const std::string &what)
    {
        this->ruleViolations.push_back(this->name.value + ": " + what);
    }

    LogPosition positionOf(std::size_t length) const
    {
        return length == 0 ? LogPosition{} : LogPosition{this->log[length - 1].term, length};
    }

    Duration serviceTime()
    {
        std::exponential_distribution<double> spread(1.0);
        const double micros = spread(this->random) * this->limits.meanService.count();
        return Duration(static_cast<std::int64_t>(micros) + 1) + this->extraService;
    }

    void finishStatement(const LinkId &id, std::uint64_t statementNumber)
    {
        const auto found = this->links.find(id);
        if (found == this->links.end() || found->second.statementNumber != statementNumber
            || this->frozen)
            return;
        Link &link = found->second;
        const Statement statement = link.statement;
        link.isBusy = false;
        StatementReply reply = this->execute(link, statement);
        this->send(id, reply);
    }

    StatementReply execute(Link &link, const Statement &statement)
    {
        StatementReply reply;
        reply.generation = statement.generation;
        reply.request = statement.request;
        reply.key = statement.key;
        reply.result = this->run(link, statement, reply);
        reply.status = this->status();
        return reply;
    }

    StatementResult run(Link &link, const Statement &statement, StatementReply &reply)
    {
        if (link.transaction != statement.transaction && statement.kind != StatementKind::Begin)
            return this->wrongTransaction(link, statement);
        if (statement.term != 0
            && (this->role != TargetRole::Primary || statement.term != this->adoptedTerm))
            return StatementResult::NotPrimary;
        switch (statement.kind) {
        case StatementKind::Read:
            return this->read(statement, reply);
        case StatementKind::Begin:
            link.session = statement.request.session;
            link.transaction = statement.transaction;
            link.pending = {};
            return StatementResult::Ok;
        case StatementKind::Rollback:
            link.transaction = 0;
            return StatementResult::Ok;
        case StatementKind::AskOutcome:
            return this->queryOutcome(statement, reply);
        case StatementKind::Write:
        case StatementKind::Commit:
            return this->write(link, statement, reply);
        }
        return StatementResult::Refused;
    }

    StatementResult wrongTransaction(const Link &link, const Statement &statement)
    {
        if (link.transaction != 0 || statement.transaction == 0)
            this->recordViolation("statement in the wrong transaction");
        return StatementResult::TransactionEnded;
    }

    StatementResult read(const Statement &statement, StatementReply &reply)
    {
        if (statement.term == 0 && !covers(this->positionOf(this->applied), statement.minimum))
            return StatementResult::Behind;
        reply.position = this->positionOf(this->applied);
        reply.value = std::to_string(this->valueOf(statement.key, this->applied));
        return StatementResult::Ok;
    }

    StatementResult write(Link &link, const Statement &statement, StatementReply &reply)
    {
        if (link.transaction != 0 && link.session != statement.request.session)
            this->recordViolation("transactions mixed");
        if (const auto known = this->findLogged(statement.request, reply))
            return *known;
        link.pending.requests.push_back(statement.request);
        if (statement.kind == StatementKind::Write)
            link.pending.values[statement.key] = statement.value;
        if (statement.kind == StatementKind::Write && link.transaction != 0)
            return StatementResult::Ok;
        link.pending.term = this->adoptedTerm;
        link.transaction = 0;
        this->append(std::exchange(link.pending, {}));
        reply.position = this->positionOf(this->log.size());
        return StatementResult::Ok;
    }

    StatementResult queryOutcome(const Statement &statement, StatementReply &reply)
    {
        if (const auto known = this->findLogged(statement.asked, reply))
            return *known;
        this->append({this->adoptedTerm, {statement.asked}, true, {}});
        reply.position = this->positionOf(this->log.size());
        return StatementResult::Sealed;
    }

    std::optional<StatementResult> findLogged(const RequestKey &key, StatementReply &reply) const
    {
        for (std::size_t index = 0; index < this->log.size(); ++index) {
            const DatabaseEntry &entry = this->log[index];
            if (std::find(entry.requests.begin(), entry.requests.end(), key)
                == entry.requests.end())
                continue;
            reply.position = this->positionOf(index + 1);
            return entry.seals ? StatementResult::Sealed : StatementResult::Ok;
        }
        return std::nullopt;
    }

    void append(DatabaseEntry entry)
    {
        this->log.push_back(std::move(entry));
        this->applied = this->log.size();
        this->pushStatus();
        this->appended();
    }

    VirtualTime &time;
    std::mt19937_64 &random;
    TargetId name;
    Limits limits;
    std::map<LinkId, Link> links;
    std::uint64_t lastStatementNumber = 0;
};

} // namespace rhubarbweir::fakes
