// Tests of the stand-in database with a group of three in virtual time.
#include "programs/standin/database.hpp"

#include "programs/standin/database_report.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <memory>

using namespace rhubarbweir;
using std::chrono::milliseconds;

namespace {

const GroupId Group("windlog-1");

// Three databases on a simulated network that can lose messages; run() advances the time.
struct ThreeDatabases
{
    std::vector<TargetId> names{TargetId("a"), TargetId("b"), TargetId("c")};
    std::map<TargetId, std::unique_ptr<Database>> databases;
    std::map<TargetId, std::vector<JournalRecord>> journals;
    std::set<TargetId> disconnected;
    std::vector<std::pair<TargetId, Message>> inFlight;
    std::map<std::pair<TargetId, std::uint64_t>, std::vector<StatementReply>> replies;
    TimePoint now{};

    explicit ThreeDatabases(std::uint64_t seed = 1)
    {
        for (const TargetId &name : this->names) {
            DatabaseSettings settings;
            settings.target = name;
            settings.group = Group;
            settings.limits = {2, 2};
            settings.hardConnectionLimit = 3;
            settings.applyLag.shortest = milliseconds(30);
            settings.applyLag.longest = milliseconds(30);
            settings.seed = seed;
            this->databases[name] = std::make_unique<Database>(
                settings,
                DatabaseHooks{[this, name](std::uint64_t connection, const Message &message) {
                                  if (const auto *reply = std::get_if<StatementReply>(&message))
                                      this->replies[{name, connection}].push_back(*reply);
                              },
                              [this, name](const TargetId &to, const Message &message) {
                                  if (!this->disconnected.count(name))
                                      this->inFlight.emplace_back(to, message);
                              },
                              [this, name](const JournalRecord &record) {
                                  this->journals[name].push_back(record);
                              }});
        }
    }

    Database &at(const std::string &name) { return *this->databases.at(TargetId(name)); }

    void run(Duration duration)
    {
        const TimePoint until = this->now + duration;
        for (; this->now < until; this->now += milliseconds(1)) {
            std::vector<std::pair<TargetId, Message>> arriving;
            arriving.swap(this->inFlight);
            for (const auto &[to, message] : arriving) {
                if (this->disconnected.count(to))
                    continue;
                if (const auto *entries = std::get_if<ReplicateEntries>(&message))
                    this->databases.at(to)->receive(*entries, this->now);
                if (const auto *answer = std::get_if<ReplicateAnswer>(&message))
                    this->databases.at(to)->receive(*answer, this->now);
            }
            for (auto &[name, database] : this->databases)
                database->advance(this->now);
        }
    }

    void fence(const std::string &name, std::uint64_t term)
    {
        this->at(name).receive(FenceTarget{Group, term}, this->now);
    }

    void promote(const std::string &name, std::uint64_t term)
    {
        PromoteTarget message{Group, term, {}};
        for (const TargetId &member : this->names)
            message.members.push_back(PeerAddress{member, ""});
        this->at(name).receive(message, this->now);
    }

    // Fences all three with `term`, promotes `name` and opens connection 1 on each.
    void start(const std::string &name, std::uint64_t term)
    {
        for (const TargetId &member : this->names) {
            this->fence(member.value, term);
            this->connect(member.value, 1);
        }
        this->promote(name, term);
        this->run(milliseconds(50));
    }

    void connect(const std::string &name, std::uint64_t connection)
    {
        OpenConnection open;
        open.holder = InstanceId("proxy-1");
        open.generation = connection;
        this->at(name).receive(connection, open, this->now);
    }

    // Sends a statement without waiting for its reply.
    void submit(const std::string &name, Statement statement, std::uint64_t connection = 1)
    {
        statement.generation = connection;
        statement.timeLeft =
            statement.timeLeft.count() == 0 ? Duration(milliseconds(500)) : statement.timeLeft;
        this->at(name).receive(connection, statement, this->now);
    }

    StatementReply reply(const std::string &name, const Statement &statement,
                         std::uint64_t connection = 1)
    {
        this->submit(name, statement, connection);
        this->run(milliseconds(25));
        return this->last(name, connection);
    }

