// The status command (declared in command.hpp).
#include "programs/ctl/command.hpp"
#include "programs/ctl/text_table.hpp"

#include <absl/strings/str_cat.h>

#include <iostream>

namespace rhubarbweir {

namespace {

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

void printVoters(const StatusReport &report, std::ostream &out)
{
    TextTable table({"CONTROL", "ADDRESS", "FAILURE DOMAIN", "VOTES", "REACHABLE", "MATCHED"});
    for (const VoterStatus &voter : report.voters)
        table.add({voter.instance.value + (voter.instance == report.leader ? " (leader)" : ""),
                   voter.address, voter.failureDomain.value, yesNo(voter.voter),
                   yesNo(voter.reachable), std::to_string(voter.matchedIndex)});
    table.print(out);
}

void printProxies(const StatusReport &report, std::ostream &out)
{
    TextTable table({"PROXY", "ADDRESS", "FAILURE DOMAIN", "IN FORCE", "LEASE", "DRAINING"});
    for (const ProxyStatus &proxy : report.proxies)
        table.add({proxy.proxy.value, proxy.address, proxy.failureDomain.value,
                   std::to_string(proxy.revision), proxy.leaseValid ? "valid" : "ended",
                   yesNo(proxy.draining)});
    table.print(out);
}

std::string holdersOf(const GroupView &group)
{
    std::string text;
    for (const HolderView &holder : group.holders) {
        std::uint32_t slots = 0;
        for (const TargetGrant &grant : holder.grants)
            slots = std::max(slots, grant.slots);
        absl::StrAppend(&text, text.empty() ? "" : ", ", holder.proxy.value, " (", slots,
                        " slots each)");
    }
    return text.empty() ? "none" : text;
}

std::string targetsOf(const GroupView &group)
{
    std::string text;
    for (const TargetView &target : group.targets) {
        absl::StrAppend(&text, text.empty() ? "" : ", ", target.target.value);
        if (target.leaving)
            absl::StrAppend(&text, " (leaving)");
    }
    return text;
}

void printGroups(const StatusReport &report, std::ostream &out)
{
    TextTable table({"GROUP", "TERM", "PRIMARY", "REVISION", "WRITES", "HOLDERS", "TARGETS"});
    for (const GroupView &group : report.groups)
        table.add({group.group.value, std::to_string(group.term),
                   group.primary.empty() ? "none" : group.primary.value,
                   std::to_string(group.revision), group.writesHeld ? "held" : "open",
                   holdersOf(group), targetsOf(group)});
    table.print(out);
}

void printActions(const StatusReport &report, std::ostream &out)
{
    TextTable table({"REVISION", "SUBJECT", "ACTION", "CAUSE"});
    for (const ActionRecord &action : report.recentActions)
        table.add({std::to_string(action.revision), action.subject, action.action, action.cause});
    table.print(out);
}

} // namespace

ExitCode showStatus(CommandContext &context)
{
    if (context.operands.size() > 1)
        return reportUsage(context, "status [GROUP]");
    StatusQuery query;
    if (!context.operands.empty())
        query.group = GroupId(context.operands[0]);
    const auto report = context.client.ask<StatusReport>(query);
    if (!report.ok())
        return reportFailure(context, report.status());
    if (context.json()) {
        writeJson(*report, context.out);
        return ExitCode::Success;
    }
    context.out << "leader " << report->leader << " at " << report->leaderAddress
                << ", quorum term " << report->quorumTerm << ", revision " << report->revision
                << "\n\n";
    printVoters(*report, context.out);
    context.out << "\n";
    printProxies(*report, context.out);
    context.out << "\n";
    printGroups(*report, context.out);
    if (!report->recentActions.empty()) {
        context.out << "\nRecent automatic actions\n";
        printActions(*report, context.out);
    }
    return ExitCode::Success;
}

} // namespace rhubarbweir
