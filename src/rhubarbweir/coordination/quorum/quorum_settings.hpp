// Settings and hooks of the quorum log.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_messages.hpp"
#include "rhubarbweir/coordination/quorum/quorum_storage.hpp"
#include "rhubarbweir/state/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace rhubarbweir {

struct QuorumSettings
{
    QuorumPeer self;
    // Has to be the same on all instances at the first start. Those that are observers are left
    // out; the smallest of the others bootstraps the cluster.
    std::vector<QuorumPeer> initialVoters;
    // Learners that replace lost voters.
    std::vector<QuorumPeer> spares;
    // Allows an instance with an empty data folder to take part in the bootstrap of a new cluster.
    // Has no effect once any initial voter holds state.
    bool bootstrap = false;
    // Allows any instance to join as a learner, including those that are not in the settings.
    bool admitUnknown = false;
    // Desired number of voters in a new cluster, reached by promoting learners. It is at least the
    // number of initial voters, also if set to 0.
    std::uint32_t voterTarget = 0;

    Duration heartbeat = std::chrono::milliseconds(50);
    // An election starts at a random time between the two after the last message from a leader.
    Duration electionTimeoutMin = std::chrono::milliseconds(250);
    Duration electionTimeoutMax = std::chrono::milliseconds(500);
    // Two clocks differ in rate by at most 1 / clockDriftDivisor.
    std::uint32_t clockDriftDivisor = 20;
    // A voter that has not answered for this long is replaced if a majority is reachable and a
    // learner is up to date. A voter beyond the target is dropped after two election timeouts.
    Duration replaceAfter = std::chrono::seconds(30);

    // Limits of one append message.
    std::size_t maxBatchBytes = 256 * 1024;
    std::size_t maxBatchEntries = 512;
    // Unacknowledged appends with entries per follower.
    std::size_t maxInflightAppends = 8;
    // propose() refuses payloads that would bring the uncommitted ones above this size, in bytes.
    std::size_t maxUncommittedBytes = 8 * 1024 * 1024;
    // Maximum payload of one proposal, in bytes.
    std::size_t maxPayloadBytes = 512 * 1024;
    // A snapshot is due after this number of applied entries, or once the entries since the last
    // one have more bytes than `snapshotBytes` and than that snapshot. Together with
    // maxUncommittedBytes this bounds the log on disk.
    std::uint64_t snapshotInterval = 1000;
    std::size_t snapshotBytes = 4 * 1024 * 1024;
    // Entries before a snapshot that are retained in memory within both bounds, so that slightly
    // lagging followers do not need the snapshot.
    std::uint64_t trailingEntries = 200;
    std::size_t trailingBytes = 2 * 1024 * 1024;
    std::size_t snapshotChunkBytes = 256 * 1024;
};

// QuorumSettings::replaceAfter for a cluster in which the next instance may be lost `catchUpTime`
// after the replacement of a lost one has started. Leaves time for an election and the change of
// members. Never so short that a voter is replaced between two of its answers.
inline Duration voterReplaceDelay(Duration catchUpTime)
{
    constexpr Duration minimum = std::chrono::seconds(1);
    return std::max(minimum, Duration(catchUpTime * 3 / 4));
}

struct QuorumEventField
{
    std::string key;
    std::string value;
};

struct QuorumHooks
{
    std::function<void(const InstanceId &, const QuorumMessage &)> send;
    // Writes and syncs the batch, then calls QuorumLog::persisted() with its token, or
    // persistFailed() if any step failed. Both may be called from within this hook. Only one batch
    // is in flight at a time; later changes go into the next one.
    std::function<void(const PersistBatch &)> persist;
    // Called for committed payloads in index order, once for each index after the last
    // restoreSnapshot(). After a restart all committed entries since the snapshot are applied
    // again.
    std::function<void(std::uint64_t index, const std::string &payload)> apply;
    // Serializes the state machine after the last applied entry.
    std::function<std::string()> makeSnapshot;
    // Replaces the state machine. `index` is the last entry included in `state`.
    std::function<void(const std::string &state, std::uint64_t index)> restoreSnapshot;
    // Reports an event with its cause for the event log. May be empty.
    std::function<void(const std::string &name, const std::vector<QuorumEventField> &fields)> event;
};

} // namespace rhubarbweir