    const StatementReply &last(const std::string &name, std::uint64_t connection = 1)
    {
        return this->replies[{TargetId(name), connection}].back();
    }
};

Statement statementOf(StatementKind kind, std::uint64_t request, std::uint64_t term,
                      const std::string &key = "", const std::string &value = "")
{
    Statement statement;
    statement.kind = kind;
    statement.request = RequestKey{SessionId("s"), request};
    statement.term = term;
    statement.key = key;
    statement.value = value;
    return statement;
}

Statement add(std::uint64_t request, std::uint64_t term, const std::string &key)
{
    Statement statement = statementOf(StatementKind::Write, request, term, key, "1");
    statement.operation = WriteOperation::Add;
    return statement;
}

Statement inTransaction(Statement statement, std::uint64_t begin)
{
    statement.transaction = begin;
    return statement;
}

Statement readOf(const std::string &key, LogPosition minimum = {})
{
    Statement statement = statementOf(StatementKind::Read, 900, 0, key);
    statement.minimum = minimum;
    return statement;
}

Statement ask(std::uint64_t asked, std::uint64_t term)
{
    Statement statement = statementOf(StatementKind::AskOutcome, 901, term);
    statement.asked = RequestKey{SessionId("s"), asked};
    return statement;
}

} // namespace

Test(database, replicates,
     .description = "replicas receive a write immediately and apply it after the lag")
{
    ThreeDatabases group;
    group.start("a", 1);
    const StatementReply written = group.reply("a", add(1, 1, "k"));
    cr_assert(written.result == StatementResult::Ok);
    cr_assert(written.position == (LogPosition{1, 2}));
    cr_assert(group.at("b").status().received == written.position);
    cr_assert(group.reply("b", readOf("k", written.position)).result == StatementResult::Ok);
    cr_assert(group.last("b").value == "1");
}

Test(database, behind, .description = "a replica that does not reach the position answers Behind")
{
    ThreeDatabases group;
    group.start("a", 1);
    group.disconnected.insert(TargetId("b"));
    const StatementReply written = group.reply("a", add(1, 1, "k"));
    const StatementReply reply = group.reply("b", readOf("k", written.position));
    cr_assert(reply.result == StatementResult::Behind);
    cr_assert(group.at("b").usage().slots() == 0);
}

Test(database, term_check, .description = "only the primary of the exact term runs a write")
{
    ThreeDatabases group;
    group.start("a", 2);
    cr_assert(group.reply("a", add(1, 1, "k")).result == StatementResult::NotPrimary);
    cr_assert(group.reply("a", add(1, 3, "k")).result == StatementResult::NotPrimary);
    cr_assert(group.reply("b", add(1, 2, "k")).result == StatementResult::NotPrimary);
    Statement read = readOf("k");
    read.term = 2;
    cr_assert(group.reply("b", read).result == StatementResult::NotPrimary);
    group.submit("a", add(1, 2, "k"));
    group.fence("a", 3);
    group.run(milliseconds(10));
    cr_assert(group.last("a").result == StatementResult::NotPrimary,
              "fenced while the statement ran");
    cr_assert(group.at("a").log().received() == (LogPosition{2, 1}));
}

Test(database, deadline, .description = "a statement whose deadline has passed does not run")
{
    ThreeDatabases group;
    group.start("a", 1);
    Statement write = add(1, 1, "k");
    write.timeLeft = Duration(-1);
    cr_assert(group.reply("a", write).result == StatementResult::DeadlinePassed);
}

Test(database, resend,
     .description = "a resend returns the first result, also from the next primary")
{
    ThreeDatabases group;
    group.start("a", 1);
    const StatementReply first = group.reply("a", add(1, 1, "k"));
    group.reply("a", add(2, 1, "k"));
    const StatementReply second = group.reply("a", add(1, 1, "k"));
    cr_assert(second.position == first.position);
    cr_assert(second.value == "1");
    group.start("b", 2);
    const StatementReply third = group.reply("b", add(1, 2, "k"));
    cr_assert(third.position == first.position && third.value == "1");
    cr_assert(countersJson(group.at("b"))["doubled"].empty());
    cr_assert(group.reply("b", readOf("k")).value == "2");
}

