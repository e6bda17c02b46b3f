// Property tests of the session pooler under random statements, faults, connection losses,
// authority changes and lease ends. Invariants checked at each command: sessions never share state
// or transactions, statements that may have run are not sent again, and the primary is used only
// under a valid authority.
#include "fakes/pooler_fixture.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

using Kind = TextStatementKind;

constexpr std::uint64_t Seeds = 1000;
constexpr int Steps = 250;

// A session as its caller sees it.
struct Caller
{
    SessionNumber number = 0;
    std::string database;
    KeyDigest key;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> shapes;
    TransactionState state = TransactionState::None;
    bool readOnly = false;
    ConnectionId boundTo = 0;
    std::size_t asked = 0;
    Kind lastKind = Kind::Read;
    std::pair<std::string, std::string> pendingName;
    bool isWaiting = false;
};

// State of a target's connection.
struct Backend
{
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> shapes;
    // Session whose transaction is open; 0 for none.
    SessionNumber transactionOf = 0;
    bool inTransaction = false;
};

class RandomRun
{
public:
    explicit RandomRun(std::uint64_t seed, bool hasTeams, bool arePatient)
        : random(seed)
    {
        this->table.hasTeams = hasTeams;
        if (arePatient) {
            // Statements wait past their objective, for the few connections of a target.
            for (auto &[database, route] : this->table.routes)
                route.latencyObjective = route.timeout / 20;
            this->table.groups[PoolerFixture::Group].maxConnections = 6;
            ++this->table.version;
            this->fixture.pooler.routesReceived(this->table, this->fixture.now);
        }
        this->fixture.onSent = [this](const SentCommand &each) {
            this->check(each);
        };
        this->fixture.warmUp();
        this->backends.clear();
        if (hasTeams)
            this->changeTeams();
        for (int count = 0; count < 6; ++count)
            this->openCaller();
    }

    std::string run()
    {
        for (int step = 0; step < Steps && this->fault.empty(); ++step)
            this->step();
        for (int round = 0; round < 60 && this->fault.empty(); ++round) {
            this->fixture.extendLease(milliseconds(4000));
            this->answerSome(100, false);
            this->fixture.advance(milliseconds(50));
            this->collectAnswers();
        }
        for (const Caller &caller : this->callers) {
            if (this->fault.empty() && caller.isWaiting)
                this->fail("a statement was never answered");
        }
        return this->fault;
    }

private:
    std::uint64_t pick(std::uint64_t below) { return this->random() % below; }

    void fail(const std::string &what)
    {
        if (this->fault.empty())
            this->fault = what;
    }

    void openCaller()
    {
        static const char *const Databases[] = {"latest", "bounded", "session"};
        Caller caller;
        caller.database = Databases[this->pick(3)];
        this->open(caller);
        this->callers.push_back(caller);
    }

    void open(Caller &caller)
    {
        if (this->table.hasTeams)
            caller.key.bytes[0] = static_cast<std::uint8_t>(this->pick(3));
        caller.number = this->fixture.open(caller.database, caller.key);
    }

    // Gives each of three keys to one of three teams, which compete for four connections.
    void changeTeams()
    {
        ++this->table.version;
        this->table.groups[PoolerFixture::Group].maxConnections = 8;
        for (std::uint8_t key = 0; key < 3; ++key)
            this->table.teamsByKey[KeyDigest{{key}}] = TeamId(std::to_string(this->pick(3)));
        this->fixture.pooler.routesReceived(this->table, this->fixture.now);
    }

    void step()
    {
        const std::uint64_t action = this->pick(100);
        if (action < 45)
            this->submitRandomStatement(this->callers[this->pick(this->callers.size())]);
        else if (action < 75)
            this->answerSome(1 + this->pick(4), true);
        else if (action < 80)
            this->loseConnection();
        else if (action < 84)
            this->changeAuthority();
        else if (action < 88)
            this->replaceCaller();
        else
            this->fixture.advance(milliseconds(this->pick(action > 97 ? 1500 : 40)));
        if (this->table.hasTeams && this->pick(30) == 0)
            this->changeTeams();
        if (this->pick(4) != 0)
            this->fixture.extendLease(milliseconds(300 + this->pick(3000)));
        this->fixture.openConnections();
        this->collectAnswers();
    }

