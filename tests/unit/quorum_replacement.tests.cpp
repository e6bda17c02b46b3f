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
// Time for which a program waits for the confirmation that it may stop.
constexpr seconds LeaveLimit{3};
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

    // Stops the instance as a program does; it is gone for good after that.
    bool stopAsPlanned(std::size_t number)
    {
        QuorumNode &node = this->cluster.nodes[number];
        node.log->leave(this->cluster.local(node));
        const bool hasLeft = this->cluster.runUntil(LeaveLimit, [&] {
            // advance() is due again, as leave() was no event of the cluster.
            if (!node.log->hasLeft())
                node.log->advance(this->cluster.local(node));
            return node.log->hasLeft();
        });
        this->cluster.crash(number);
        return hasLeft;
    }

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

// Guards against a successor that answers a little later than others and never counts as ready.
Test(
    quorum_replacement, successor_under_load,
    .description = "a learner takes the vote of a lost voter while entries are always on their way")
{
    QuorumCluster cluster(5, 3, 1);
    cluster.startAll();
    cr_assert(cluster.commitOne());
    cluster.crash((*cluster.leader() + 1) % 3);
    cluster.nodes[3].distance = milliseconds(30);
    const std::function<void()> propose = [&cluster, &propose] {
        for (std::size_t number = 0; number < cluster.nodes.size(); ++number)
            (void)cluster.propose(number);
        cluster.schedule(milliseconds(5), propose);
    };
    propose();
    cr_assert(cluster.runUntil(seconds(5), [&cluster] {
        const auto leading = cluster.leader();
        if (!leading)
            return false;
        const auto &voters = cluster.nodes[*leading].log->membership().voters;
        return std::any_of(voters.begin(), voters.end(), [&cluster](const QuorumMember &voter) {
            return voter.incarnation == cluster.nodes[3].lastIncarnation;
        });
    }));
}

// Guards against a vote that nobody hands over when its voter stops for good.
Test(quorum_replacement, folder_lost_after_a_planned_stop,
     .description = "a folder lost after a voter was replaced as planned ends no cluster")
{
    runSeeds([](ReplacementRun &run) {
        run.startVoters();
        run.startLearner();
        const std::size_t leaving = run.voter(run.cluster.random() % 3);
        run.cluster.check(run.stopAsPlanned(leaving), "the voter could not leave in time");
        run.wait(milliseconds(3000));
        run.cluster.check(run.cluster.awaitLeader(), "no leader after the planned stop");
        std::size_t wiped = run.cluster.random() % 4;
        while (wiped == leaving)
            wiped = run.cluster.random() % 4;
        run.loseFolder(wiped, milliseconds(1000));
        run.checkRecovery();
    });
}

Test(quorum_replacement, successor_not_ready,
     .description = "a voter leaves at once if no learner can take its vote, and votes on later")
{
    runSeeds([](ReplacementRun &run) {
        run.startVoters();
        const std::size_t leaving = run.voter(run.cluster.random() % 3);
        run.cluster.check(run.stopAsPlanned(leaving), "the voter could not leave in time");
        run.cluster.check(run.cluster.commitOne(), "two of three voters do not commit");
        run.wait(milliseconds(2000));
        run.cluster.start(leaving);
        run.cluster.runFor(seconds(2));
        run.cluster.crash(run.voter(1));
        run.checkRecovery();
    });
}

Test(quorum_replacement, two_planned_stops,
     .description = "of two voters that leave together one is replaced, and both return")
{
    runSeeds([](ReplacementRun &run) {
        run.startVoters();
        run.startLearner();
        const std::size_t first = run.voter(run.cluster.random() % 3);
        const std::size_t second = (first + 1) % 3;
        for (const std::size_t number : {first, second}) {
            QuorumNode &node = run.cluster.nodes[number];
            node.log->leave(run.cluster.local(node));
        }
        run.cluster.runFor(LeaveLimit);
        for (const std::size_t number : {first, second})
            run.cluster.crash(number);
        run.wait(milliseconds(1500));
        for (const std::size_t number : {first, second})
            run.cluster.start(number);
        run.checkRecovery();
    });
}

Test(quorum_replacement, stop_cut_short,
     .description = "a planned stop that is cut short by a kill costs no more than a lost voter")
{
    runSeeds([](ReplacementRun &run) {
        run.startVoters();
        run.startLearner();
        const std::size_t leaving = run.voter(run.cluster.random() % 3);
        QuorumNode &node = run.cluster.nodes[leaving];
        node.log->leave(run.cluster.local(node));
        run.wait(milliseconds(400));
        run.cluster.crash(leaving);
        run.cluster.runFor(seconds(5));
        const std::size_t wiped = (leaving + 1 + run.cluster.random() % 2) % 3;
        run.loseFolder(wiped, milliseconds(500));
        run.checkRecovery();
    });
}
