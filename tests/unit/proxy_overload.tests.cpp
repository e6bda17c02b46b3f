// Behaviour under load beyond capacity and with replicas that lag far behind.
#include "fakes/open_loop.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;
using std::chrono::milliseconds;

namespace {

const std::vector<std::string> SixCallers = {"a", "b", "c", "d", "e", "f"};

// Approximate capacity, in reads per second, of 2 replicas with 3 slots each: a read takes 2 ms of
// service time and 3 ms on the network.
constexpr double Capacity = 1150;

void boundedRead(CallerRequest &request)
{
    request.consistency = Consistency::Bounded;
}

OpenLoopResult runReads(std::uint64_t seed, double rate)
{
    ProxyFixture fixture(seed);
    OpenLoop load(fixture, SixCallers);
    const auto result = load.run(rate, std::chrono::seconds(2), boundedRead);
    cr_assert(fixture.ruleViolations().empty(), "%s", fixture.ruleViolations().front().c_str());
    return result;
}

} // namespace

Test(proxy_overload, goodput,
     .description = "ten times the capacity keeps at least nine tenths of the goodput")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto atCapacity = runReads(seed, Capacity);
        const auto overloaded = runReads(seed, 10 * Capacity);
        cr_assert(overloaded.ok >= atCapacity.ok * 9 / 10, "seed %d: %d of %d",
                  static_cast<int>(seed), static_cast<int>(overloaded.ok),
                  static_cast<int>(atCapacity.ok));
        cr_assert(overloaded.unanswered == 0 && overloaded.late == 0);
        cr_assert(atCapacity.unanswered == 0 && atCapacity.late == 0);
        cr_assert(overloaded.reasons.count(Reason::Overloaded) > 0);
    }
}

Test(proxy_overload, fairness,
     .description = "a caller that floods the proxy does not starve another one")
{
    ProxyFixture fixture(7);
    OpenLoop load(fixture, {"flood", "flood", "flood", "flood", "flood", "quiet"});
    const auto result = load.run(10 * Capacity, std::chrono::seconds(1), boundedRead);
    const double flood = result.okOf.at(CallerId("flood"));
    const double quiet = result.okOf.at(CallerId("quiet"));
    // "quiet" sends a sixth of the requests; a fair queue gives it about half of the capacity.
    cr_assert(quiet > 0.7 * flood, "quiet %f, flood %f", quiet, flood);
}

Test(proxy_overload, replicas_behind,
     .description = "session reads stay consistent when replicas lag far behind")
{
    FixtureSettings settings;
    settings.limits.applyLag = std::chrono::seconds(30);
    ProxyFixture fixture(3, settings);
    OpenLoop load(fixture, SixCallers);
    std::mt19937_64 random(3);
    const auto result = load.run(1500, std::chrono::seconds(1), [&](CallerRequest &request) {
        request.kind = random() % 5 == 0 ? RequestKind::Write : RequestKind::Read;
    });
    cr_assert(result.unanswered == 0 && result.late == 0);
    // Every session has written, so its reads need the primary, which reserves most slots for
    // writes.
    cr_assert(fixture.database("d1").maxConcurrentReads <= 2);
    const auto &statementsByKind = fixture.database("d1").statementsByKind;
    const double reads = statementsByKind.at(StatementKind::Read);
    const double writes = statementsByKind.at(StatementKind::Write);
    cr_assert(writes > 240, "%f of about 300 writes ran, with %f reads", writes, reads);
    cr_assert(reads > 50, "%f reads ran, with %f writes", reads, writes);
    cr_assert(result.reasons.at(Reason::None) > 300);
}
