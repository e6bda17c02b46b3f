// Commands that read the configuration table (declared in command.hpp).
#include "programs/ctl/command.hpp"
#include "programs/ctl/table_csv.hpp"
#include "programs/ctl/text_table.hpp"

#include <absl/strings/numbers.h>

#include <fstream>
#include <iostream>

namespace rhubarbweir {

namespace {

constexpr std::chrono::milliseconds PollInterval{100};

} // namespace

ExitCode showTable(CommandContext &context)
{
    if (context.operands.size() > 1)
        return reportUsage(context, "table show [NAME-PREFIX]");
    const std::string prefix = context.operands.empty() ? "" : context.operands[0];
    const auto table = context.client.ask<TableRows>(TableQuery{prefix});
    if (!table.ok())
        return reportFailure(context, table.status());
    if (context.json()) {
        writeJson(*table, context.out);
        return ExitCode::Success;
    }
    TextTable text({"SCOPE", "NAME", "FIELD", "VALUE", "VERSION"});
    for (const TableRow &row : table->rows)
        text.add({std::string(nameOf(row.key.scope)), row.key.name, row.key.field, row.value,
                  std::to_string(row.version)});
    text.print(context.out);
    context.out << "revision " << table->revision << "\n";
    return ExitCode::Success;
}

ExitCode exportTable(CommandContext &context)
{
    if (context.operands.size() > 1)
        return reportUsage(context, "table export [FILE]");
    const auto table = context.client.ask<TableRows>(TableQuery{});
    if (!table.ok())
        return reportFailure(context, table.status());
    if (context.operands.empty()) {
        writeTableCsv(table->rows, context.out);
        return ExitCode::Success;
    }
    std::ofstream file(context.operands[0]);
    writeTableCsv(table->rows, file);
    file.close();
    if (!file) {
        context.errors << "rhubarbctl: cannot write " << context.operands[0] << "\n";
        return ExitCode::CannotCreate;
    }
    return ExitCode::Success;
}

ExitCode awaitInForce(CommandContext &context, std::uint64_t revision)
{
    const TimePoint deadline = EventLoop::now() + context.settings.timeout;
    TimePoint nextReport = EventLoop::now() + std::chrono::seconds(2);
    while (true) {
        const auto report = context.client.ask<InForceReport>(InForceQuery{revision});
        if (!report.ok())
            return reportFailure(context, report.status());
        const bool inForce = report->behind.empty() && report->currentRevision >= revision;
        const bool timedOut = EventLoop::now() >= deadline;
        if (inForce || timedOut) {
            if (context.json())
                writeJson(*report, context.out);
            else if (inForce)
                context.out << "revision " << revision << " is in force on " << report->inForce
                            << " proxies\n";
        }
        if (inForce)
            return ExitCode::Success;
        if (EventLoop::now() >= nextReport || timedOut) {
            context.errors << "rhubarbctl: current revision " << report->currentRevision << ", "
                           << report->behind.size() << " proxies behind:";
            for (const ProxyStatus &proxy : report->behind)
                context.errors << ' ' << proxy.proxy << " at " << proxy.revision;
            context.errors << "\n";
            nextReport = EventLoop::now() + std::chrono::seconds(2);
        }
        if (timedOut)
            return ExitCode::TemporaryFailure;
        context.client.pause(PollInterval);
    }
}

ExitCode waitInForce(CommandContext &context)
{
    std::uint64_t revision = 0;
    if (context.operands.size() != 1 || !absl::SimpleAtoi(context.operands[0], &revision))
        return reportUsage(context, "table wait REVISION");
    return awaitInForce(context, revision);
}

} // namespace rhubarbweir
