// Measures what the limits of teams cost for each renewal of a pooler: processor time of the leader
// and of the pooler, with and without the codec, and bytes on the wire, by teams in use there.
#include "rhubarbweir/coordination/fleet/budget_allocator.hpp"
#include "rhubarbweir/coordination/sessions/team_budget.hpp"
#include "rhubarbweir/protocol/codec.hpp"

#include <benchmark/benchmark.h>
#include <chrono>
#include <string>

namespace {

using namespace rhubarbweir;

// About the number of teams and poolers of a large site.
constexpr int Teams = 77;
constexpr int Poolers = 300;
constexpr std::chrono::milliseconds RenewInterval{500};

TeamId teamOf(int number)
{
    return TeamId("team-" + std::to_string(number));
}

ProxyRun runOf(int number)
{
    return {InstanceId("i-" + std::to_string(100000000 + number)), 1};
}

// A leader and one pooler among many, at which `teams` teams have operations in each interval.
class Exchange
{
public:
    explicit Exchange(int teams)
        : inUse(teams)
        , allocator({std::chrono::seconds(5), 0.1, 20, std::chrono::seconds(3)},
                    [](const TeamId &, const auto &) {})
    {
        std::map<TeamId, TeamLimit> limits;
        for (int team = 0; team < Teams; ++team)
            limits[teamOf(team)] = {100000, 100000};
        this->allocator.setPoolers(Poolers, this->now);
        this->allocator.beginLeadership();
        this->allocator.start({}, this->now);
        this->allocator.setLimits(limits, this->now);
    }

    TokenReport report()
    {
        this->now += RenewInterval;
        for (int team = 0; team < this->inUse; ++team) {
            this->budget.arrived(teamOf(team));
            if (const auto token = this->budget.take(teamOf(team), this->now))
                this->budget.settle(teamOf(team), *token, true, this->now);
        }
        return this->budget.report(this->now);
    }
    TokenAnswer answer(const TokenReport &report)
    {
        this->allocator.advance(this->now);
        return this->allocator.answer(runOf(0), report, this->now);
    }
    void answered(const TokenAnswer &answer) { this->budget.answered(answer, this->now); }

private:
    int inUse;
    BudgetAllocator allocator;
    TeamBudget budget;
    TimePoint now;
};

RenewLease renewalWith(const TokenReport &report)
{
    RenewLease renewal;
    renewal.proxy = runOf(0).proxy;
    renewal.tokens = report;
    return renewal;
}

// One renewal: the decisions of both sides.
void decide(benchmark::State &state)
{
    Exchange exchange(static_cast<int>(state.range(0)));
    for (auto _ : state)
        exchange.answered(exchange.answer(exchange.report()));
}

// The same and the codec of both messages. Bytes are those that the tokens add.
void decideAndEncode(benchmark::State &state)
{
    Exchange exchange(static_cast<int>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::string sent = encode(renewalWith(exchange.report()));
        const auto received = decode(sent);
        FleetLease lease;
        lease.tokens = exchange.answer(*std::get<RenewLease>(*received).tokens);
        const std::string reply = encode(lease);
        exchange.answered(*std::get<FleetLease>(*decode(reply)).tokens);
        bytes += sent.size() + reply.size();
    }
    RenewLease without = renewalWith({});
    without.tokens.reset();
    const std::size_t base = encode(without).size() + encode(FleetLease{}).size();
    state.counters["bytes_added"] =
        static_cast<double>(bytes) / static_cast<double>(state.iterations())
        - static_cast<double>(base);
}

// The codec of a renewal and a lease without tokens, for comparison.
void encodeOnly(benchmark::State &state)
{
    RenewLease renewal = renewalWith({});
    renewal.tokens.reset();
    for (auto _ : state) {
        benchmark::DoNotOptimize(decode(encode(renewal)));
        benchmark::DoNotOptimize(decode(encode(FleetLease{})));
    }
}

} // namespace

BENCHMARK(decide)->Arg(0)->Arg(1)->Arg(5)->Arg(20)->Arg(77);
BENCHMARK(decideAndEncode)->Arg(0)->Arg(1)->Arg(5)->Arg(20)->Arg(77);
BENCHMARK(encodeOnly);

BENCHMARK_MAIN();
