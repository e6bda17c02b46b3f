// Test fixture: callers of several teams before one pooler and a group of targets, in virtual time.
// The kinds of operations are those of a photo service.
#pragma once

#include "fakes/pooler_fixture.hpp"

#include <array>
#include <utility>

namespace rhubarbweir::fakes {

struct LoadKind
{
    const char *route;
    TextStatementKind statement;
    RouteConsistency consistency;
    milliseconds work;
    milliseconds objective;
    milliseconds timeout;
    // Usual operations per second of all teams.
    double rate;
};

inline constexpr std::array<LoadKind, 3> LoadKinds = {{
    {"upload", TextStatementKind::Write, RouteConsistency::Primary, milliseconds(6),
     milliseconds(150), milliseconds(800), 16},
    {"curate", TextStatementKind::Read, RouteConsistency::Primary, milliseconds(18),
     milliseconds(250), milliseconds(800), 74},
    {"browse", TextStatementKind::Read, RouteConsistency::BoundedAge, milliseconds(30),
     milliseconds(1000), milliseconds(2000), 27},
}};

// Callers that wait for long, and use 70 % of the primary.
inline constexpr std::array<LoadKind, 3> PatientKinds = {{
    {"upload", TextStatementKind::Write, RouteConsistency::Primary, milliseconds(12),
     milliseconds(800), milliseconds(12000), 20},
    {"curate", TextStatementKind::Read, RouteConsistency::Primary, milliseconds(36),
     milliseconds(800), milliseconds(12000), 50},
    {"browse", TextStatementKind::Read, RouteConsistency::Primary, milliseconds(60),
     milliseconds(1500), milliseconds(12000), 12.5},
}};

// What callers got.
struct LoadTally
{
    int sent = 0;
    int inTime = 0;
    int answered = 0;
    // Refused in the second half of the timeout.
    int heldAndRefused = 0;

    double inTimeShare() const { return double(this->inTime) / this->sent; }
};

class TeamLoad
{
public:
    static constexpr std::size_t Teams = 8;

    // Begins after two seconds of the usual load.
    explicit TeamLoad(unsigned seed, bool hasTeams = true,
                      const std::array<LoadKind, 3> &loadKinds = LoadKinds)
        : kinds(loadKinds)
        , random(seed)
    {
        RouteTable table;
        table.version = 2;
        table.hasTeams = hasTeams;
        table.groups[PoolerFixture::Group].maxConnections = 200;
        for (unsigned kind = 0; kind < this->kinds.size(); ++kind) {
            const LoadKind &of = this->kinds.at(kind);
            table.routes[of.route] = {of.route,   PoolerFixture::Group, of.consistency,
                                      of.timeout, of.objective,         milliseconds(2000),
                                      kind};
        }
        for (std::size_t team = 0; team < Teams; ++team)
            table.teamsByKey[keyOf(team)] = TeamId("team" + std::to_string(team));
        this->factors.fill(1);
        this->fixture.pooler.routesReceived(table, this->fixture.now);
        this->fixture.extendLease(std::chrono::minutes(10));
        this->run(std::chrono::seconds(2));
    }

    // Counts only operations that begin during this run, and their answers until `tail` after it.
    void run(Duration time, Duration tail = Duration::zero())
    {
        this->byTeam.fill({});
        this->byKind.fill({});
        this->countedFrom = this->fixture.now;
        this->countedUntil = this->countedFrom + time;
        while (this->fixture.now < this->countedUntil + tail) {
            this->fixture.now += milliseconds(1);
            this->arrive();
            this->submitAll();
            this->openConnections();
            this->runTargets();
            this->fixture.pooler.advance(this->fixture.now);
            this->collect();
        }
    }

    // Breaks the connections to the target; none can be opened for `time`.
    void stop(const TargetId &target, Duration time)
    {
        this->stoppedUntil[target] = this->fixture.now + time;
        const auto connections = this->fixture.targetOf;
        for (const auto &[connection, of] : connections) {
            if (of == target && this->fixture.closedConnections.count(connection) == 0)
                this->fixture.closeConnection(connection);
        }
    }

    PoolerFixture fixture;
    std::array<LoadTally, Teams> byTeam;
    std::array<LoadTally, LoadKinds.size()> byKind;
    // Multiples of each team's usual load, which is the same for all teams.
    std::array<double, Teams> factors{};
    double burst = 1;
    // Callers give up after their objective divided by this, if it is not 0.
    int patienceDivisor = 0;
    // Callers try again at once after a refusal, until their timeout.
    bool retries = false;
    // Callers cannot reach the pooler, and wait.
    bool isOff = false;

private:
    static constexpr std::size_t Slots = 4;

