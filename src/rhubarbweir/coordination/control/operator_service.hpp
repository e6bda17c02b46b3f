// Answers operators: edits and queries of the table, what is in force, status, planned changes.
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

    void receive(ConnectionId connection, const OperatorRequest &message, bool isInOffice,
                 TimePoint now);
    // The command at `index` was applied: answers those who wait for it.
    void applied(std::uint64_t index, const CommandBody &command, const ApplyResult &result);
    // Answers what waits: its outcome is unknown.
    void endOffice();
    void connectionClosed(ConnectionId connection);
    void advance(TimePoint now);
    // Keeps the action for StatusReport.
    void record(ActionRecord action);

private:
    // An operator who waits for a command.
    struct Waiting
    {
        ConnectionId connection = 0;
        std::string requestId;
        // PlannedChange instead of TableEdit.
        bool isPlannedChange = false;
        TimePoint deadline;
    };

    void answer(ConnectionId connection, const TableEdit &message, bool isInOffice, TimePoint now);
    void answer(ConnectionId connection, const TableQuery &message, bool isInOffice, TimePoint now);
    void answer(ConnectionId connection, const InForceQuery &message, bool isInOffice,
                TimePoint now);
    void answer(ConnectionId connection, const StatusQuery &message, bool isInOffice,
                TimePoint now);
    void answer(ConnectionId connection, const PlannedChange &message, bool isInOffice,
                TimePoint now);
    void answerUnknown(const Waiting &waiting);
    void sendPlannedResult(ConnectionId connection, const std::string &requestId, Reason reason);
    // Only a leader whose lease runs has the newest state.
    bool mayAnswerQueries(bool isInOffice, TimePoint now) const;

    const ControlContext &context;
    const FailoverManager &failover;
    const ViewPublisher &views;
    // By index of the command.
    std::map<std::uint64_t, Waiting> waiting;
    // Oldest first, bounded by ControlSettings::actionLimit.
    std::deque<ActionRecord> actions;
};

} // namespace rhubarbweir
