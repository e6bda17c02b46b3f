// Command-line parsing of the programs: common and program-specific options, and exit codes.
#pragma once

#include "programs/support/settings.hpp"

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbweir {

class EventLoop;

// Exit codes; the numbers are those of sysexits.h.
enum class ExitCode {
    Success = 0,
    // The program ran, but its result is a failure, such as a refused request.
    Failure = 1,
    Usage = 64,
    DataError = 65,
    NoInput = 66,
    Unavailable = 69,
    Internal = 70,
    CannotCreate = 73,
    IoError = 74,
    // A retry may succeed, such as after a timeout or a version conflict.
    TemporaryFailure = 75,
    Configuration = 78,
};

// Declaration of one long option.
struct CommandOption
{
    std::string name;
    // Name of the argument in the help text; empty for a flag.
    std::string argument;
    std::string description;
    bool hidden = false;
};

struct CommandDescription
{
    std::string program;
    std::string summary;
    // Operands as shown in the help text; empty when the program takes none.
    std::string operands;
    std::vector<CommandOption> options;
    // Printed after the options in the help text.
    std::string epilogue;
};

struct CommandLine
{
    // Options that were given; a flag has an empty value.
    std::map<std::string, std::string> options;
    std::vector<std::string> operands;
    // Set when the program has to exit immediately: after --help, --version or a usage error.
    std::optional<ExitCode> exit;

    bool has(const std::string &option) const { return this->options.count(option) != 0; }
    std::string value(const std::string &option, const std::string &defaultValue = "") const;
};

// Handles --help and --version, and reports usage errors on `errors`. Options and operands may be
// interleaved; everything after "--" is an operand.
CommandLine parseCommandLine(int argc, char **argv, const CommandDescription &description,
                             std::ostream &out, std::ostream &errors);

struct ProgramStart
{
    CommandLine commandLine;
    Settings settings;
    // Set when the program has to exit immediately.
    std::optional<ExitCode> exit;
};

// Starts a program that has a settings file: adds --settings, --check-settings and the hidden
// --print-settings-reference to its options, parses the command line, and loads and validates the
// settings. With `loop`, waits for a settings file that is missing or may still be being written,
// which it reports on standard error, and exits on a stop signal.
ProgramStart startProgram(int argc, char **argv, CommandDescription description,
                          const SettingsSchema &schema, EventLoop *loop = nullptr);

inline int exitStatus(ExitCode code)
{
    return static_cast<int>(code);
}

} // namespace rhubarbweir
