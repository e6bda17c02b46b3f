// Messages between control instances and session poolers. A pooler renews its lease with RenewLease
// (control_messages.hpp).
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"
#include "rhubarbweir/state/fleet_state.hpp"
#include "rhubarbweir/state/log_position.hpp"
#include "rhubarbweir/state/opaque_bytes.hpp"
#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbweir {

// The fleet state that a pooler acts on, except the configuration document; or its changes.
struct FleetView
{
    // Index of the control log's last entry that changed the view.
    std::uint64_t revision = 0;
    // 0 for the whole view. Otherwise the view holds only what changed after this revision, and
    // applies to a pooler that holds it or a later one.
    std::uint64_t baseRevision = 0;
    std::vector<RegisteredTarget> targets;
    // Only in a view of changes.
    std::vector<TargetId> removedTargets;
    std::vector<PrimaryAuthority> authorities;
    // Addresses of the control instances.
    std::vector<std::string> controls;
};

// A position that a group's primary told, and how long ago it was asked for: data that covers it
// includes every commit that was confirmed before.
struct GroupPosition
{
    GroupId group;
    // Authority generation under which the primary was asked.
    std::uint64_t generation = 0;
    LogPosition position;
    Duration age{0};
};

// Positions that a pooler knows and the leader does not.
struct PositionReport
{
    // Sequence of the last answer received, after which the ages were taken.
    std::uint64_t answered = 0;
    std::vector<GroupPosition> positions;
};

// A live pooler that others may relay sessions to.
struct PoolerPeer
{
    InstanceId instance;
    // Internal address, as host:port.
    std::string address;
};

// The live poolers of one failure domain.
struct PoolerPeers
{
    // Differs between different lists; 0 for none.
    std::uint64_t version = 0;
    // Number of failure domains with poolers.
    std::uint32_t failureDomains = 0;
    std::vector<PoolerPeer> peers;
};

struct TeamTokenGrant
{
    TeamId team;
    std::uint32_t tokens = 0;
    // The team has reached its limit; its operations without a token are to be refused.
    bool exhausted = false;
};

// Answer to a TokenReport.
struct TokenAnswer
{
    // TokenReport::sequence.
    std::uint64_t sequence = 0;
    // Differs between the times for which this instance led; never 0.
    std::uint64_t epoch = 0;
    // The report continued what the leader does not know; nothing was granted.
    bool needsWholeReport = false;
    // The tokens may be spent for this long from when the report was sent.
    Duration lifetime{};
    std::vector<TeamTokenGrant> grants;
};

// Sent by a session pooler at once when operations wait for tokens, but only on a connection on
// which a TokenAnswer arrived: control instances of earlier versions do not know the message.
struct TokenRequest
{
    InstanceId proxy;
    std::uint64_t incarnation = 0;
    TokenReport report;
};

// Answer to a renewal, or unsolicited when the view or the configuration changed.
struct FleetLease
{
    // Sequence of the answered renewal; 0 when unsolicited, which grants no lease.
    std::uint64_t sequence = 0;
    // Length of the lease, counted by the pooler from when it sent the renewal.
    Duration leaseFor{};
    FleetView view;
    // Number of registered poolers, which share each target's connections.
    std::uint32_t poolers = 1;
    // Number of ended pooler processes whose connections targets may still hold.
    std::uint32_t formerPoolers = 0;
    // Positions known to the leader, with ages counted from the sending; only in answers. Only
    // those that changed since the last answer on the connection.
    std::vector<GroupPosition> positions;
    // Only in an answer to a renewal with another version of them.
    std::optional<PoolerPeers> peers;
    std::uint64_t configurationVersion = 0;
    // Compressed. Empty if the pooler already has this version or was sent it before.
    OpaqueBytes configuration;
    // Version from which `configuration` holds the difference (FleetHooks::documentDelta); 0 for a
    // whole document.
    std::uint64_t configurationBase = 0;
    // A view with many entries, packed by FleetHooks::packView; `view` then holds only its
    // revisions and the addresses. Empty otherwise.
    OpaqueBytes packedView;
    // Answer to RenewLease::tokens.
    std::optional<TokenAnswer> tokens;
    // Only to observers: announcements are taken for the leader and not redirected to it.
    bool relaysAnnouncements = false;
};

struct TargetHeartbeat
{
    TargetId target;
    // RegisteredTarget::born of the start that announced itself.
    std::int64_t born = 0;
    // Sequence of the accepted announcement that was repeated with every sequence since.
    std::uint64_t since = 0;
    std::uint64_t sequence = 0;
};

// Announcements of targets that a control instance took for the leader.
struct AnnouncementBatch
{
    // Counts the batches of the sender, from 1.
    std::uint64_t number = 0;
    // New or changed announcements. Each is answered.
    std::vector<RegisteredTarget> announcements;
    // Targets that repeated the last announcement that the sender had from them, which the leader
    // accepted.
    std::vector<TargetHeartbeat> heartbeats;
};

struct AnnouncementAnswer
{
    TargetId target;
    // RegisteredTarget::born; a later start may use the same sequence.
    std::int64_t born = 0;
    std::uint64_t sequence = 0;
    // False if the target has to announce itself again.
    bool isAccepted = false;
    // False if a repetition of the announcement has to be sent in full too.
    bool isRegistered = false;
};

struct AnnouncementAnswers
{
    // Number of the batch if the message is the immediate answer to one; 0 otherwise.
    std::uint64_t number = 0;
    std::vector<AnnouncementAnswer> answers;
    // Targets with a heartbeat whose accepted announcement this leader has not had.
    std::vector<TargetId> unknown;
};

// Answer of a control instance that does not lead.
struct FleetRedirect
{
    // Internal address of the leader; empty when unknown.
    std::string leader;
};

} // namespace rhubarbweir
