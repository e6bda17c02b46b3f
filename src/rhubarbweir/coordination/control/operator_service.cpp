// See operator_service.hpp.
#include "rhubarbweir/coordination/control/operator_service.hpp"

#include "rhubarbweir/coordination/control/group_view_builder.hpp"

#include <utility>

namespace rhubarbweir {

OperatorService::OperatorService(const ControlContext &controlContext,
                                 const FailoverManager &failoverManager,
                                 const ViewPublisher &viewPublisher)
    : context(controlContext)
    , failover(failoverManager)
    , views(viewPublisher)
{
}

void OperatorService::receive(ConnectionId connection, const OperatorRequest &message,
                              bool isActiveLeader, TimePoint now)
{
    std::visit([&](const auto &request) { this->answer(connection, request, isActiveLeader, now); },
               message);
}

void OperatorService::answer(ConnectionId connection, const TableEdit &message, bool isActiveLeader,
                             TimePoint now)
{
    TableEditResult result;
    result.requestId = message.requestId;
    result.outcome = EditOutcome::NotLeader;
    result.leaderAddress = this->context.quorum.leaderAddress();
    if (!isActiveLeader) {
        this->context.hooks.sendToOperator(connection, result);
        return;
    }
    const auto index = this->context.proposer.propose(
        EditTable{message.requestId, message.editor, message.changes}, now);
    if (!index.ok()) {
        this->context.hooks.sendToOperator(connection, result);
        return;
    }
    this->pendingRequests[*index] = {connection, message.requestId, false,
                                     now + this->context.settings.editPatience};
}

void OperatorService::answer(ConnectionId connection, const TableQuery &message,
                             bool isActiveLeader, TimePoint now)
{
    TableRows answer;
    answer.leaderAddress = this->context.quorum.leaderAddress();
    if (this->mayAnswerQueries(isActiveLeader, now)) {
        answer.revision = this->context.state.revision();
        for (const auto &[key, row] : this->context.state.table().rows()) {
            if (key.name.compare(0, message.namePrefix.size(), message.namePrefix) == 0)
                answer.rows.push_back(row);
        }
    }
    this->context.hooks.sendToOperator(connection, answer);
}

void OperatorService::answer(ConnectionId connection, const InForceQuery &message,
                             bool isActiveLeader, TimePoint now)
{
    InForceReport report;
    report.revision = message.revision;
    report.leaderAddress = this->context.quorum.leaderAddress();
    if (this->mayAnswerQueries(isActiveLeader, now)) {
        report.currentRevision = this->context.state.revision();
        for (const ProxyStatus &proxy : this->views.proxies(now)) {
            if (!proxy.leaseValid)
                continue;
            if (proxy.revision < message.revision)
                report.behind.push_back(proxy);
            else
                ++report.inForce;
        }
    }
    this->context.hooks.sendToOperator(connection, report);
}

void OperatorService::answer(ConnectionId connection, const StatusQuery &message,
                             bool isActiveLeader, TimePoint now)
{
    StatusReport report;
    report.leader = this->context.quorum.leader();
    report.leaderAddress = this->context.quorum.leaderAddress();
    report.quorumTerm = this->context.quorum.term();
    report.revision = this->context.state.revision();
    report.voters = this->context.quorum.voters();
    if (isActiveLeader)
        report.proxies = this->views.proxies(now);
    for (const auto &[group, record] : this->context.state.groups()) {
        if (message.group.empty() || message.group == group)
            report.groups.push_back(buildGroupView(this->context.state, group));
    }
    report.recentActions.assign(this->actions.begin(), this->actions.end());
    this->context.hooks.sendToOperator(connection, report);
}

void OperatorService::answer(ConnectionId connection, const PlannedChange &message,
                             bool isActiveLeader, TimePoint now)
{
    if (!isActiveLeader) {
        this->sendPlannedResult(connection, message.requestId, Reason::NoPrimary);
        return;
    }
    const GroupRecord *record = this->context.state.findGroup(message.group);
    const bool isResend = record != nullptr && !message.requestId.empty()
                          && record->plannedRequest == message.requestId;
    const Reason reason = isResend ? Reason::None : this->failover.checkPlannedChange(message, now);
    if (record == nullptr || isResend || reason != Reason::None) {
        this->sendPlannedResult(connection, message.requestId, reason);
        return;
    }
    HoldWrites command{message.group, record->term, this->failover.plannedTarget(message, now),
                       message.requestId, "operator's request " + message.requestId};
    const auto index = this->context.proposer.propose(std::move(command), now);
    if (!index.ok()) {
        this->sendPlannedResult(connection, message.requestId, Reason::NoPrimary);
        return;
    }
    this->pendingRequests[*index] = {connection, message.requestId, true,
                                     now + this->context.settings.editPatience};
}

void OperatorService::sendPlannedResult(ConnectionId connection, const std::string &requestId,
                                        Reason reason)
{
    PlannedChangeResult result;
    result.requestId = requestId;
    result.accepted = reason == Reason::None;
    result.leaderAddress = this->context.quorum.leaderAddress();
    result.reason = reason;
    this->context.hooks.sendToOperator(connection, result);
}

void OperatorService::applied(std::uint64_t index, const CommandBody &command,
                              const ApplyResult &result)
{
    const auto found = this->pendingRequests.find(index);
    if (found == this->pendingRequests.end())
        return;
    const PendingRequest pending = found->second;
    this->pendingRequests.erase(found);
    const auto *edit = std::get_if<EditTable>(&command);
    const auto *hold = std::get_if<HoldWrites>(&command);
    if (edit != nullptr && !pending.isPlannedChange && edit->requestId == pending.requestId) {
        TableEditResult answer;
        answer.requestId = pending.requestId;
        answer.outcome = result.edit->outcome;
        answer.revision = result.edit->revision;
        answer.conflicts = result.edit->conflicts;
        answer.problems = result.edit->problems;
        this->context.hooks.sendToOperator(pending.connection, answer);
    } else if (hold != nullptr && pending.isPlannedChange && hold->requestId == pending.requestId) {
        this->sendPlannedResult(pending.connection, pending.requestId,
                                result.accepted ? Reason::None : Reason::PrimaryChanged);
    } else {
        // A command of another leader was committed at this index instead.
        this->answerUnknown(pending);
    }
}

void OperatorService::answerUnknown(const PendingRequest &pending)
{
    if (pending.isPlannedChange) {
        this->sendPlannedResult(pending.connection, pending.requestId, Reason::NotConfirmed);
        return;
    }
    TableEditResult answer;
    answer.requestId = pending.requestId;
    answer.outcome = EditOutcome::Unknown;
    answer.leaderAddress = this->context.quorum.leaderAddress();
    this->context.hooks.sendToOperator(pending.connection, answer);
}

void OperatorService::endLeadership()
{
    for (const auto &[index, pending] : this->pendingRequests)
        this->answerUnknown(pending);
    this->pendingRequests.clear();
}

void OperatorService::connectionClosed(ConnectionId connection)
{
    for (auto entry = this->pendingRequests.begin(); entry != this->pendingRequests.end();) {
        if (entry->second.connection == connection)
            entry = this->pendingRequests.erase(entry);
        else
            ++entry;
    }
}

void OperatorService::advance(TimePoint now)
{
    for (auto entry = this->pendingRequests.begin(); entry != this->pendingRequests.end();) {
        if (now < entry->second.deadline) {
            ++entry;
            continue;
        }
        this->answerUnknown(entry->second);
        entry = this->pendingRequests.erase(entry);
    }
}

void OperatorService::storeAction(ActionRecord action)
{
    this->actions.push_back(std::move(action));
    if (this->actions.size() > this->context.settings.actionLimit)
        this->actions.pop_front();
}

bool OperatorService::mayAnswerQueries(bool isActiveLeader, TimePoint now) const
{
    return isActiveLeader && now < this->context.quorum.leaseEnd();
}

} // namespace rhubarbweir
