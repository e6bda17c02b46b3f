// Messages between operators (rhubarbctl) and control instances.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"
#include "rhubarbweir/coordination/proxy/caller_messages.hpp"
#include "rhubarbweir/state/table_row.hpp"

#include <string>
#include <vector>

namespace rhubarbweir {

// One atomic edit of the table.
struct TableEdit
{
    // Unique for the edit; a resend with the same id gets the first answer.
    std::string requestId;
    std::string editor;
    std::vector<RowChange> changes;
};

struct TableEditResult
{
    std::string requestId;
    EditOutcome outcome = EditOutcome::Invalid;
    // Revision that holds the edit, when accepted.
    std::uint64_t revision = 0;
    // Rows as they now are, on a version conflict.
    std::vector<TableRow> conflicts;
    std::vector<RowProblem> problems;
    // Set when this instance is not the leader.
    std::string leaderAddress;
};

struct TableQuery
{
    // Only rows whose name starts with it.
    std::string namePrefix;
};

struct TableRows
{
    std::uint64_t revision = 0;
    std::vector<TableRow> rows;
    std::string leaderAddress;
};

// Asks which proxies have `revision` in force.
struct InForceQuery
{
    std::uint64_t revision = 0;
};

struct ProxyStatus
{
    InstanceId proxy;
    std::string address;
    FailureDomainId failureDomain;
    std::uint64_t revision = 0;
    bool leaseValid = false;
    bool draining = false;
};

struct InForceReport
{
    std::uint64_t revision = 0;
    std::uint64_t currentRevision = 0;
    // Proxies with a valid lease that do not have the revision yet.
    std::vector<ProxyStatus> behind;
    std::uint32_t inForce = 0;
    std::string leaderAddress;
};

struct StatusQuery
{
    // Empty except for a filter by group.
    GroupId group;
};

struct VoterStatus
{
    InstanceId instance;
    std::string address;
    FailureDomainId failureDomain;
    bool voter = false;
    bool reachable = false;
    std::uint64_t matchedIndex = 0;
};

// An automatic action and why it was taken.
struct ActionRecord
{
    std::uint64_t revision = 0;
    std::string subject;
    std::string action;
    std::string cause;
};

struct StatusReport
{
    InstanceId leader;
    std::string leaderAddress;
    std::uint64_t quorumTerm = 0;
    std::uint64_t revision = 0;
    std::vector<VoterStatus> voters;
    std::vector<ProxyStatus> proxies;
    std::vector<GroupView> groups;
    std::vector<ActionRecord> recentActions;
};

// Moves the primary of a group to another target without losing a write.
struct PlannedChange
{
    std::string requestId;
    GroupId group;
    // Empty lets control choose.
    TargetId target;
};

struct PlannedChangeResult
{
    std::string requestId;
    bool accepted = false;
    std::string leaderAddress;
    Reason reason = Reason::None;
};

// Sent to a proxy's own address: it stops as on SIGTERM.
struct DrainInstance
{
    // Has to be the id of the proxy that receives it.
    InstanceId instance;
};

struct DrainStarted
{
    InstanceId instance;
    // Connections of callers that are told to move.
    std::uint32_t callers = 0;
};

} // namespace rhubarbweir
