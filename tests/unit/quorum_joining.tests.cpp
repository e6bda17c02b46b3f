// Tests of how an instance without state becomes a member of a running cluster.
#include "rhubarbweir/coordination/fleet/observer_reply.hpp"
#include "unit/support/quorum_cluster.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace rhubarbweir;
using std::chrono::seconds;

namespace {

// Longer than replaceAfter of the cluster and a few requests to join.
constexpr seconds JoinLimit{5};

std::size_t followerOf(const QuorumCluster &cluster, std::size_t skipped = 0)
{
    return (cluster.leader().value() + 1 + skipped) % 3;
}

// Starts the three voters of a cluster that any instance may join.
void startVoters(QuorumCluster &cluster)
{
    cluster.settings.admitUnknown = true;
    cluster.settings.spares.clear();
    for (std::size_t number = 0; number < 3; ++number)
        cluster.start(number);
    cr_assert(cluster.commitOne());
}

bool isVoter(const QuorumCluster &cluster, std::size_t number)
{
    const auto leading = cluster.leader();
    if (!leading)
        return false;
    const QuorumNode &node = cluster.nodes[number];
    for (const QuorumMember &voter : cluster.nodes[*leading].log->membership().voters) {
        if (voter.peer.instance == node.peer.instance && voter.incarnation == node.lastIncarnation)
            return true;
    }
    return false;
}

} // namespace

Test(quorum_joining, seeds_name_a_follower,
     .description = "an instance whose seeds name only a follower joins in place of a lost voter")
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        QuorumCluster cluster(seed, 3, 1);
        startVoters(cluster);
        const std::size_t known = followerOf(cluster);
        cluster.crash(followerOf(cluster, 1));
        cluster.nodes[3].seeds = {cluster.nodes[known].peer};
        cluster.start(3);
        cr_assert(cluster.runUntil(JoinLimit, [&] { return isVoter(cluster, 3); }), "seed %d",
                  static_cast<int>(seed));
    }
}

Test(quorum_joining, seeds_name_no_member,
     .description = "a voter that lost its disk joins again though its seeds name no member")
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        QuorumCluster cluster(seed, 3);
        cluster.settings.admitUnknown = true;
        cluster.startAll();
        cr_assert(cluster.commitOne());
        const std::size_t wiped = followerOf(cluster);
        cluster.wipe(wiped);
        cluster.nodes[wiped].seeds = std::vector<QuorumPeer>();
        cluster.start(wiped);
        cr_assert(cluster.runUntil(JoinLimit, [&] { return isVoter(cluster, wiped); }), "seed %d",
                  static_cast<int>(seed));
    }
}

Test(quorum_joining, seeds_name_an_observer,
     .description = "an instance whose seeds name only an observer joins through its redirect")
{
    QuorumCluster cluster(1, 3, 1);
    startVoters(cluster);
    QuorumNode &joining = cluster.nodes[3];
    joining.seeds = std::vector<QuorumPeer>();
    cluster.start(3);
    cluster.crash(followerOf(cluster));
    QuorumJoin join;
    join.header.fromIncarnation = joining.log->incarnation();
    cr_assert_not(redirectJoin(join, "").has_value());
    const std::string leader = cluster.nodes[*cluster.leader()].peer.instance.value;
    const auto redirect = redirectJoin(join, leader);
    cr_assert(redirect.has_value());
    joining.log->receive(InstanceId("observer"), *redirect, cluster.local(joining));
    cr_assert(cluster.runUntil(JoinLimit, [&] { return isVoter(cluster, 3); }));
}

Test(quorum_joining, leader_gone_for_good,
     .description = "a leader that left for good is replaced before its successor has caught up")
{
    constexpr seconds CatchUpTime{4};
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        QuorumCluster cluster(seed, 3, 1);
        cluster.settings.replaceAfter = voterReplaceDelay(CatchUpTime);
        startVoters(cluster);
        cluster.nodes[3].seeds = {cluster.nodes[followerOf(cluster)].peer};
        cluster.crash(*cluster.leader());
        cluster.runFor(seconds(1));
        cluster.start(3);
        cr_assert(cluster.runUntil(CatchUpTime, [&] { return isVoter(cluster, 3); }), "seed %d",
                  static_cast<int>(seed));
    }
}

Test(quorum_joining, no_catch_up_time,
     .description = "a voter that answers is not replaced, however short the time to catch up is")
{
    for (const seconds catchUpTime : {seconds(0), seconds(-1)}) {
        QuorumCluster cluster(1, 3, 1);
        cluster.settings.replaceAfter = voterReplaceDelay(catchUpTime);
        cluster.startAll();
        cr_assert(cluster.commitOne());
        cluster.runFor(seconds(10));
        cr_assert(std::none_of(cluster.eventLines.begin(), cluster.eventLines.end(),
                               [](const std::string &line) {
                                   return line.find("quorum_voter_removed") != std::string::npos;
                               }));
    }
}

Test(quorum_joining, seeds_change_later,
     .description = "an instance that knows no member joins once its seeds name one")
{
    QuorumCluster cluster(1, 3, 1);
    startVoters(cluster);
    cluster.nodes[3].seeds = std::vector<QuorumPeer>();
    cluster.start(3);
    cluster.crash(followerOf(cluster));
    cr_assert_not(cluster.runUntil(JoinLimit, [&] { return isVoter(cluster, 3); }));
    cluster.nodes[3].log->setSeeds({cluster.nodes[followerOf(cluster, 1)].peer});
    cr_assert(cluster.runUntil(JoinLimit, [&] { return isVoter(cluster, 3); }));
}

Test(quorum_joining, second_disk_after_seed_turnover,
     .description = "two disks lost one after the other, with followers as seeds, lose no entry")
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        QuorumCluster cluster(seed, 3);
        cluster.settings.admitUnknown = true;
        cluster.startAll();
        cr_assert(cluster.commitOne());
        for (int lost = 0; lost < 3; ++lost) {
            const std::size_t wiped = followerOf(cluster);
            cluster.wipe(wiped);
            cluster.nodes[wiped].seeds = {cluster.nodes[followerOf(cluster, 1)].peer};
            cluster.start(wiped);
            cr_assert(cluster.runUntil(JoinLimit, [&] { return cluster.whole(); }), "seed %d",
                      static_cast<int>(seed));
        }
        cr_assert(cluster.commitOne());
        cr_assert(cluster.runUntil(seconds(2), [&] { return cluster.replicasAgree(); }));
    }
}

Test(quorum_joining, two_disks_at_power_loss,
     .description =
         "a cluster that grew to five voters survives two lost disks while all lose power")
{
    constexpr std::size_t Instances = 8;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        QuorumCluster cluster(seed, 3, Instances - 3);
        cluster.settings.admitUnknown = true;
        cluster.settings.voterTarget = 5;
        cluster.startAll();
        cr_assert(cluster.runUntil(JoinLimit, [&] {
            const auto leading = cluster.leader();
            return leading && cluster.nodes[*leading].log->membership().voters.size() == 5;
        }));
        cr_assert(cluster.commitOne());
        const std::size_t leader = *cluster.leader();
        std::size_t other = 0;
        while (other == leader || !isVoter(cluster, other))
            ++other;
        for (std::size_t number = 0; number < Instances; ++number)
            cluster.crash(number);
        for (const std::size_t wiped : {leader, other})
            cluster.wipe(wiped);
        cluster.startAll();
        cr_assert(cluster.commitOne(), "seed %d", static_cast<int>(seed));
        cr_assert(cluster.runUntil(seconds(5), [&] { return cluster.replicasAgree(); }));
    }
}
