// Command lines of the programs: common options, program-specific options, exit codes.
#pragma once

#include "programs/support/settings.hpp"

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbweir {

// Exit codes; the numbers are those of sysexits.h.
enum class ExitCode {
    Success = 0,
    // The program ran, but a result is not as promised.
    Failure = 1,
    Usage = 64,
    DataError = 65,
    NoInput = 66,
    Unavailable = 69,
    Internal = 70,
    CannotCreate = 73,
    IoError = 74,
    // The other side did not answer in time; a retry may succeed.
    TemporaryFailure = 75,
    Configuration = 78,
};

// Declaration of one long option.
struct CommandOption
{
    std::string name;
    // Name of the argument in the help; empty for a flag.
    std::string argument;
    std::string description;
    bool hidden = false;
};

struct CommandDescription
{
    std::string program;
    std::string summary;
    // What may follow the options; empty when nothing may.
    std::string operands;
    std::vector<CommandOption> options;
    // Written after the options in the help.
    std::string epilogue;
};

struct CommandLine
{
    // Given options; a flag has an empty value.
    std::map<std::string, std::string> options;
    std::vector<std::string> operands;
    // Set when the program has to end at once: after --help, --version or a usage error.
    std::optional<ExitCode> exit;

    bool has(const std::string &option) const { return this->options.count(option) != 0; }
    std::string value(const std::string &option, const std::string &otherwise = "") const;
};

// Handles --help and --version, and reports usage errors on `errors`. Options and operands may
// be mixed; all after "--" are operands.
CommandLine parseCommandLine(int argc, char **argv, const CommandDescription &description,
                             std::ostream &out, std::ostream &errors);

struct ProgramStart
{
    CommandLine commandLine;
    Settings settings;
    // Set when the program has to end at once.
    std::optional<ExitCode> exit;
};

// Start of a program with a settings file: adds --settings, --check-settings and the hidden
// --print-settings-reference to the options, and loads and checks the settings.
ProgramStart startProgram(int argc, char **argv, CommandDescription description,
                          const SettingsSchema &schema);

inline int exitStatus(ExitCode code)
{
    return static_cast<int>(code);
}

} // namespace rhubarbweir
