// Messages between proxies and control instances: leases and views.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/log_position.hpp"
#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbweir {

struct TargetView
{
    TargetId target;
    std::string address;
    FailureDomainId failureDomain;
    // Relative share of replica reads among the targets of the group.
    std::uint32_t weight = 100;
    // Gets no new requests.
    bool leaving = false;
};

// The part of a target's limits granted to one proxy. Valid as long as the proxy's lease.
struct TargetGrant
{
    TargetId target;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

struct HolderView
{
    InstanceId proxy;
    std::string address;
    FailureDomainId failureDomain;
    // Increases with every change of the group's grants.
    std::uint64_t epoch = 0;
    std::vector<TargetGrant> grants;
};

struct GroupView
{
    GroupId group;
    // Revision of the control log at which the group last changed.
    std::uint64_t revision = 0;
    // Number of databases in the group, from which majorities are computed.
    std::uint32_t size = 3;
    std::uint64_t term = 0;
    // Empty if no primary is known.
    TargetId primary;
    // Set during a planned or unplanned change of the primary: writes wait in the queue.
    bool writesHeld = false;
    std::uint32_t queueLimit = 0;
    std::vector<TargetView> targets;
    std::vector<HolderView> holders;
};

// All groups that changed at a revision in (fromRevision, toRevision].
struct ViewDelta
{
    std::uint64_t fromRevision = 0;
    std::uint64_t toRevision = 0;
    std::vector<GroupView> groups;
    std::vector<GroupId> removed;
};

enum class ObservedState {
    Alive,
    // Did not respond to probes.
    Silent,
    // The connection was reset or refused.
    Broken,
};

template<>
struct EnumNames<ObservedState>
{
    static constexpr std::string_view Names[] = {"alive", "silent", "broken"};
};

// State of a target as observed by a proxy or control instance.
struct TargetObservation
{
    TargetId target;
    GroupId group;
    ObservedState state = ObservedState::Alive;
};

// Sent to the leader by each other control instance, periodically and whenever its observations
// change. Members that are not listed are alive.
struct ObserverReport
{
    InstanceId instance;
    FailureDomainId failureDomain;
    // Only targets that are silent or broken.
    std::vector<TargetObservation> observations;
};

// The tokens of one team at a session pooler. One token pays for one operation.
struct TeamTokenUse
{
    TeamId team;
    // Tokens spent since the pooler started.
    std::uint64_t spent = 0;
    // Tokens that may still be spent, including those of operations that wait or run.
    std::uint32_t held = 0;
    // Operations that wait for a token.
    std::uint32_t waiting = 0;
    // Further tokens for operations that are expected soon.
    std::uint32_t wanted = 0;
    // Only in a whole report: tokens that have not reached their deadlines, and were spent after
    // the last report that a leader may have counted. That leader counts them as held.
    std::uint32_t spentUncounted = 0;
};

// A session pooler's tokens and its requests for more. A pooler awaits one answer at a time: with
// each report it gives up the answers to all earlier ones, so that the tokens in them are not
// spent.
struct TokenReport
{
    // Increases with each report of a process.
    std::uint64_t sequence = 0;
    // TokenAnswer::epoch of the answer on this connection that the report continues. Teams that are
    // not listed are as after that answer. 0 for a whole report: teams not listed have no tokens.
    std::uint64_t epoch = 0;
    // By increasing id.
    std::vector<TeamTokenUse> teams;
};

// Sent periodically by a proxy to request a lease and to report its observations.
struct RenewLease
{
    InstanceId proxy;
    std::string address;
    FailureDomainId failureDomain;
    // Different for each start of the process.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // Revision in force at the proxy.
    std::uint64_t revision = 0;
    bool draining = false;
    // Sequence of the last answer received on this connection; 0 if there is none.
    std::uint64_t answered = 0;
    // Sent by a control instance without a disk, which needs the leader's address and no lease.
    bool isObserver = false;
    // Groups whose views the proxy requests; empty for all.
    std::vector<GroupId> groups;
    std::vector<TargetObservation> observations;
    // Version of the configuration document in force at a session pooler.
    std::uint64_t configurationVersion = 0;
    // Groups in which the primary alone serves all reads of a session pooler, and responds too
    // slowly.
    std::vector<GroupId> overloadedGroups;
    // Version of the peers that a session pooler uses, 0 for none; absent if it needs none.
    std::optional<std::uint64_t> peersVersion;
    // Only from a session pooler that limits teams, and while it awaits no answer to an earlier
    // report.
    std::optional<TokenReport> tokens;
};

struct LeaseGranted
{
    // Copied from RenewLease::sequence. The lease starts when the proxy sent that message.
    std::uint64_t sequence = 0;
    Duration leaseFor{0};
    ViewDelta delta;
};

struct LeaseRefused
{
    std::uint64_t sequence = 0;
    // Address of the leader; empty if unknown.
    std::string leaderAddress;
};

// Sent without a request when the view changes. It does not extend the lease.
struct ViewChanged
{
    ViewDelta delta;
};

} // namespace rhubarbweir