    void submitRandomStatement(Caller &caller)
    {
        if (caller.isWaiting)
            return;
        const std::string id =
            "s" + std::to_string(caller.number) + "-" + std::to_string(++caller.asked);
        const std::string word = std::string(1, static_cast<char>('a' + this->pick(3)));
        static constexpr Kind Kinds[] = {
            Kind::Begin,   Kind::Begin,   Kind::Commit, Kind::Commit, Kind::Rollback,
            Kind::Read,    Kind::Read,    Kind::Write,  Kind::Write,  Kind::SetValue,
            Kind::Prepare, Kind::Execute, Kind::Execute};
        caller.lastKind = Kinds[this->pick(std::size(Kinds))];
        caller.pendingName = {word, "v" + std::to_string(this->pick(4))};
        const bool readOnly =
            caller.lastKind == Kind::Begin ? caller.database == "bounded" : this->pick(2) == 0;
        if (caller.lastKind == Kind::Prepare)
            caller.pendingName.second = (readOnly ? "r" : "w") + caller.pendingName.second;
        caller.isWaiting = true;
        this->fixture.submit(caller.number, caller.lastKind, id, word, caller.pendingName.second,
                             readOnly);
    }

    // Updates the callers from their answers.
    void collectAnswers()
    {
        for (Caller &caller : this->callers) {
            auto &answers = this->fixture.answers[caller.number];
            if (answers.empty())
                continue;
            if (answers.size() > 1 || !caller.isWaiting)
                this->fail("an answer without a pending statement");
            const StatementAnswer answer = answers.back();
            answers.clear();
            caller.isWaiting = false;
            caller.state = answer.state;
            if (answer.state != TransactionState::Open)
                caller.boundTo = 0;
            if (!answer.fault && caller.lastKind == Kind::SetValue)
                caller.values[caller.pendingName.first] = caller.pendingName.second;
            if (!answer.fault && caller.lastKind == Kind::Prepare)
                caller.shapes[caller.pendingName.first] = caller.pendingName.second;
        }
    }

    void answerSome(std::uint64_t count, bool mayFail)
    {
        for (; count > 0 && !this->fixture.unanswered.empty(); --count) {
            const SentCommand next = this->fixture.unanswered.front();
            this->fixture.unanswered.pop_front();
            std::optional<StatementFault> outcome;
            const bool isCallers = !next.command.id.empty();
            const bool begins = next.command.kind == TargetCommandKind::Begin
                                || next.command.kind == TargetCommandKind::BeginReadOnly;
            if (mayFail && (isCallers || begins) && this->pick(5) == 0) {
                static constexpr StatementFault Faults[] = {
                    StatementFault::Busy, StatementFault::Lagging, StatementFault::Failed,
                    StatementFault::ReadOnly};
                outcome = Faults[this->pick(begins ? 2 : std::size(Faults))];
            }
            this->recordAnswer(next, outcome);
            this->fixture.answer(next, outcome);
            this->collectAnswers();
        }
    }

    void recordAnswer(const SentCommand &each, std::optional<StatementFault> outcome)
    {
        Backend &backend = this->backends[each.connection];
        if (each.command.kind == TargetCommandKind::Rollback)
            backend.inTransaction = false;
        if (outcome
            && (each.command.kind == TargetCommandKind::Begin
                || each.command.kind == TargetCommandKind::BeginReadOnly))
            backend.inTransaction = false;
        if (!outcome && each.command.text.rfind("commit", 0) == 0)
            backend.inTransaction = false;
        const bool ran = !outcome || *outcome == StatementFault::Failed;
        if (!ran)
            this->sentWrites.erase(each.command.id);
    }

    void loseConnection()
    {
        const auto &targets = this->fixture.targetOf;
        if (targets.empty())
            return;
        auto chosen = targets.begin();
        std::advance(chosen, static_cast<long>(this->pick(targets.size())));
        if (this->fixture.closedConnections.count(chosen->first) == 0)
            this->fixture.closeConnection(
                chosen->first, this->pick(2) == 0 ? TargetFailure::Reset : TargetFailure::Silent);
    }

    void changeAuthority()
    {
        static const TargetId All[] = {PoolerFixture::Primary, PoolerFixture::ReplicaA,
                                       PoolerFixture::ReplicaB};
        const std::uint64_t next =
            this->fixture.pooler.authorityView().generation(PoolerFixture::Group) + 1;
        this->fixture.changeAuthority(next, this->pick(3) == 0 ? TargetId() : All[this->pick(3)]);
    }

    void replaceCaller()
    {
        Caller &caller = this->callers[this->pick(this->callers.size())];
        this->fixture.pooler.sessionClosed(caller.number, this->fixture.now);
        this->fixture.answers.erase(caller.number);
        caller = Caller();
        caller.database = "latest";
        this->open(caller);
    }

    Caller *callerOf(const std::string &id)
    {
        const SessionNumber number = std::stoull(id.substr(1, id.find('-') - 1));
        for (Caller &caller : this->callers) {
            if (caller.number == number)
                return &caller;
        }
        return nullptr;
    }

