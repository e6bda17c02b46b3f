// rhubarbctl: command-line client for operators.
#include "programs/ctl/command.hpp"
#include "programs/support/settings_values.hpp"

#include <iostream>

namespace {

using namespace rhubarbweir;

struct Command
{
    // One or two words.
    std::vector<std::string> words;
    std::string operands;
    std::string summary;
    bool needsControl;
    ExitCode (*run)(CommandContext &);
};

const std::vector<Command> &commands()
{
    static const std::vector<Command> all = {
        {{"table", "show"},
         "[NAME-PREFIX]",
         "Show rows of the configuration table.",
         true,
         showTable},
        {{"table", "set"}, "SCOPE NAME FIELD VALUE", "Set one row.", true, setRow},
        {{"table", "remove"}, "SCOPE NAME FIELD", "Remove one row.", true, removeRow},
        {{"table", "import"}, "FILE", "Set the rows of a CSV file atomically.", true, importTable},
        {{"table", "export"}, "[FILE]", "Export the table as CSV.", true, exportTable},
        {{"table", "wait"}, "REVISION", "Wait until a revision is in force.", true, waitInForce},
        {{"status"}, "[GROUP]", "Show leader, proxies, groups and actions.", true, showStatus},
        {{"drain", "target"}, "NAME", "Send no new work to a database.", true, drainTarget},
        {{"drain", "proxy"}, "ID", "Stop a proxy after its running requests.", true, drainProxy},
        {{"plan"},
         "GROUP [TARGET]",
         "Move the primary of a group to another database.",
         true,
         planChange},
        {{"timeline"},
         "FILE-OR-FOLDER...",
         "Merge event logs into one timeline.",
         false,
         showTimeline},
        {{"check"}, "FOLDER", "Validate the settings of a whole deployment.", false, checkFolder},
    };
    return all;
}

std::string commandList()
{
    std::string text = "Commands:";
    for (const Command &command : commands()) {
        std::string usage;
        for (const std::string &word : command.words)
            usage += word + " ";
        usage += command.operands;
        usage.resize(std::max<std::size_t>(usage.size() + 2, 38), ' ');
        text += "\n  " + usage + command.summary;
    }
    return text
           + "\nSCOPE is group or target. TIME is a duration after the first event, such as "
             "1500ms.";
}

CommandDescription describe()
{
    return {
        "rhubarbctl",
        "Reads and changes a rhubarbweir deployment.",
        "COMMAND ...",
        {{"settings", "FILE", "Read the settings from FILE.", false},
         {"check-settings", "", "Validate the settings, report all errors and exit.", false},
         {"print-settings-reference", "", "Print the settings reference and exit.", true},
         {"control", "LIST", "Addresses of control instances, instead of a settings file.", false},
         {"timeout", "TIME", "Maximum time to wait for an answer, such as 30s.", false},
         {"json", "", "Write results as JSON.", false},
         {"version-seen", "N", "For table set and remove: the expected version of the row.", false},
         {"request-id", "ID", "For edits: retry the edit that has this request id.", false},
         {"undo", "", "For drain target: send it new work again.", false},
         {"html", "FILE", "For timeline: write an HTML page to FILE.", false},
         {"instances", "LIST", "For timeline: only these instances.", false},
         {"events", "LIST", "For timeline: only these events.", false},
         {"find", "TEXT", "For timeline: only events that contain this text.", false},
         {"from", "TIME", "For timeline: from this time on.", false},
         {"to", "TIME", "For timeline: up to this time.", false}},
        commandList()};
}

const Command *findCommand(const std::vector<std::string> &operands)
{
    for (const Command &command : commands()) {
        if (operands.size() >= command.words.size()
            && std::equal(command.words.begin(), command.words.end(), operands.begin()))
            return &command;
    }
    return nullptr;
}

// Returns the settings of the file, overridden by options; nothing after an error was reported.
std::optional<CtlProgramSettings> settingsFor(const CommandLine &line, bool needsControl)
{
    CtlProgramSettings settings;
    settings.editor = "operator";
    settings.timeout = std::chrono::seconds(15);
    if (line.has("settings")) {
        const LoadedSettings loaded = ctlSettingsSchema().load(line.value("settings"));
        for (const SettingsFault &fault : loaded.faults)
            std::cerr << fault << "\n";
        if (!loaded.faults.empty())
            return std::nullopt;
        settings = ctlSettingsFrom(loaded.settings);
    }
    if (line.has("control"))
        settings.controlAddresses = parseList(line.value("control"));
    if (line.has("timeout")) {
        const std::optional<Duration> timeout = parseDuration(line.value("timeout"));
        if (!timeout) {
            std::cerr << "rhubarbctl: --timeout requires a duration, such as 30s\n";
            return std::nullopt;
        }
        settings.timeout = *timeout;
    }
    const bool valid =
        std::all_of(settings.controlAddresses.begin(), settings.controlAddresses.end(), isAddress);
    if (!valid || (needsControl && settings.controlAddresses.empty())) {
        std::cerr
            << "rhubarbctl: specify --settings FILE, or --control with a list of address:port\n";
        return std::nullopt;
    }
    return settings;
}

int runCommand(const Command &command, const CommandLine &line)
{
    const std::optional<CtlProgramSettings> settings = settingsFor(line, command.needsControl);
    if (!settings)
        return exitStatus(ExitCode::Configuration);
    ControlClient client(settings->controlAddresses, settings->timeout,
                         [](const std::string &waitingFor) {
                             std::cerr << "rhubarbctl: still waiting: " << waitingFor << "\n";
                         });
    const auto begin = line.operands.begin() + static_cast<std::ptrdiff_t>(command.words.size());
    CommandContext context{line,     {begin, line.operands.end()}, *settings, client, std::cout,
                           std::cerr};
    return exitStatus(command.run(context));
}

} // namespace

int main(int argc, char **argv)
{
    const CommandLine line = parseCommandLine(argc, argv, describe(), std::cout, std::cerr);
    if (line.exit)
        return exitStatus(*line.exit);
    if (line.has("print-settings-reference")) {
        writeSettingsReference(ctlSettingsSchema(), std::cout);
        return exitStatus(ExitCode::Success);
    }
    if (line.has("check-settings"))
        return exitStatus(settingsFor(line, true) ? ExitCode::Success : ExitCode::Configuration);
    const Command *command = findCommand(line.operands);
    if (command == nullptr) {
        std::cerr << "rhubarbctl: unknown command; see rhubarbctl --help\n";
        return exitStatus(ExitCode::Usage);
    }
    return runCommand(*command, line);
}
