// Measures the virtual time from the loss of a quorum leader until another leader holds a lease.
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

// Returns the time in milliseconds until another leader holds a lease, or a negative value if none
// did within 30 s or the cluster did not commit an entry before.
double measureElection(std::uint64_t seed, std::size_t voters, bool kill)
{
    QuorumCluster cluster(seed, voters);
    cluster.startAll();
    if (!cluster.commitOne())
        return -1;
    cluster.runFor(1s + Duration(static_cast<std::int64_t>(cluster.random() % 100000)));
    const std::size_t formerLeader = *cluster.leader();
    const TimePoint lostAt = cluster.time;
    if (kill)
        cluster.crash(formerLeader);
    else
        cluster.isolate(formerLeader);
    const bool elected = cluster.runUntil(
        30s, [&] { return cluster.leader() && *cluster.leader() != formerLeader; });
    const std::chrono::duration<double, std::milli> electionTime = cluster.time - lostAt;
    return elected ? electionTime.count() : -1;
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
        times.push_back(measureElection(seed, voters, std::string(argv[3]) == "kill"));
    std::sort(times.begin(), times.end());
    const auto quantile = [&times](double probability) {
        return times[static_cast<std::size_t>(probability * static_cast<double>(times.size() - 1))];
    };
    std::printf("runs=%zu min_ms=%.0f p50_ms=%.0f p90_ms=%.0f p99_ms=%.0f max_ms=%.0f\n",
                times.size(), times.front(), quantile(0.5), quantile(0.9), quantile(0.99),
                times.back());
    return times.front() < 0 ? 1 : 0;
}
