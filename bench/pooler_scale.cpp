// Measures the processor time of one SessionPooler with many targets and sessions, in virtual time.
// Usage: pooler_scale [TARGETS SESSIONS LIMIT]
// LIMIT is the connection limit of each target; there are 1.25 poolers for each target.
//
// Each session runs three statements per second, a fifth of them writes, on a route of its own
// group. Targets answer after 10 ms and accept connections after 14 ms. A renewal is sent every
// 500 ms, and once per second the primary of one group changes. As in the program, each event ends
// with a call of nextDeadline().
#include "rhubarbweir/coordination/sessions/session_pooler.hpp"

#include <absl/strings/str_cat.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

using namespace rhubarbweir;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration AnswerTime = milliseconds(10);
constexpr Duration ConnectTime = milliseconds(14);
constexpr Duration RenewInterval = milliseconds(500);
constexpr Duration ViewInterval = seconds(1);
constexpr Duration WarmUp = seconds(3);
constexpr Duration Measured = seconds(10);
constexpr double StatementsPerSecond = 3;
// Fewer connections than poolers from 42 poolers on.
constexpr std::uint32_t ScarceConnections = 46;
// Enough for each of 375 poolers.
constexpr std::uint32_t AmpleConnections = 800;

enum class Work {
    Statement,
    Renewal,
    Tick,
    View
};

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

class Benchmark
{
public:
    Benchmark(unsigned targets, unsigned sessions, std::uint32_t limit)
        : groupCount(targets / 3)
        , sessionCount(sessions)
        , connectionLimit(limit)
        , poolerCount(targets * 5 / 4)
        , pooler(makeSettings(), this->makeHooks())
    {
        this->pooler.routesReceived(this->routes(), this->now);
        this->pooler.viewReceived(this->wholeView(), this->now);
    }