    struct Call
    {
        std::size_t team;
        std::size_t kind;
        TimePoint at;
    };

    static KeyDigest keyOf(std::size_t team)
    {
        KeyDigest key;
        key.bytes[0] = static_cast<std::uint8_t>(team + 1);
        return key;
    }

    void arrive()
    {
        for (std::size_t each = 0; each < Teams * this->kinds.size(); ++each) {
            const std::size_t team = each / this->kinds.size();
            const std::size_t kind = each % this->kinds.size();
            const LoadKind &of = this->kinds.at(kind);
            const double mean = of.rate / 1000 / Teams * this->factors.at(team) * this->burst;
            for (int n = std::poisson_distribution<int>(mean)(this->random); n > 0; --n)
                this->unsubmitted.push_back({team, kind, this->fixture.now});
        }
    }

    void submitAll()
    {
        if (this->isOff)
            return;
        for (const Call &call : std::exchange(this->unsubmitted, {})) {
            const LoadKind &of = this->kinds.at(call.kind);
            const SessionNumber session = this->fixture.open(of.route, keyOf(call.team));
            this->calls[session] = call;
            this->fixture.submit(session, of.statement, absl::StrCat(call.kind, "-", session));
        }
    }

    void openConnections()
    {
        while (!this->fixture.opening.empty()) {
            const auto [connection, target] = this->fixture.opening.front();
            if (this->fixture.now < this->stoppedUntil[target]) {
                this->fixture.closeConnection(connection, TargetFailure::Refused);
                continue;
            }
            this->fixture.opening.pop_front();
            this->fixture.pooler.targetOpened(connection, LogPosition{1, 10}, this->fixture.now);
        }
    }

    // Each target runs the first statements that it received.
    void runTargets()
    {
        std::map<TargetId, std::size_t> running;
        const std::deque<SentCommand> received = this->fixture.unanswered;
        for (const SentCommand &each : received) {
            if (++running[each.target] > Slots)
                continue;
            const auto kind = static_cast<std::size_t>(each.command.id.front() - '0');
            const auto began = this->beganAt.emplace(each.command.id, this->fixture.now).first;
            if (this->fixture.now < began->second + this->kinds.at(kind).work)
                continue;
            auto &unanswered = this->fixture.unanswered;
            unanswered.erase(
                std::find_if(unanswered.begin(), unanswered.end(), [&each](const auto &other) {
                    return other.connection == each.connection;
                }));
            this->fixture.answer(each, std::nullopt);
        }
    }

    void collect()
    {
        for (auto entry = this->calls.begin(); entry != this->calls.end();) {
            const auto &[session, call] = *entry;
            const LoadKind &of = this->kinds.at(call.kind);
            const bool isAnswered = this->fixture.answerCount(session) != 0;
            const auto age = this->fixture.now - call.at;
            const bool givesUp =
                this->patienceDivisor != 0 && age >= of.objective / this->patienceDivisor;
            if (!isAnswered && !givesUp) {
                ++entry;
                continue;
            }
            const bool isFault = isAnswered && this->fixture.lastAnswer(session).fault;
            const bool triesAgain = isFault && this->retries && age < of.timeout;
            if (triesAgain)
                this->unsubmitted.push_back(call);
            for (LoadTally *tally : {&this->byTeam.at(call.team), &this->byKind.at(call.kind)}) {
                if (triesAgain || call.at < this->countedFrom || call.at > this->countedUntil)
                    continue;
                ++tally->sent;
                tally->inTime += isAnswered && !isFault && age <= of.objective ? 1 : 0;
                tally->answered += isAnswered && !isFault ? 1 : 0;
                tally->heldAndRefused += isFault && age * 2 > of.timeout ? 1 : 0;
            }
            this->fixture.pooler.sessionClosed(session, this->fixture.now);
            this->fixture.answers.erase(session);
            entry = this->calls.erase(entry);
        }
    }

    std::array<LoadKind, 3> kinds;
    std::map<SessionNumber, Call> calls;
    std::vector<Call> unsubmitted;
    std::map<std::string, TimePoint> beganAt;
    std::map<TargetId, TimePoint> stoppedUntil;
    TimePoint countedFrom;
    TimePoint countedUntil;
    std::mt19937 random;
};

} // namespace rhubarbweir::fakes