Test(database, sealing,
     .description = "a request whose outcome was queried before it ran never runs")
{
    ThreeDatabases group;
    group.start("a", 1);
    const StatementReply written = group.reply("a", add(1, 1, "k"));
    const StatementReply ran = group.reply("a", ask(1, 1));
    cr_assert(ran.result == StatementResult::Ok && ran.position == written.position);
    const StatementReply sealed = group.reply("a", ask(2, 1));
    cr_assert(sealed.result == StatementResult::Sealed);
    cr_assert(sealed.position == (LogPosition{1, 3}));
    cr_assert(group.reply("a", add(2, 1, "k")).result == StatementResult::Sealed);
    cr_assert(group.reply("a", readOf("k")).value == "1");
}

Test(database, transaction, .description = "a transaction is one log entry and uses one slot")
{
    ThreeDatabases group;
    group.start("a", 1);
    group.reply("a", statementOf(StatementKind::Begin, 10, 1));
    cr_assert(group.at("a").usage().slots() == 1);
    cr_assert(group.reply("a", inTransaction(add(11, 1, "k"), 10)).value == "1");
    cr_assert(group.reply("a", inTransaction(add(12, 1, "k"), 10)).value == "2");
    cr_assert(group.at("a").log().received() == (LogPosition{1, 1}), "no entry before the commit");
    const StatementReply committed =
        group.reply("a", inTransaction(statementOf(StatementKind::Commit, 13, 1), 10));
    cr_assert(committed.result == StatementResult::Ok);
    cr_assert(committed.position == (LogPosition{1, 2}));
    cr_assert(group.at("a").usage().slots() == 0);
    cr_assert(group.reply("a", readOf("k")).value == "2");
    cr_assert(group.reply("a", ask(13, 1)).result == StatementResult::Ok);
    cr_assert(group.at("a").mixedTransactions() == 0);
}

Test(database, transaction_ends,
     .description = "closing, fencing and rollback discard a transaction")
{
    ThreeDatabases group;
    group.start("a", 1);
    group.connect("a", 2);
    group.run(milliseconds(15));
    group.reply("a", statementOf(StatementKind::Begin, 10, 1), 2);
    group.reply("a", inTransaction(add(11, 1, "k"), 10), 2);
    group.at("a").connectionClosed(2);
    cr_assert(group.at("a").usage().slots() == 0 && group.at("a").usage().connections() == 1);
    group.reply("a", statementOf(StatementKind::Begin, 20, 1));
    group.reply("a", inTransaction(add(21, 1, "k"), 20));
    group.reply("a", inTransaction(statementOf(StatementKind::Rollback, 22, 1), 20));
    cr_assert(group.reply("a", inTransaction(add(23, 1, "k"), 20)).result
              == StatementResult::TransactionEnded);
    group.reply("a", statementOf(StatementKind::Begin, 30, 1));
    group.fence("a", 2);
    group.promote("a", 2);
    const Statement commit = inTransaction(statementOf(StatementKind::Commit, 31, 2), 30);
    cr_assert(group.reply("a", commit).result == StatementResult::TransactionEnded);
    cr_assert(group.reply("a", readOf("k")).value.empty());
}

Test(database, commit_in_flight,
     .description = "a running commit completes after its connection is closed")
{
    ThreeDatabases group;
    group.start("a", 1);
    group.reply("a", statementOf(StatementKind::Begin, 10, 1));
    group.reply("a", inTransaction(add(11, 1, "k"), 10));
    group.submit("a", inTransaction(statementOf(StatementKind::Commit, 12, 1), 10));
    group.at("a").connectionClosed(1);
    group.run(milliseconds(10));
    cr_assert(group.at("a").log().received() == (LogPosition{1, 2}));
    cr_assert(group.at("a").usage().connections() == 0 && group.at("a").usage().slots() == 0);
}

