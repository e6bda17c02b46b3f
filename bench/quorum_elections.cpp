// Time from the loss of a quorum leader to the next leader with a lease, in virtual time.
//
// Usage: quorum_elections VOTERS SEEDS kill|cut
#include "unit/support/quorum_cluster.hpp"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace {

using namespace rhubarbweir;
using namespace std::chrono_literals;

// Milliseconds until another leader holds a lease; negative when the run failed.
double electionTime(std::uint64_t seed, std::size_t voters, bool kill)
{
    QuorumCluster cluster(seed, voters);
    cluster.startAll();
    if (!cluster.commitOne())
        return -1;
    cluster.runFor(1s + Duration(static_cast<std::int64_t>(cluster.random() % 100000)));
    const std::size_t old = *cluster.leader();
    const TimePoint lost = cluster.time;
    if (kill)
        cluster.crash(old);
    else
        cluster.isolate(old);
    const bool elected =
        cluster.runUntil(30s, [&] { return cluster.leader() && *cluster.leader() != old; });
    const std::chrono::duration<double, std::milli> waited = cluster.time - lost;
    return elected ? waited.count() : -1;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: quorum_elections VOTERS SEEDS kill|cut\n");
        return 2;
    }
    const std::size_t voters = std::stoul(argv[1]);
    const std::uint64_t seeds = std::stoull(argv[2]);
    std::vector<double> times;
    for (std::uint64_t seed = 0; seed < seeds; ++seed)
        times.push_back(electionTime(seed, voters, std::string(argv[3]) == "kill"));
    std::sort(times.begin(), times.end());
    const auto share = [&times](double part) {
        return times[static_cast<std::size_t>(part * static_cast<double>(times.size() - 1))];
    };
    std::printf("runs=%zu min_ms=%.0f p50_ms=%.0f p90_ms=%.0f p99_ms=%.0f max_ms=%.0f\n",
                times.size(), times.front(), share(0.5), share(0.9), share(0.99), times.back());
    return times.front() < 0 ? 1 : 0;
}