    void run()
    {
        this->renew();
        this->changeView();
        for (SessionNumber session = 1; session <= this->sessionCount; ++session) {
            const unsigned group = static_cast<unsigned>(this->random() % this->groupCount);
            const char *const route = session % 5 == 0 ? "latest" : "bounded";
            this->pooler.sessionOpened(session, absl::StrCat(route, group), {}, this->now);
            this->submitLater(session);
        }
        const TimePoint begin = this->now + WarmUp;
        this->runUntil(begin);
        this->spent.clear();
        this->runUntil(begin + Measured);
        this->print();
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number = 0;
        Work work = Work::Statement;
        std::function<void()> act;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(this->at, this->number);
        }
    };

    struct Spent
    {
        std::uint64_t count = 0;
        double seconds = 0;
    };

    static PoolerSettings makeSettings()
    {
        PoolerSettings settings;
        settings.instance = InstanceId("pooler-17");
        settings.failureDomain = FailureDomainId("domain-1");
        return settings;
    }

    PoolerHooks makeHooks()
    {
        PoolerHooks hooks;
        hooks.answer = [this](SessionNumber session, const StatementAnswer &answer) {
            ++(answer.fault ? this->refused : this->answered);
            this->submitLater(session);
        };
        hooks.closeSession = [](SessionNumber) {
        };
        hooks.stateChanged = [](SessionNumber, std::size_t) {
        };
        hooks.openTarget = [this](ConnectionId id, const RegisteredTarget &, const TeamId &) {
            ++this->openConnections;
            this->after(ConnectTime, Work::Tick,
                        [this, id] { this->pooler.targetOpened(id, Position, this->now); });
        };
        hooks.sendToTarget = [this](ConnectionId id, const std::vector<TargetCommand> &commands) {
            StatementAnswer answer;
            answer.position = Position;
            for (std::size_t sent = 0; sent < commands.size(); ++sent)
                this->after(AnswerTime, Work::Statement, [this, id, answer] {
                    this->pooler.targetAnswered(id, answer, this->now);
                });
        };
        hooks.closeTarget = [this](ConnectionId) {
            --this->openConnections;
        };
        hooks.observationsChanged = [] {
        };
        hooks.finished = [](RouteConsistency, std::optional<StatementFault>, Duration) {
        };
        hooks.event = [](std::string_view, const PoolerEventFields &, bool) {
        };
        return hooks;
    }

    static GroupId groupId(unsigned group) { return GroupId(absl::StrCat("group-", group)); }

    RouteTable routes() const
    {
        RouteTable table;
        table.version = 1;
        for (unsigned group = 0; group < this->groupCount; ++group) {
            table.groups[groupId(group)].maxConnections = this->connectionLimit;
            Route route;
            route.group = groupId(group);
            route.maxAge = milliseconds(2000);
            route.database = absl::StrCat("latest", group);
            table.routes[route.database] = route;
            route.database = absl::StrCat("bounded", group);
            route.consistency = RouteConsistency::BoundedAge;
            table.routes[route.database] = route;
        }
        return table;
    }

    static TargetId targetId(unsigned group, unsigned member)
    {
        return TargetId(absl::StrCat("group-", group, "-", member));
    }

    FleetView wholeView()
    {
        FleetView view;
        view.revision = ++this->revision;
        for (unsigned group = 0; group < this->groupCount; ++group) {
            for (unsigned member = 0; member < 3; ++member) {
                RegisteredTarget target;
                target.target = targetId(group, member);
                target.group = groupId(group);
                target.address = absl::StrCat("10.1.2.3:", 1000 + 3 * group + member);
                target.failureDomain = FailureDomainId(absl::StrCat("domain-", member));
                view.targets.push_back(target);
            }
            view.authorities.push_back(this->authority(group));
        }
        return view;
    }

    PrimaryAuthority authority(unsigned group)
    {
        PrimaryAuthority authority;
        authority.group = groupId(group);
        authority.generation = ++this->generations[group];
        authority.primary = targetId(group, authority.generation % 3);
        return authority;
    }

    void after(Duration delay, Work work, std::function<void()> act)
    {
        this->events.push({this->now + delay, ++this->lastEvent, work, std::move(act)});
    }

    void submitLater(SessionNumber session)
    {
        std::exponential_distribution<double> gap(StatementsPerSecond / 1e6);
        this->after(Duration(static_cast<Duration::rep>(gap(this->random))), Work::Statement,
                    [this, session] {
                        TextStatement statement;
                        statement.id = absl::StrCat("s", ++this->lastStatement);
                        statement.kind =
                            session % 5 == 0 ? TextStatementKind::Write : TextStatementKind::Read;
                        statement.text = absl::StrCat("statement ", statement.id);
                        this->pooler.statement(session, std::move(statement), this->now);
                    });
    }

    void renew()
    {
        this->pooler.observations();
        this->pooler.overloadedGroups(this->now);
        std::vector<GroupPosition> positions;
        for (const auto &[group, generation] : this->generations)
            positions.push_back({groupId(group), generation, Position, milliseconds(50)});
        this->pooler.positionsReceived(positions, this->now, this->now);
        this->pooler.leaseReceived(this->now + seconds(4), this->poolerCount, 0, this->now);
        this->pooler.positionsToReport(this->now);
        this->after(RenewInterval, Work::Renewal, [this] { this->renew(); });
    }

    void changeView()
    {
        FleetView view;
        view.baseRevision = this->revision;
        view.revision = ++this->revision;
        view.authorities = {
            this->authority(static_cast<unsigned>(this->random() % this->groupCount))};
        this->pooler.viewReceived(view, this->now);
        this->after(ViewInterval, Work::View, [this] { this->changeView(); });
    }

    void runUntil(TimePoint end)
    {
        while (this->now < end) {
            const TimePoint tick = std::max(this->now, this->nextTick);
            if (!this->events.empty() && this->events.top().at <= tick) {
                const Event event = this->events.top();
                this->events.pop();
                this->now = event.at;
                this->measure(event.work, event.act);
            } else {
                this->now = tick;
                this->measure(Work::Tick, [this] { this->pooler.advance(this->now); });
            }
        }
    }

    void measure(Work work, const std::function<void()> &act)
    {
        const double begin = processorSeconds();
        act();
        this->nextTick = this->pooler.nextDeadline();
        Spent &sum = this->spent[work];
        ++sum.count;
        sum.seconds += processorSeconds() - begin;
    }

    void print()
    {
        double total = 0;
        for (const auto &[work, sum] : this->spent)
            total += sum.seconds;
        const auto each = [this](Work work, std::uint64_t count) {
            return this->spent[work].seconds * 1e6 / static_cast<double>(count);
        };
        const auto statements = static_cast<std::uint64_t>(
            StatementsPerSecond * static_cast<double>(this->sessionCount)
            * static_cast<double>(std::chrono::duration_cast<seconds>(Measured).count()));
        std::printf(
            "%7u %8u %6u %10.1f %10.1f %8.1f %8.1f %10.2f %11ld %9lu %8lu\n", this->groupCount * 3,
            this->sessionCount, this->connectionLimit, each(Work::Statement, statements),
            each(Work::Renewal, this->spent[Work::Renewal].count),
            each(Work::Tick, this->spent[Work::Tick].count),
            each(Work::View, this->spent[Work::View].count),
            100 * total * 1e6
                / static_cast<double>(std::chrono::duration_cast<Duration>(Measured).count()),
            this->openConnections, this->answered, this->refused);
    }

    static inline const LogPosition Position{1, 10};

    const unsigned groupCount;
    const unsigned sessionCount;
    const std::uint32_t connectionLimit;
    const std::uint32_t poolerCount;
    TimePoint now = TimePoint(seconds(1000));
    TimePoint nextTick = now;
    std::priority_queue<Event> events;
    std::uint64_t lastEvent = 0;
    std::uint64_t lastStatement = 0;
    std::uint64_t revision = 0;
    std::map<unsigned, std::uint64_t> generations;
    std::map<Work, Spent> spent;
    std::mt19937_64 random{1};
    long openConnections = 0;
    unsigned long answered = 0;
    unsigned long refused = 0;
    SessionPooler pooler;
};

} // namespace

int main(int argc, char **argv)
{
    std::printf("                        processor time in microseconds for each\n"
                "targets sessions  limit  statement    renewal     tick     view"
                " %% of a CPU connections  answered  refused\n");
    if (argc == 4) {
        Benchmark(static_cast<unsigned>(std::atoi(argv[1])),
                  static_cast<unsigned>(std::atoi(argv[2])),
                  static_cast<std::uint32_t>(std::atoi(argv[3])))
            .run();
        return EXIT_SUCCESS;
    }
    for (const unsigned targets : {30U, 300U, 3000U}) {
        for (const unsigned sessions : {35U, 200U})
            Benchmark(targets, sessions, ScarceConnections).run();
    }
    Benchmark(300, 35, AmpleConnections).run();
    // More statements than the connections can run, so that the queue is full.
    Benchmark(30, 1000, ScarceConnections).run();
    return EXIT_SUCCESS;
}
