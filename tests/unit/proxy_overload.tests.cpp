// Load beyond capacity, and replicas far behind.
#include "fakes/open_loop.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;
using std::chrono::milliseconds;

namespace {

const std::vector<std::string> SixCallers = {"a", "b", "c", "d", "e", "f"};

// About what 2 replicas with 3 slots serve: 2 ms of service and 3 ms on the way for each.
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
    cr_assert(fixture.breaches().empty(), "%s", fixture.breaches().front().c_str());
    return result;
}

} // namespace

Test(proxy_overload, goodput, .description = "ten times the capacity keeps nine tenths of goodput")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto atCapacity = runReads(seed, Capacity);
        const auto crowd = runReads(seed, 10 * Capacity);
        cr_assert(crowd.ok >= atCapacity.ok * 9 / 10, "seed %d: %d of %d", static_cast<int>(seed),
                  static_cast<int>(crowd.ok), static_cast<int>(atCapacity.ok));
        cr_assert(crowd.unanswered == 0 && crowd.late == 0);
        cr_assert(atCapacity.unanswered == 0 && atCapacity.late == 0);
        cr_assert(crowd.reasons.count(Reason::Overloaded) > 0);
    }
}

Test(proxy_overload, fairness, .description = "the flood of one caller does not starve another")
{
    ProxyFixture fixture(7);
    OpenLoop load(fixture, {"flood", "flood", "flood", "flood", "flood", "quiet"});
    const auto result = load.run(10 * Capacity, std::chrono::seconds(1), boundedRead);
    const double flood = result.okOf.at(CallerId("flood"));
    const double quiet = result.okOf.at(CallerId("quiet"));
    // "quiet" sends a sixth of the requests; with a fair queue it gets about half of what runs.
    cr_assert(quiet > 0.7 * flood, "quiet %f, flood %f", quiet, flood);
}

Test(proxy_overload, behind, .description = "session reads stay right when replicas are far behind")
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
    // Every session wrote, so its reads need the primary, which keeps most slots for writes.
    cr_assert(fixture.database("d1").mostReads <= 2);
    const auto &kinds = fixture.database("d1").kinds;
    const double reads = kinds.at(StatementKind::Read);
    const double writes = kinds.at(StatementKind::Write);
    cr_assert(writes > 240, "writes %f of about 300 came through beside %f reads", writes, reads);
    cr_assert(reads > 50, "reads %f beside %f writes", reads, writes);
    cr_assert(result.reasons.at(Reason::None) > 300);
}