Test(database, mixed,
     .description = "statements outside the open transaction are refused and counted")
{
    ThreeDatabases group;
    group.start("a", 1);
    group.reply("a", statementOf(StatementKind::Begin, 10, 1));
    cr_assert(group.reply("a", add(11, 1, "k")).result == StatementResult::Refused);
    Statement other = inTransaction(add(11, 1, "k"), 10);
    other.request.session = SessionId("t");
    cr_assert(group.reply("a", other).result == StatementResult::Refused);
    cr_assert(group.at("a").mixedTransactions() == 2);
}

Test(database, limits, .description = "slots and connections beyond their limits are counted")
{
    ThreeDatabases group;
    group.start("a", 1);
    group.submit("a", readOf("k"));
    group.submit("a", readOf("k"));
    cr_assert(group.at("a").usage().limitExceeded() == 0);
    group.submit("a", readOf("k"));
    cr_assert(group.at("a").usage().limitExceeded() == 1);
    cr_assert(group.at("a").usage().maxSlots() == 3);
    group.connect("a", 2);
    group.connect("a", 3);
    cr_assert(group.at("a").usage().limitExceeded() == 2);
    group.connect("a", 4);
    cr_assert(group.at("a").usage().maxConnections() == 3, "the hard limit refuses");
    group.at("a").connectionClosed(1);
    cr_assert(group.at("a").usage().byHolder().front().connections == 3,
              "statements are still running");
    group.run(milliseconds(15));
    cr_assert(group.at("a").usage().byHolder().front().connections == 2);
}

Test(database, diverged_tail,
     .description = "an old primary truncates entries that no majority received")
{
    ThreeDatabases group;
    group.start("a", 1);
    group.reply("a", add(1, 1, "k"));
    group.disconnected.insert(TargetId("a"));
    group.reply("a", add(2, 1, "k"));
    group.reply("a", add(3, 1, "k"));
    cr_assert(group.at("a").log().received() == (LogPosition{1, 4}));
    group.fence("b", 2);
    group.fence("c", 2);
    group.promote("b", 2);
    group.run(milliseconds(50));
    const StatementReply written = group.reply("b", add(4, 2, "k"));
    cr_assert(written.position == (LogPosition{2, 4}));
    group.disconnected.clear();
    group.at("a").receive(FollowPrimary{Group, 2, {TargetId("b"), ""}}, group.now);
    cr_assert(!covers(group.at("a").status().applied, written.position),
              "a later term takes precedence");
    group.run(milliseconds(1000));
    cr_assert(group.at("a").log().received() == (LogPosition{2, 4}));
    cr_assert(group.reply("a", readOf("k", written.position)).value == "2");
    cr_assert(group.at("a").log().entryOf(RequestKey{SessionId("s"), 2}) == nullptr);
}

Test(database, stale_primary, .description = "a replica rejects entries from an earlier term")
{
    ThreeDatabases group;
    group.start("a", 1);
    group.fence("b", 2);
    group.reply("a", add(1, 1, "k"));
    group.run(milliseconds(500));
    cr_assert(group.at("b").log().received() == (LogPosition{1, 1}));
    cr_assert(group.at("c").log().received() == (LogPosition{1, 2}));
    group.promote("c", 2);
    cr_assert(!group.at("c").isPrimary(), "not its adopted term");
}

Test(database, journal, .description = "a restored database has the same log and term")
{
    ThreeDatabases group;
    group.start("a", 1);
    group.reply("a", add(1, 1, "k"));
    group.disconnected.insert(TargetId("a"));
    group.reply("a", add(2, 1, "k"));
    group.fence("b", 2);
    group.fence("c", 2);
    group.promote("c", 2);
    group.disconnected.clear();
    group.run(milliseconds(1500));
    for (const TargetId &name : group.names) {
        DatabaseSettings settings;
        settings.target = name;
        Database restored(settings, DatabaseHooks{});
        for (const JournalRecord &record : group.journals[name])
            restored.restore(record);
        cr_assert(restored.adoptedTerm() == 2);
        cr_assert(restored.log().received() == group.at(name.value).log().received());
        cr_assert(restored.log().entryOf(RequestKey{SessionId("s"), 2}) == nullptr);
        cr_assert(restored.log().entryOf(RequestKey{SessionId("s"), 1}) != nullptr);
    }
}

