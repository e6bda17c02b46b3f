// Commands that need no control instance: timeline and check (declared in command.hpp).
#include "programs/ctl/command.hpp"
#include "programs/ctl/deployment_check.hpp"
#include "programs/ctl/timeline.hpp"
#include "programs/support/settings_values.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace rhubarbweir {

namespace {

constexpr const char *TimelineUsage = "timeline FILE-OR-FOLDER... [--html FILE] [--instances LIST] "
                                      "[--events LIST] [--find TEXT] [--from TIME] [--to TIME]";

// Returns the given files, and the .log files of given folders.
std::vector<std::string> logFiles(const std::vector<std::string> &operands)
{
    std::vector<std::string> files;
    for (const std::string &operand : operands) {
        std::error_code error;
        if (!std::filesystem::is_directory(operand, error)) {
            files.push_back(operand);
            continue;
        }
        for (const auto &entry : std::filesystem::directory_iterator(operand, error)) {
            if (entry.path().extension() == ".log")
                files.push_back(entry.path().string());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

// Returns nothing when a time is malformed.
std::optional<TimelineFilter> filterFrom(const CommandLine &line)
{
    TimelineFilter filter;
    filter.instances = parseList(line.value("instances"));
    filter.events = parseList(line.value("events"));
    filter.text = line.value("find");
    if (line.has("from")) {
        const auto from = parseDuration(line.value("from"));
        if (!from)
            return std::nullopt;
        filter.from = from->count();
    }
    if (line.has("to")) {
        const auto to = parseDuration(line.value("to"));
        if (!to)
            return std::nullopt;
        filter.to = to->count();
    }
    return filter;
}

ExitCode writeHtmlFile(CommandContext &context, const std::vector<TimelineEvent> &events,
                       std::int64_t start)
{
    const std::string name = context.commandLine.value("html");
    std::ofstream file(name);
    writeTimelineHtml(events, start, file);
    file.close();
    if (!file) {
        context.errors << "rhubarbctl: cannot write " << name << "\n";
        return ExitCode::CannotCreate;
    }
    context.out << events.size() << " events of " << instancesOf(events).size()
                << " instances written to " << name << "\n";
    return ExitCode::Success;
}

} // namespace

ExitCode showTimeline(CommandContext &context)
{
    const std::optional<TimelineFilter> filter = filterFrom(context.commandLine);
    if (context.operands.empty() || !filter)
        return reportUsage(context, TimelineUsage);
    std::vector<std::vector<TimelineEvent>> files;
    for (const std::string &name : logFiles(context.operands)) {
        std::ifstream stream(name);
        if (!stream) {
            context.errors << "rhubarbctl: cannot read " << name << "\n";
            return ExitCode::NoInput;
        }
        EventFile file = readEvents(stream);
        if (file.skippedLines > 0)
            context.errors << "rhubarbctl: " << name << ": " << file.skippedLines
                           << " lines are not events\n";
        files.push_back(std::move(file.events));
    }
    const std::vector<TimelineEvent> all = mergeEvents(std::move(files));
    const std::int64_t start = all.empty() ? 0 : all.front().clock;
    const std::vector<TimelineEvent> events = filterEvents(all, *filter);
    if (context.commandLine.has("html"))
        return writeHtmlFile(context, events, start);
    if (context.json())
        writeTimelineJson(events, context.out);
    else
        writeTimelineText(events, start, context.out);
    return ExitCode::Success;
}

ExitCode checkFolder(CommandContext &context)
{
    if (context.operands.size() != 1)
        return reportUsage(context, "check FOLDER");
    const DeploymentCheck check = checkDeployment(context.operands[0]);
    if (context.json()) {
        nlohmann::json faults = nlohmann::json::array();
        for (const SettingsFault &fault : check.faults)
            faults.push_back({{"file", fault.file},
                              {"line", fault.line},
                              {"section", fault.section},
                              {"key", fault.key},
                              {"found", fault.found},
                              {"expected", fault.expected}});
        context.out << faults.dump(2) << "\n";
    } else {
        for (const SettingsFault &fault : check.faults)
            context.errors << fault << "\n";
        context.out << check.controlCount << " control instances, " << check.proxyCount
                    << " proxies, " << check.targetCount << " databases, " << check.faults.size()
                    << " errors\n";
    }
    return check.faults.empty() ? ExitCode::Success : ExitCode::Configuration;
}

} // namespace rhubarbweir
