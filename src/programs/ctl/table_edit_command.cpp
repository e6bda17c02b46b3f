// Commands that edit the configuration table (declared in command.hpp).
#include "programs/ctl/command.hpp"
#include "programs/ctl/table_csv.hpp"

#include <absl/strings/numbers.h>

#include <fstream>
#include <iostream>
#include <map>

namespace rhubarbweir {

namespace {

void printRow(const RowKey &key, std::ostream &out)
{
    out << nameOf(key.scope) << ' ' << key.name << ' ' << key.field;
}

ExitCode reportConflict(CommandContext &context, const TableEditResult &result)
{
    context.errors << "rhubarbctl: no row was changed; the version of these rows has changed:\n";
    for (const TableRow &row : result.conflicts) {
        context.errors << "  ";
        printRow(row.key, context.errors);
        context.errors << " = " << row.value << " (version " << row.version << ")\n";
    }
    return ExitCode::TemporaryFailure;
}

ExitCode reportProblems(CommandContext &context, const TableEditResult &result)
{
    context.errors << "rhubarbctl: no row was changed; the edit has these errors:\n";
    for (const RowProblem &problem : result.problems) {
        context.errors << "  ";
        printRow(problem.key, context.errors);
        context.errors << ": " << nameOf(problem.fault) << ", expected " << problem.expected
                       << "\n";
    }
    return ExitCode::DataError;
}

absl::StatusOr<std::map<RowKey, std::uint64_t>> currentVersions(CommandContext &context,
                                                                const std::string &prefix)
{
    const absl::StatusOr<TableRows> table = context.client.ask<TableRows>(TableQuery{prefix});
    if (!table.ok())
        return table.status();
    std::map<RowKey, std::uint64_t> versions;
    for (const TableRow &row : table->rows)
        versions[row.key] = row.version;
    return versions;
}

// Parses SCOPE NAME FIELD.
std::optional<RowKey> parseRowKey(const std::vector<std::string> &operands)
{
    const std::optional<RowScope> scope = enumFromName<RowScope>(operands[0]);
    if (!scope)
        return std::nullopt;
    return RowKey{*scope, operands[1], operands[2]};
}

// Returns the version given by --version-seen, or the row's current version.
absl::StatusOr<std::uint64_t> expectedVersion(CommandContext &context, const RowKey &key)
{
    if (!context.commandLine.has("version-seen"))
        return versionOf(context, key);
    std::uint64_t version = 0;
    if (!absl::SimpleAtoi(context.commandLine.value("version-seen"), &version))
        return absl::InvalidArgumentError("--version-seen requires a number");
    return version;
}

ExitCode changeRow(CommandContext &context, const std::string &value, bool remove)
{
    const std::optional<RowKey> key = parseRowKey(context.operands);
    if (!key)
        return reportUsage(context, "table set|remove group|target NAME FIELD ...");
    const absl::StatusOr<std::uint64_t> version = expectedVersion(context, *key);
    if (!version.ok())
        return reportFailure(context, version.status());
    std::uint64_t revision = 0;
    return sendEdit(context, {RowChange{*key, *version, value, remove}}, revision);
}

} // namespace

absl::StatusOr<std::uint64_t> versionOf(CommandContext &context, const RowKey &key)
{
    const auto versions = currentVersions(context, key.name);
    if (!versions.ok())
        return versions.status();
    const auto found = versions->find(key);
    return found == versions->end() ? 0 : found->second;
}

ExitCode sendEdit(CommandContext &context, std::vector<RowChange> changes, std::uint64_t &revision)
{
    const TableEdit edit{requestIdFor(context), context.settings.editor, std::move(changes)};
    const absl::StatusOr<TableEditResult> result = context.client.ask<TableEditResult>(edit);
    if (!result.ok()) {
        context.errors << "rhubarbctl: it is unknown whether the edit was accepted; repeat the "
                          "command with --request-id "
                       << edit.requestId << "\n";
        return reportFailure(context, result.status());
    }
    if (context.json())
        writeJson(*result, context.out);
    if (result->outcome == EditOutcome::VersionConflict)
        return reportConflict(context, *result);
    if (result->outcome != EditOutcome::Accepted)
        return reportProblems(context, *result);
    revision = result->revision;
    if (!context.json())
        context.out << "accepted in revision " << revision << "\n";
    return ExitCode::Success;
}

ExitCode setRow(CommandContext &context)
{
    if (context.operands.size() != 4)
        return reportUsage(context, "table set group|target NAME FIELD VALUE");
    return changeRow(context, context.operands[3], false);
}

ExitCode removeRow(CommandContext &context)
{
    if (context.operands.size() != 3)
        return reportUsage(context, "table remove group|target NAME FIELD");
    return changeRow(context, "", true);
}

ExitCode importTable(CommandContext &context)
{
    if (context.operands.size() != 1)
        return reportUsage(context, "table import FILE");
    std::ifstream file(context.operands[0]);
    if (!file) {
        context.errors << "rhubarbctl: cannot read " << context.operands[0] << "\n";
        return ExitCode::NoInput;
    }
    const CsvTable csv = readTableCsv(file);
    for (const CsvFault &fault : csv.faults)
        context.errors << context.operands[0] << ':' << fault.line << ": found " << fault.found
                       << ", expected " << fault.expected << "\n";
    if (!csv.faults.empty())
        return ExitCode::DataError;
    const auto versions = currentVersions(context, "");
    if (!versions.ok())
        return reportFailure(context, versions.status());
    std::vector<RowChange> changes;
    for (const CsvRow &row : csv.rows) {
        const auto found = versions->find(row.key);
        const std::uint64_t current = found == versions->end() ? 0 : found->second;
        changes.push_back({row.key, row.version.value_or(current), row.value, false});
    }
    std::uint64_t revision = 0;
    return sendEdit(context, std::move(changes), revision);
}

} // namespace rhubarbweir
