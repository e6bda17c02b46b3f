// Data that the quorum log replicates and stores: members, entries, snapshots and hard state.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/opaque_bytes.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbweir {

// A control instance as listed in the settings.
struct QuorumPeer
{
    InstanceId instance;
    std::string address;
    FailureDomainId failureDomain;
};

// A control instance together with the incarnation of its data folder. An instance that lost its
// folder returns under a new incarnation and counts as a different member. It no longer knows the
// votes of the old one, so it must not vote in its place.
struct QuorumMember
{
    QuorumPeer peer;
    // Random and never 0; generated whenever an instance starts with an empty data folder.
    std::uint64_t incarnation = 0;

    friend bool operator==(const QuorumMember &a, const QuorumMember &b)
    {
        return a.peer.instance == b.peer.instance && a.incarnation == b.incarnation;
    }
};

struct QuorumMembership
{
    std::vector<QuorumMember> voters;
    // Receive all entries, but neither vote nor count towards a commit.
    std::vector<QuorumMember> learners;
    // Desired number of voters; learners are promoted until it is reached, and two more if it is
    // odd and above 1.
    std::uint32_t voterTarget = 0;
    // Added by an operator: may join although the settings do not list them.
    std::vector<QuorumPeer> admitted;
    // Removed by an operator: may not join until they are added again.
    std::vector<InstanceId> barred;
};

enum class EntryKind {
    // Appended by a new leader so that it can commit the entries of earlier terms.
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

// The state of the replicated state machine after the entry at `index`.
struct QuorumSnapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    QuorumMembership membership;
    OpaqueBytes state;
};

// State that an instance persists besides its entries. It is durable before any message that
// depends on it is sent.
struct QuorumHardState
{
    std::uint64_t incarnation = 0;
    // Id of the cluster; 0 until the instance belongs to one.
    std::uint64_t clusterId = 0;
    // Incarnation of the bootstrapping instance whose cluster this empty instance promised to join;
    // 0 for none.
    std::uint64_t bootstrapPromise = 0;
    std::uint64_t term = 0;
    // Empty if this instance has not voted in `term`.
    InstanceId votedFor;
    std::uint64_t votedForIncarnation = 0;
};

} // namespace rhubarbweir
