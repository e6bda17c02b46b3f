// Commands of rhubarbctl and the functions that they share.
#pragma once

#include "programs/ctl/control_client.hpp"
#include "programs/support/command_line.hpp"
#include "programs/support/ctl_program_settings.hpp"

#include <absl/status/status.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace rhubarbweir {

struct CommandContext
{
    const CommandLine &commandLine;
    // Operands after the command's name.
    std::vector<std::string> operands;
    const CtlProgramSettings &settings;
    // Sends requests to control; connects on first use.
    ControlClient &client;
    std::ostream &out;
    std::ostream &errors;

    // Returns whether results are written as JSON.
    bool json() const { return this->commandLine.has("json"); }
};

// Each command writes to `out` and `errors` of its context and returns the exit code.
ExitCode showTable(CommandContext &context);
ExitCode setRow(CommandContext &context);
ExitCode removeRow(CommandContext &context);
ExitCode importTable(CommandContext &context);
ExitCode exportTable(CommandContext &context);
ExitCode waitInForce(CommandContext &context);
ExitCode showStatus(CommandContext &context);
ExitCode drainTarget(CommandContext &context);
ExitCode drainProxy(CommandContext &context);
ExitCode planChange(CommandContext &context);
ExitCode showTimeline(CommandContext &context);
ExitCode checkFolder(CommandContext &context);

// Writes the body of `message` as JSON.
void writeJson(const Message &message, std::ostream &out);
// Reports a failed request and returns the exit code for it.
ExitCode reportFailure(CommandContext &context, const absl::Status &status);
ExitCode reportUsage(CommandContext &context, const std::string &usage);
// Returns the id given by --request-id, or a random one.
std::string requestIdFor(const CommandContext &context);

// Sends one atomic edit and reports its result. `revision` receives the revision of an accepted
// edit.
ExitCode sendEdit(CommandContext &context, std::vector<RowChange> changes, std::uint64_t &revision);
// Returns the current version of a row; 0 when the row does not exist.
absl::StatusOr<std::uint64_t> versionOf(CommandContext &context, const RowKey &key);
// Waits until all proxies with a valid lease have `revision` in force.
ExitCode awaitInForce(CommandContext &context, std::uint64_t revision);

} // namespace rhubarbweir
