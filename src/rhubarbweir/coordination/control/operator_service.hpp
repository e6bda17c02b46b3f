// Handles operator requests: table edits and queries, revisions in force, status, and planned
// changes.
#pragma once

#include "rhubarbweir/coordination/control/control_context.hpp"
#include "rhubarbweir/coordination/control/failover_manager.hpp"
#include "rhubarbweir/coordination/control/view_publisher.hpp"

#include <deque>
#include <map>

namespace rhubarbweir {

class OperatorService
{
public:
    OperatorService(const ControlContext &controlContext, const FailoverManager &failoverManager,
                    const ViewPublisher &viewPublisher);

    void receive(ConnectionId connection, const OperatorRequest &message, bool isActiveLeader,
                 TimePoint now);
    // The command at `index` was applied; answers the request that waits for it.
    void applied(std::uint64_t index, const CommandBody &command, const ApplyResult &result);
    // Answers all pending requests as having an unknown outcome.
    void endLeadership();
    void connectionClosed(ConnectionId connection);
    void advance(TimePoint now);
    // Stores the action for StatusReport.
    void storeAction(ActionRecord action);

private:
    // An operator request that waits for a command to be applied.
    struct PendingRequest
    {
        ConnectionId connection = 0;
        std::string requestId;
        // True for a PlannedChange, false for a TableEdit.
        bool isPlannedChange = false;
        TimePoint deadline;
    };

    void answer(ConnectionId connection, const TableEdit &message, bool isActiveLeader,
                TimePoint now);
    void answer(ConnectionId connection, const TableQuery &message, bool isActiveLeader,
                TimePoint now);
    void answer(ConnectionId connection, const InForceQuery &message, bool isActiveLeader,
                TimePoint now);
    void answer(ConnectionId connection, const StatusQuery &message, bool isActiveLeader,
                TimePoint now);
    void answer(ConnectionId connection, const PlannedChange &message, bool isActiveLeader,
                TimePoint now);
    void answerUnknown(const PendingRequest &pendingRequests);
    void sendPlannedResult(ConnectionId connection, const std::string &requestId, Reason reason);
    // Only a leader with a valid lease is known to have the latest state.
    bool mayAnswerQueries(bool isActiveLeader, TimePoint now) const;

    const ControlContext &context;
    const FailoverManager &failover;
    const ViewPublisher &views;
    // By the index of the command.
    std::map<std::uint64_t, PendingRequest> pendingRequests;
    // Oldest first, bounded by ControlSettings::actionLimit.
    std::deque<ActionRecord> actions;
};

} // namespace rhubarbweir
