// See command_line.hpp.
#include "programs/support/command_line.hpp"

#include "programs/support/start_sequence.hpp"
#include "programs/support/unfinished_file.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <algorithm>
#include <fstream>
#include <getopt.h>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace rhubarbweir {

namespace {

constexpr const char *Version = "0.1.0";

std::string formatOption(const CommandOption &option)
{
    return "--" + option.name + (option.argument.empty() ? "" : " " + option.argument);
}

void writeHelp(const CommandDescription &description, std::ostream &out)
{
    out << "Usage: " << description.program << " [options]";
    if (!description.operands.empty())
        out << ' ' << description.operands;
    out << "\n\n" << description.summary << "\n\nOptions:\n";
    std::size_t width = 0;
    for (const CommandOption &option : description.options)
        width = std::max(width, formatOption(option).size());
    for (const CommandOption &option : description.options) {
        if (option.hidden)
            continue;
        out << "  " << std::left << std::setw(static_cast<int>(width)) << formatOption(option)
            << "  " << option.description << "\n";
    }
    if (!description.epilogue.empty())
        out << "\n" << description.epilogue << "\n";
}

std::vector<option> longOptions(const CommandDescription &description)
{
    std::vector<option> options;
    for (const CommandOption &declared : description.options) {
        const int argument = declared.argument.empty() ? no_argument : required_argument;
        options.push_back({declared.name.c_str(), argument, nullptr, 0});
    }
    options.push_back({nullptr, 0, nullptr, 0});
    return options;
}

std::string readText(const std::string &file)
{
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    return text.str();
}

// Any fault may be due to a part of the file that is not written yet.
absl::Status awaitSettings(EventLoop &loop, const std::string &program, const std::string &file,
                           const SettingsSchema &schema, LoadedSettings &loaded)
{
    // The event log is opened later, with the settings.
    const auto report = [&program](LogLevel, std::string_view event,
                                   const std::vector<EventField> &fields) {
        std::cerr << program << ": event=" << event;
        for (const EventField &field : fields)
            std::cerr << ' ' << field.key << '=' << field.value;
        std::cerr << std::endl;
    };
    StartSequence sequence(loop, report);
    sequence.add("settings", [&, unfinished = UnfinishedFile()]() mutable {
        const bool mayChange = unfinished.mayChange(readText(file), EventLoop::now());
        loaded = schema.load(file);
        if (loaded.faults.empty())
            return absl::OkStatus();
        std::ostringstream cause;
        cause << loaded.faults.front();
        return mayChange ? absl::UnavailableError(cause.str())
                         : absl::InvalidArgumentError(cause.str());
    });
    return sequence.run();
}

} // namespace

std::string CommandLine::value(const std::string &option, const std::string &defaultValue) const
{
    const auto found = this->options.find(option);
    return found == this->options.end() ? defaultValue : found->second;
}

CommandLine parseCommandLine(int argc, char **argv, const CommandDescription &described,
                             std::ostream &out, std::ostream &errors)
{
    CommandDescription description = described;
    description.options.push_back({"help", "", "Show this help and exit.", false});
    description.options.push_back({"version", "", "Show the version and exit.", false});
    const std::vector<option> options = longOptions(description);

    CommandLine commandLine;
    optind = 0;
    opterr = 0;
    int index = 0;
    int code = 0;
    while ((code = getopt_long(argc, argv, ":", options.data(), &index)) != -1) {
        if (code == 0) {
            commandLine.options[options[static_cast<std::size_t>(index)].name] =
                optarg == nullptr ? "" : optarg;
            continue;
        }
        errors << description.program << ": "
               << (code == ':' ? "option requires an argument: " : "unknown option: ")
               << argv[optind - 1] << "\n";
        commandLine.exit = ExitCode::Usage;
    }
    for (int operand = optind; operand < argc; ++operand)
        commandLine.operands.emplace_back(argv[operand]);
    if (description.operands.empty() && !commandLine.operands.empty()) {
        errors << description.program << ": unexpected argument: " << commandLine.operands[0]
               << "\n";
        commandLine.exit = ExitCode::Usage;
    }
    if (commandLine.exit) {
        errors << "Try " << description.program << " --help\n";
    } else if (commandLine.has("help")) {
        writeHelp(description, out);
        commandLine.exit = ExitCode::Success;
    } else if (commandLine.has("version")) {
        out << description.program << " " << Version << "\n";
        commandLine.exit = ExitCode::Success;
    }
    return commandLine;
}

ProgramStart startProgram(int argc, char **argv, CommandDescription description,
                          const SettingsSchema &schema, EventLoop *loop)
{
    description.options.insert(
        description.options.begin(),
        {{"settings", "FILE", "Read the settings from FILE.", false},
         {"check-settings", "", "Validate the settings, report all errors and exit.", false},
         {"print-settings-reference", "", "Print the settings reference and exit.", true}});
    ProgramStart start;
    start.commandLine = parseCommandLine(argc, argv, description, std::cout, std::cerr);
    if (start.commandLine.exit) {
        start.exit = start.commandLine.exit;
        return start;
    }
    if (start.commandLine.has("print-settings-reference")) {
        writeSettingsReference(schema, std::cout);
        start.exit = ExitCode::Success;
        return start;
    }
    if (!start.commandLine.has("settings")) {
        std::cerr << description.program << ": --settings FILE is required\n";
        start.exit = ExitCode::Usage;
        return start;
    }
    const std::string file = start.commandLine.value("settings");
    LoadedSettings loaded;
    if (loop == nullptr || start.commandLine.has("check-settings")) {
        loaded = schema.load(file);
    } else if (absl::IsCancelled(awaitSettings(*loop, description.program, file, schema, loaded))) {
        start.exit = ExitCode::Success;
        return start;
    }
    for (const SettingsFault &fault : loaded.faults)
        std::cerr << fault << "\n";
    if (!loaded.faults.empty())
        start.exit = ExitCode::Configuration;
    else if (start.commandLine.has("check-settings"))
        start.exit = ExitCode::Success;
    start.settings = std::move(loaded.settings);
    return start;
}

} // namespace rhubarbweir
