// What the quorum log replicates and stores: members, entries, snapshots and the hard state.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/opaque_bytes.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbweir {

// A control instance as the settings name it.
struct QuorumPeer
{
    InstanceId instance;
    std::string address;
    FailureDomainId failureDomain;
};

// One life of a data folder. An instance that lost its folder returns with another incarnation
// and is then another member: what the old one promised does not bind it, so it never votes for it.
struct QuorumMember
{
    QuorumPeer peer;
    // Random, never 0; unique for each life of a data folder.
    std::uint64_t incarnation = 0;

    friend bool operator==(const QuorumMember &a, const QuorumMember &b)
    {
        return a.peer.instance == b.peer.instance && a.incarnation == b.incarnation;
    }
};

struct QuorumMembership
{
    std::vector<QuorumMember> voters;
    // Receive all entries; neither vote nor count for a commit.
    std::vector<QuorumMember> learners;
    // Number of voters to keep; replacements fill up to it.
    std::uint32_t voterTarget = 0;
    // Added by an operator: may join although no settings name them.
    std::vector<QuorumPeer> admitted;
    // Removed by an operator: may not join until added again.
    std::vector<InstanceId> barred;
};

enum class EntryKind {
    // Written by a new leader to commit what its predecessors left.
    Empty,
    Payload,
    Membership,
};

template<>
struct EnumNames<EntryKind>
{
    static constexpr std::string_view Names[] = {"empty", "payload", "membership"};
};

struct QuorumEntry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Empty;
    OpaqueBytes payload;
    // Set for EntryKind::Membership only.
    QuorumMembership membership;
};

// The state after the entry at `index`.
struct QuorumSnapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    QuorumMembership membership;
    OpaqueBytes state;
};

// What an instance must remember besides its entries. Durable before any message that rests on it.
struct QuorumHardState
{
    std::uint64_t incarnation = 0;
    // Identity of the cluster; 0 until the instance belongs to one.
    std::uint64_t clusterId = 0;
    // Incarnation of the bootstrapping instance whose cluster this empty instance agreed to join.
    std::uint64_t bootstrapPromise = 0;
    std::uint64_t term = 0;
    // Empty when no vote was given in `term`.
    InstanceId votedFor;
    std::uint64_t votedForIncarnation = 0;
};

} // namespace rhubarbweir
