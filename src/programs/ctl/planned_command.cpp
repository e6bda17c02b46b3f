// Commands for planned stops and changes of the primary (declared in command.hpp).
#include "programs/ctl/command.hpp"

#include <algorithm>
#include <iostream>

namespace rhubarbweir {

namespace {

constexpr std::chrono::milliseconds PollInterval{250};

absl::StatusOr<ProxyStatus> findProxy(CommandContext &context, const InstanceId &id)
{
    const auto report = context.client.ask<StatusReport>(StatusQuery{});
    if (!report.ok())
        return report.status();
    for (const ProxyStatus &proxy : report->proxies) {
        if (proxy.proxy == id)
            return proxy;
    }
    return absl::NotFoundError("control lists no proxy " + id.value);
}

// Waits until control lists no valid lease of the proxy.
ExitCode awaitProxyStopped(CommandContext &context, const InstanceId &id)
{
    const TimePoint deadline = EventLoop::now() + context.settings.timeout;
    TimePoint reportAt = EventLoop::now() + std::chrono::seconds(2);
    while (EventLoop::now() < deadline) {
        const auto proxy = findProxy(context, id);
        if (absl::IsNotFound(proxy.status()) || (proxy.ok() && !proxy->leaseValid)) {
            context.out << id << " has stopped\n";
            return ExitCode::Success;
        }
        if (!proxy.ok())
            return reportFailure(context, proxy.status());
        if (EventLoop::now() >= reportAt) {
            context.errors << "rhubarbctl: " << id << " is still completing requests\n";
            reportAt = EventLoop::now() + std::chrono::seconds(2);
        }
        context.client.pause(PollInterval);
    }
    context.errors << "rhubarbctl: " << id << " has not stopped in time\n";
    return ExitCode::TemporaryFailure;
}

} // namespace

ExitCode drainTarget(CommandContext &context)
{
    if (context.operands.size() != 1)
        return reportUsage(context, "drain target NAME [--undo]");
    const RowKey key{RowScope::Target, context.operands[0], "leaving"};
    const auto version = versionOf(context, key);
    if (!version.ok())
        return reportFailure(context, version.status());
    const std::string value = context.commandLine.has("undo") ? "0" : "1";
    std::uint64_t revision = 0;
    const ExitCode edited = sendEdit(context, {RowChange{key, *version, value, false}}, revision);
    return edited == ExitCode::Success ? awaitInForce(context, revision) : edited;
}

ExitCode drainProxy(CommandContext &context)
{
    if (context.operands.size() != 1)
        return reportUsage(context, "drain proxy ID");
    const InstanceId id(context.operands[0]);
    const auto proxy = findProxy(context, id);
    if (!proxy.ok())
        return reportFailure(context, proxy.status());
    const auto started = context.client.askAt<DrainStarted>(proxy->address, DrainInstance{id});
    if (!started.ok())
        return reportFailure(context, started.status());
    context.out << id << " is draining, " << started->callers
                << " callers are told to move to another proxy\n";
    return awaitProxyStopped(context, id);
}

ExitCode planChange(CommandContext &context)
{
    if (context.operands.empty() || context.operands.size() > 2)
        return reportUsage(context, "plan GROUP [TARGET]");
    PlannedChange change;
    change.requestId = requestIdFor(context);
    change.group = GroupId(context.operands[0]);
    if (context.operands.size() == 2)
        change.target = TargetId(context.operands[1]);
    const auto result = context.client.ask<PlannedChangeResult>(change);
    if (!result.ok())
        return reportFailure(context, result.status());
    if (context.json())
        writeJson(*result, context.out);
    if (!result->accepted) {
        context.errors << "rhubarbctl: refused: " << nameOf(result->reason) << "\n";
        return ExitCode::Failure;
    }
    if (!context.json())
        context.out << "accepted; rhubarbctl status " << change.group << " shows the change\n";
    return ExitCode::Success;
}

} // namespace rhubarbweir
