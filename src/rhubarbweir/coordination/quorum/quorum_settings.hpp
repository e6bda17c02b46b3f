// Settings and hooks of the quorum log.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_messages.hpp"
#include "rhubarbweir/coordination/quorum/quorum_storage.hpp"
#include "rhubarbweir/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace rhubarbweir {

struct QuorumSettings
{
    QuorumPeer self;
    // The same list on all instances; the smallest instance id of it bootstraps the cluster.
    std::vector<QuorumPeer> initialVoters;
    // Kept as learners; one takes the place of a lost voter.
    std::vector<QuorumPeer> spares;
    // Lets an instance with an empty folder take part in the first start of a cluster. It has no
    // effect once any initial voter holds state.
    bool bootstrap = false;
    // Any instance that asks may join as a learner, also one that no settings name.
    bool admitUnknown = false;
    // Voters that a new cluster aims for; 0 for as many as there are initial voters. Learners fill
    // up to it.
    std::uint32_t voterTarget = 0;

    Duration heartbeat = std::chrono::milliseconds(50);
    // An election starts between the two after the last word of a leader.
    Duration electionTimeoutMin = std::chrono::milliseconds(250);
    Duration electionTimeoutMax = std::chrono::milliseconds(500);
    // Greatest relative difference between the rates of two clocks, as 1 / clockDriftDivisor.
    std::uint32_t clockDriftDivisor = 20;
    // A voter silent for this long is replaced, as long as the majority is alive and a learner
    // has caught up.
    Duration replaceAfter = std::chrono::seconds(30);

    // Bounds of one append.
    std::size_t maxBatchBytes = 256 * 1024;
    std::size_t maxBatchEntries = 512;
    // Appends with entries on the way to one follower.
    std::size_t maxInflightAppends = 8;
    // Proposals beyond this many bytes wait for a commit: propose() refuses them.
    std::size_t maxUncommittedBytes = 16 * 1024 * 1024;
    // Greatest payload of one proposal, in bytes.
    std::size_t maxPayloadBytes = 512 * 1024;
    // Entries applied between two snapshots.
    std::uint64_t snapshotEvery = 1000;
    // Entries kept behind a snapshot for followers that lag a little.
    std::uint64_t entriesKept = 200;
    std::size_t snapshotChunkBytes = 256 * 1024;
};

struct QuorumEventField
{
    std::string key;
    std::string value;
};

struct QuorumHooks
{
    std::function<void(const InstanceId &, const QuorumMessage &)> send;
    // Writes and syncs the batch, then calls QuorumLog::persisted() with its token, or
    // persistFailed() when any step failed. May answer from within the call. The log hands out one
    // batch at a time; what is proposed meanwhile goes into the next one.
    std::function<void(const PersistBatch &)> persist;
    // Called for committed payloads in index order, once for each index after the last
    // restoreSnapshot(). After a restart all entries behind the snapshot are applied again.
    std::function<void(std::uint64_t index, const std::string &payload)> apply;
    // The whole state machine after the last applied entry.
    std::function<std::string()> makeSnapshot;
    // Replaces the state machine; `index` is the last entry that it holds.
    std::function<void(const std::string &state, std::uint64_t index)> restoreSnapshot;
    // An event with its cause, for the event log. May be empty.
    std::function<void(const std::string &name, const std::vector<QuorumEventField> &fields)> event;
};

} // namespace rhubarbweir
