// Messages between proxies and control instances: leases and views.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/log_position.hpp"
#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbweir {

struct TargetView
{
    TargetId target;
    std::string address;
    FailureDomainId failureDomain;
    // Share of replica reads, relative to the group's other targets.
    std::uint32_t weight = 100;
    // Gets no new work.
    bool leaving = false;
};

// The part of a target's limits that one proxy may use. Valid while the proxy's lease is.
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
    // Raised with every change of this group's grants.
    std::uint64_t epoch = 0;
    std::vector<TargetGrant> grants;
};

struct GroupView
{
    GroupId group;
    // Revision of the control log that changed this group last.
    std::uint64_t revision = 0;
    // Number of databases of the group; a majority is counted against it.
    std::uint32_t size = 3;
    std::uint64_t term = 0;
    // Empty while no primary is known.
    TargetId primary;
    // Set while the primary changes, planned or not: writes wait in the queue.
    bool writesHeld = false;
    std::uint32_t queueLimit = 0;
    std::vector<TargetView> targets;
    std::vector<HolderView> holders;
};

// All groups that changed in (from, to].
struct ViewDelta
{
    std::uint64_t fromRevision = 0;
    std::uint64_t toRevision = 0;
    std::vector<GroupView> groups;
    std::vector<GroupId> removed;
};

enum class ObservedState {
    Alive,
    // Missed probes.
    Silent,
    // The connection was reset or refused.
    Broken,
};

template<>
struct EnumNames<ObservedState>
{
    static constexpr std::string_view Names[] = {"alive", "silent", "broken"};
};

// What a proxy or control instance saw of a target.
struct TargetObservation
{
    TargetId target;
    GroupId group;
    ObservedState state = ObservedState::Alive;
};

// Sent by a control instance that does not lead to the leader, on a fixed interval and when what
// it sees changes. A member of a group that is not named is alive in the instance's eyes.
struct ObserverReport
{
    InstanceId instance;
    FailureDomainId failureDomain;
    // Targets that are silent or broken.
    std::vector<TargetObservation> observations;
};

// Sent by a proxy on a fixed interval; asks for a lease and reports what the proxy sees.
struct RenewLease
{
    InstanceId proxy;
    std::string address;
    FailureDomainId failureDomain;
    // New for each start of the process.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // Revision that the proxy has in force.
    std::uint64_t revision = 0;
    bool draining = false;
    // Groups whose views the proxy wants; empty asks for all.
    std::vector<GroupId> groups;
    std::vector<TargetObservation> observations;
    // Version of the operators' configuration document that a session pooler has in force.
    std::uint64_t configurationVersion = 0;
    // Groups whose primary alone serves all reads of a session pooler, and serves them late.
    std::vector<GroupId> overloadedGroups;
};

struct LeaseGranted
{
    // Echo of RenewLease::sequence; the proxy counts the lease from when it sent that.
    std::uint64_t sequence = 0;
    Duration leaseFor{0};
    ViewDelta delta;
};

struct LeaseRefused
{
    std::uint64_t sequence = 0;
    // Address of the leader, where known.
    std::string leaderAddress;
};

// Sent unasked when the view changes; the lease is not extended by it.
struct ViewChanged
{
    ViewDelta delta;
};

} // namespace rhubarbweir