    void check(const SentCommand &each)
    {
        Backend &backend = this->backends[each.connection];
        const TargetCommand &command = each.command;
        switch (command.kind) {
        case TargetCommandKind::Discard:
            backend.values.clear();
            backend.shapes.clear();
            return;
        case TargetCommandKind::SetValue:
            backend.values[command.name] = command.argument;
            return;
        case TargetCommandKind::Prepare:
            backend.shapes[command.name] = command.argument;
            return;
        case TargetCommandKind::Begin:
        case TargetCommandKind::BeginReadOnly:
            if (backend.inTransaction)
                this->fail("a begin inside an open transaction");
            backend.inTransaction = true;
            backend.transactionOf = 0;
            return;
        case TargetCommandKind::Rollback:
            return;
        case TargetCommandKind::Forward:
        case TargetCommandKind::Execute:
            break;
        }
        if (command.id != "warm")
            this->checkStatement(each, backend);
    }

    void checkStatement(const SentCommand &each, Backend &backend)
    {
        Caller *caller = this->callerOf(each.command.id);
        if (caller == nullptr || !caller->isWaiting) {
            this->fail("a statement without a waiting caller");
            return;
        }
        if (this->table.hasTeams
            && this->fixture.teamOf[each.connection] != this->table.teamsByKey[caller->key])
            this->fail("a statement on a connection of another team");
        if (backend.values != caller->values)
            this->fail("a statement with the session values of another session");
        const bool inTransaction = caller->state == TransactionState::Open;
        if (inTransaction != backend.inTransaction)
            this->fail("a statement outside its transaction");
        if (inTransaction) {
            if (backend.transactionOf == 0)
                backend.transactionOf = caller->number;
            if (backend.transactionOf != caller->number)
                this->fail("a statement in another caller's transaction");
        }
        this->checkShapeAndWrites(each, backend, *caller, inTransaction);
        this->checkAuthority(each, *caller);
    }

    void checkShapeAndWrites(const SentCommand &each, const Backend &backend, const Caller &caller,
                             bool inTransaction)
    {
        bool writes = caller.lastKind == Kind::Write;
        if (caller.lastKind == Kind::Execute) {
            const std::string &shape = caller.shapes.at(caller.pendingName.first);
            writes = shape.front() == 'w';
            const auto held = backend.shapes.find(each.command.name);
            if (held == backend.shapes.end() || held->second != shape)
                this->fail("a prepared statement with another shape");
        }
        const bool cannotRepeat = (writes && !inTransaction) || caller.lastKind == Kind::Commit;
        if (cannotRepeat && !this->sentWrites.insert(each.command.id).second)
            this->fail("a write or commit sent twice");
    }

    void checkAuthority(const SentCommand &each, const Caller &caller)
    {
        const AuthorityView &view = this->fixture.pooler.authorityView();
        const auto primary = view.primary(PoolerFixture::Group, each.at);
        const bool isPrimary = primary && *primary == each.target;
        if (caller.database == "latest" && !isPrimary)
            this->fail("a statement on route \"latest\" sent to a target without authority");
        if (caller.database != "latest" && !isPrimary && caller.state == TransactionState::None
            && !each.command.minimum)
            this->fail("a replica read without a minimum position");
    }

    std::mt19937_64 random;
    // Names are forgotten and connections cleared all the time.
    PoolerFixture fixture{std::nullopt, false, [](PoolerSettings &settings) {
                              settings.preparedNamesLimit = 600;
                              settings.preparedPerConnection = 3;
                          }};
    RouteTable table = PoolerFixture::routes(1);
    std::vector<Caller> callers;
    std::map<ConnectionId, Backend> backends;
    std::set<std::string> sentWrites;
    std::string fault;
};

} // namespace

static void runSeeds(bool hasTeams, bool arePatient = false)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        RandomRun run(seed, hasTeams, arePatient);
        const std::string fault = run.run();
        cr_assert(fault.empty(), "seed %lu: %s", static_cast<unsigned long>(seed), fault.c_str());
    }
}

Test(session_pooler_properties, random_faults,
     .description = "The invariants hold for 1,000 seeds of random statements and faults")
{
    runSeeds(false);
}

Test(session_pooler_properties, random_faults_with_teams,
     .description = "The invariants hold with teams whose keys move, and no statement uses a "
                    "connection of another team")
{
    runSeeds(true);
}

Test(session_pooler_properties, random_faults_with_patient_callers,
     .description = "The invariants hold without teams where late statements wait")
{
    runSeeds(false, true);
}