Test(database, report, .description = "a report matches the log, also after a truncation")
{
    ThreeDatabases group;
    DatabaseReport report;
    group.start("a", 1);
    group.disconnected.insert(TargetId("a"));
    group.reply("a", add(1, 1, "k"));
    group.reply("a", add(2, 1, "k"));
    cr_assert(nlohmann::json::parse(report.text(group.at("a")))["entries"].size() == 3);
    group.fence("b", 2);
    group.fence("c", 2);
    group.promote("b", 2);
    group.disconnected.clear();
    group.run(milliseconds(1000));
    const auto entries = nlohmann::json::parse(report.text(group.at("a")))["entries"];
    cr_assert(entries.size() == 2);
    cr_assert(entries[1]["term"] == 2 && entries[1]["kind"] == "no_op");
}

Test(database, repeated, .description = "a repeated request is reported until it is truncated")
{
    ReplicatedLog log;
    const RequestKey request{SessionId("s"), 1};
    log.append(LogEntry{{1, 1}, LogEntryKind::Write, {request}, {}});
    cr_assert(log.repeatedRequests().empty());
    log.append(LogEntry{{1, 2}, LogEntryKind::Write, {request}, {}});
    cr_assert(log.repeatedRequests().count(request) == 1);
    log.truncateAfter(1);
    cr_assert(log.repeatedRequests().empty() && log.entryOf(request)->at.position == 1);
    log.append(LogEntry{
        {1, 2}, LogEntryKind::Transaction, {{SessionId("t"), 1}, {SessionId("t"), 1}}, {}});
    log.truncateAfter(1);
    cr_assert(log.repeatedRequests().empty());
}

// Guards against the loss of confirmed entries: what a majority received in a term has to survive
// any sequence of failovers. A failover fences a majority and promotes the most advanced log in it.
Test(database, property_confirmed_survives,
     .description = "entries that a majority received in the primary's term are never lost")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        ThreeDatabases group(seed);
        std::mt19937_64 random(seed);
        const auto pick = [&random](std::size_t count) {
            return random() % count;
        };
        group.start("a", 1);
        std::uint64_t term = 1;
        std::string primary = "a";
        std::uint64_t request = 0;
        std::map<std::uint64_t, LogPosition> confirmed;
        for (int step = 0; step < 60; ++step) {
            const std::string one = group.names[pick(3)].value;
            if (pick(4) == 0) {
                // Disconnection affects replication only; fences are delivered directly.
                if (!group.disconnected.erase(TargetId(one)))
                    group.disconnected.insert(TargetId(one));
            } else if (pick(5) == 0) {
                const std::string other = group.names[(one[0] - 'a' + 1) % 3].value;
                ++term;
                group.fence(one, term);
                group.fence(other, term);
                const bool isFirst =
                    group.at(other).log().received() < group.at(one).log().received();
                primary = isFirst ? one : other;
                group.promote(primary, term);
            } else {
                group.submit(primary, add(++request, term, "k"));
            }
            group.run(milliseconds(1 + pick(200)));
            const LogPosition last = group.at(primary).log().received();
            int holding = 0;
            for (const TargetId &name : group.names) {
                const LogPosition held = group.at(name.value).log().received();
                holding += held.term == term && held.position >= last.position ? 1 : 0;
            }
            if (holding < 2 || last.term != term)
                continue;
            for (const LogEntry &entry : group.at(primary).log().entries()) {
                if (entry.kind == LogEntryKind::Write)
                    confirmed[entry.requests.front().request] = entry.at;
            }
        }
        group.disconnected.clear();
        group.run(milliseconds(2000));
        for (const auto &[id, position] : confirmed) {
            const LogEntry *entry = group.at(primary).log().entryOf(RequestKey{SessionId("s"), id});
            cr_assert(entry && entry->at == position, "seed %llu request %llu",
                      static_cast<unsigned long long>(seed), static_cast<unsigned long long>(id));
        }
        cr_assert(!confirmed.empty());
        cr_assert(countersJson(group.at(primary))["doubled"].empty());
        const LogPosition last = group.at(primary).log().received();
        for (const TargetId &name : group.names)
            cr_assert(group.at(name.value).log().received() == last);
    }
}
