// Randomized tests of the replacement of voters, reproducible by seed: instances that are down for
// a while, leave for good or restart as planned, while at most one data folder is lost in the
// seconds around it. The cluster commits again each time once the others are back.
#include "unit/support/quorum_cluster.hpp"

#include <criterion/criterion.h>

#include <cstdio>
#include <cstdlib>

using namespace rhubarbweir;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t Seeds = 400;
// Time of the recovery after the last instance is back.
constexpr seconds RecoveryLimit{12};

class ReplacementRun
{
public:
    explicit ReplacementRun(std::uint64_t seed)
        : cluster(seed, 3, 1)
    {
        this->cluster.settings.admitUnknown = true;
        this->cluster.settings.spares.clear();
        this->cluster.maxDelay = milliseconds(seed % 4 == 0 ? 40 : 4);
        this->cluster.maxSyncDelay = milliseconds(seed % 5 == 0 ? 30 : 4);
    }

    void startVoters()
    {
        for (std::size_t number = 0; number < 3; ++number)
            this->cluster.start(number);
        this->cluster.check(this->cluster.commitOne(), "no entry was committed after the start");
    }

    void startLearner()
    {
        this->cluster.nodes[3].seeds = {this->cluster.nodes[0].peer};
        this->cluster.start(3);
        this->cluster.runFor(seconds(5));
        this->cluster.check(this->cluster.awaitLeader(), "no leader after the start");
    }

    // Waits for a random time up to `limit`.
    void wait(milliseconds limit)
    {
        this->cluster.runFor(milliseconds(this->cluster.random() % limit.count()));
    }

    std::size_t leader() { return this->cluster.leader().value(); }
    // A voter of the first three, which counts from the leader on.
    std::size_t voter(std::size_t skipped) { return (this->leader() + skipped) % 3; }

    void loseFolder(std::size_t number, milliseconds downFor)
    {
        this->cluster.wipe(number);
        this->cluster.runFor(downFor);
        this->cluster.nodes[number].seeds = this->otherPeers(number);
        this->cluster.start(number);
    }

    void checkRecovery()
    {
        this->cluster.check(this->cluster.commitOne(RecoveryLimit),
                            "no entry was committed after the last instance was back");
    }

    QuorumCluster cluster;

private:
    std::vector<QuorumPeer> otherPeers(std::size_t number) const
    {
        std::vector<QuorumPeer> peers;
        for (std::size_t other = 0; other < this->cluster.nodes.size(); ++other) {
            if (other != number)
                peers.push_back(this->cluster.nodes[other].peer);
        }
        return peers;
    }
};

// RHUBARBWEIR_FIRST_SEED is added to all seeds, to run other ranges manually.
void runSeeds(const std::function<void(ReplacementRun &)> &schedule)
{
    const char *first = std::getenv("RHUBARBWEIR_FIRST_SEED");
    const std::uint64_t offset = first == nullptr ? 0 : std::stoull(first);
    for (std::uint64_t seed = offset; seed < offset + Seeds; ++seed) {
        ReplacementRun run(seed);
        try {
            schedule(run);
        } catch (const std::exception &error) {
            for (const std::string &line : run.cluster.eventLines)
                std::fprintf(stderr, "%s\n", line.c_str());
            cr_assert_fail("seed %llu: %s", static_cast<unsigned long long>(seed), error.what());
        }
    }
}

} // namespace

// Guards against a quorum of two that loses one folder while a learner stands by.
Test(quorum_replacement, folder_lost_beside_a_silent_voter,
     .description = "a folder lost while another voter is silent ends no cluster")
{
    runSeeds([](ReplacementRun &run) {
        run.startVoters();
        run.startLearner();
        const std::size_t down = run.voter(1 + run.cluster.random() % 2);
        const std::size_t wiped = run.voter(down == run.voter(1) ? 2 : 1);
        run.cluster.crash(down);
        // Around the time at which the silent voter is replaced.
        run.cluster.runFor(run.cluster.settings.replaceAfter - milliseconds(500));
        run.wait(milliseconds(800));
        run.cluster.wipe(wiped);
        run.wait(milliseconds(1000));
        run.cluster.start(down);
        run.wait(milliseconds(1000));
        run.loseFolder(wiped, milliseconds(500));
        run.checkRecovery();
    });
}
