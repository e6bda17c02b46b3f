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
    // Unique for each edit. A request repeated with the same id gets the result of the first one.
    std::string requestId;
    std::string editor;
    std::vector<RowChange> changes;
};

struct TableEditResult
{
    std::string requestId;
    EditOutcome outcome = EditOutcome::Invalid;
    // Revision that contains the edit, if accepted.
    std::uint64_t revision = 0;
    // Current rows, on a version conflict.
    std::vector<TableRow> conflicts;
    std::vector<RowProblem> problems;
    // Set if this instance is not the leader.
    std::string leaderAddress;
};

struct TableQuery
{
    // Selects only rows whose name starts with this prefix.
    std::string namePrefix;
};

struct TableRows
{
    std::uint64_t revision = 0;
    std::vector<TableRow> rows;
    std::string leaderAddress;
};

// Requests the proxies that have `revision` in force.
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
    // Proxies with a valid lease that do not have the revision in force yet.
    std::vector<ProxyStatus> behind;
    std::uint32_t inForce = 0;
    std::string leaderAddress;
};

struct StatusQuery
{
    // Restricts the report to this group; empty for all groups.
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

// An automatic action and its cause.
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

// Requests to move the primary of a group to another target without losing writes.
struct PlannedChange
{
    std::string requestId;
    GroupId group;
    // Empty to let control choose.
    TargetId target;
};

struct PlannedChangeResult
{
    std::string requestId;
    bool accepted = false;
    std::string leaderAddress;
    Reason reason = Reason::None;
};

// Sent to a proxy's own address. The proxy stops as on SIGTERM.
struct DrainInstance
{
    // Has to match the id of the receiving proxy.
    InstanceId instance;
};

struct DrainStarted
{
    InstanceId instance;
    // Connections of callers that are asked to move.
    std::uint32_t callers = 0;
};

} // namespace rhubarbweir
