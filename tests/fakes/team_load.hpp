// Test fixture: callers of several teams before one pooler and a group of targets with slots, in
// virtual time. The kinds of operations are those of a photo service; all run at the primary, but
// for browsing.
#pragma once

#include "fakes/pooler_fixture.hpp"

#include <array>

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

// What callers got.
struct LoadTally
{
    int sent = 0;
    int inTime = 0;
    // Refused in the second half of the timeout.
    int heldAndRefused = 0;

    double inTimeShare() const { return double(this->inTime) / this->sent; }
};

class TeamLoad
{
public:
    // Begins after two seconds of the usual load.
    TeamLoad(unsigned seed, std::size_t teams, bool hasTeams = true)
        : factors(teams, 1.0)
        , random(seed)
    {
        RouteTable table;
        table.version = 2;
        table.hasTeams = hasTeams;
        table.groups[PoolerFixture::Group].maxConnections = 200;
        for (unsigned kind = 0; kind < LoadKinds.size(); ++kind) {
            Route &route = table.routes[LoadKinds.at(kind).route];
            route.database = LoadKinds.at(kind).route;
            route.group = PoolerFixture::Group;
            route.consistency = LoadKinds.at(kind).consistency;
            route.timeout = LoadKinds.at(kind).timeout;
            route.latencyObjective = LoadKinds.at(kind).objective;
            route.maxAge = milliseconds(2000);
            route.priority = kind;
        }
        for (std::size_t team = 0; team < teams; ++team) {
            const TeamId id("team" + std::to_string(team));
            table.teams[id] = Team();
            table.teamsByKey[keyOf(team)] = id;
        }
        this->fixture.pooler.routesReceived(table, this->fixture.now);
        this->fixture.extendLease(std::chrono::minutes(10));
        this->run(std::chrono::seconds(2));
        this->resetTallies();
    }

    void run(Duration time)
    {
        const TimePoint end = this->fixture.now + time;
        while (this->fixture.now < end) {
            this->fixture.now += milliseconds(1);
            this->arrive();
            this->openConnections();
            this->runTargets();
            this->fixture.pooler.advance(this->fixture.now);
            this->collect();
        }
    }

    // Breaks the connections to the target; none can be opened before `until`.
    void stop(const TargetId &target, TimePoint until = TimePoint::max())
    {
        this->stoppedUntil[target] = until;
        const auto connections = this->fixture.targetOf;
        for (const auto &[connection, of] : connections) {
            if (of == target && this->fixture.closedConnections.count(connection) == 0)
                this->fixture.closeConnection(connection);
        }
    }

    // Counts only operations that begin from now on.
    void resetTallies()
    {
        this->byTeam.clear();
        this->byKind.clear();
        this->countedFrom = this->fixture.now;
    }

    PoolerFixture fixture;
    std::map<std::size_t, LoadTally> byTeam;
    std::map<std::size_t, LoadTally> byKind;
    // Multiples of each team's usual load; all teams have the same.
    std::vector<double> factors;
    double burst = 1;
    // Callers give up after their objective divided by this, if it is not 0.
    int patienceDivisor = 0;

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
        for (std::size_t team = 0; team < this->factors.size(); ++team) {
            for (std::size_t kind = 0; kind < LoadKinds.size(); ++kind) {
                const LoadKind &of = LoadKinds.at(kind);
                const double mean = of.rate / 1000 / double(this->factors.size())
                                    * this->factors[team] * this->burst;
                for (int n = std::poisson_distribution<int>(mean)(this->random); n > 0; --n) {
                    const SessionNumber session = this->fixture.open(of.route, keyOf(team));
                    this->calls[session] = {team, kind, this->fixture.now};
                    this->fixture.submit(session, of.statement, absl::StrCat(kind, "-", session));
                }
            }
        }
    }

    void openConnections()
    {
        while (!this->fixture.opening.empty()) {
            const auto [connection, target] = this->fixture.opening.front();
            this->fixture.opening.pop_front();
            if (this->fixture.now < this->stoppedUntil[target])
                this->fixture.closeConnection(connection, TargetFailure::Refused);
            else
                this->fixture.pooler.targetOpened(connection, LogPosition{1, 10},
                                                  this->fixture.now);
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
            if (this->fixture.now < began->second + LoadKinds.at(kind).work)
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
            const LoadKind &of = LoadKinds.at(call.kind);
            const bool isAnswered = this->fixture.answerCount(session) != 0;
            const Duration age = std::chrono::duration_cast<Duration>(this->fixture.now - call.at);
            const bool givesUp =
                this->patienceDivisor != 0 && age >= of.objective / this->patienceDivisor;
            if (!isAnswered && !givesUp) {
                ++entry;
                continue;
            }
            const bool isFault = isAnswered && this->fixture.lastAnswer(session).fault;
            for (LoadTally *tally : {&this->byTeam[call.team], &this->byKind[call.kind]}) {
                if (call.at < this->countedFrom)
                    continue;
                ++tally->sent;
                tally->inTime += isAnswered && !isFault && age <= of.objective ? 1 : 0;
                tally->heldAndRefused += isFault && age * 2 > of.timeout ? 1 : 0;
            }
            this->fixture.pooler.sessionClosed(session, this->fixture.now);
            this->fixture.answers.erase(session);
            entry = this->calls.erase(entry);
        }
    }

    std::map<SessionNumber, Call> calls;
    std::map<std::string, TimePoint> beganAt;
    std::map<TargetId, TimePoint> stoppedUntil;
    TimePoint countedFrom;
    std::mt19937 random;
};

} // namespace rhubarbweir::fakes
