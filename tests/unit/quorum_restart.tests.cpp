// Test of the quorum log when all instances are killed at once while many entries are on their way,
// with the timing of the program and up to 30 ms between instances. A leader that serves reads
// before it has applied what its predecessor acknowledged would answer with an older configuration.
#include "unit/support/quorum_cluster.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using std::chrono::milliseconds;

namespace {

// A crowd registers within 0.3 s, and all instances are killed meanwhile.
void killAll(std::uint64_t seed)
{
    QuorumCluster cluster(seed, 5, 2);
    cluster.settings.heartbeat = milliseconds(75);
    cluster.settings.electionTimeoutMin = milliseconds(200);
    cluster.settings.electionTimeoutMax = milliseconds(350);
    cluster.maxDelay = milliseconds(30);
    cluster.maxSyncDelay = milliseconds(20);
    cluster.startAll();
    cluster.check(cluster.commitOne(), "no entry was committed after the start");
    for (int round = 0; round < 4; ++round) {
        const auto leading = cluster.leader();
        const auto entries = static_cast<int>(50 + cluster.random() % 250);
        for (int entry = 0; leading && entry < entries; ++entry) {
            cluster.propose(*leading);
            cluster.runFor(milliseconds(1));
        }
        for (std::size_t number = 0; number < cluster.nodes.size(); ++number)
            cluster.crash(number);
        cluster.runFor(milliseconds(1000));
        cluster.startAll();
        // The cluster checks that a leader with a lease has applied every entry that any instance
        // had applied.
        cluster.check(cluster.awaitLeader(milliseconds(2000)), "no leader 2 s after the restart");
        cluster.check(cluster.commitOne(), "no entry was committed after the restart");
    }
}

} // namespace

Test(quorum_restart, all_killed,
     .description = "After all instances were killed under load a leader serves within 2 s, and "
                    "only with every acknowledged entry")
{
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        try {
            killAll(seed);
        } catch (const std::exception &error) {
            cr_assert_fail("seed %llu: %s", static_cast<unsigned long long>(seed), error.what());
        }
    }
}
