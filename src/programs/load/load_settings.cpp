// See load_settings.hpp.
#include "programs/load/load_settings.hpp"

#include "programs/support/settings_file.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

namespace rhubarbweir {

namespace {

constexpr char Section[] = "load";

Setting number(const char *key, std::int64_t least, std::int64_t greatest, const char *unset,
               const char *description)
{
    return Setting::integer(Section, key, least, greatest, description).otherwise(unset);
}

Setting span(const char *key, const char *unset, const char *description)
{
    return Setting::duration(Section, key, Duration(0), std::chrono::hours(24), description)
        .otherwise(unset);
}

std::string flagOf(const Setting &setting)
{
    return absl::StrReplaceAll(setting.key, {{"_", "-"}});
}

CommandDescription describe(const SettingsSchema &schema)
{
    CommandDescription description;
    description.program = "rhubarb-load";
    description.summary = "Callers' load and measurement. Flags win over the settings file.";
    description.options.push_back({"settings", "FILE", "Read settings from FILE.", false});
    description.options.push_back(
        {"check-settings", "", "Check the settings, report all faults and exit.", false});
    description.options.push_back(
        {"print-settings-reference", "", "Print the settings reference and exit.", true});
    for (const Setting &setting : schema.settings())
        description.options.push_back({flagOf(setting), "VALUE", setting.description, false});
    return description;
}

std::string readFile(const std::string &file)
{
    std::ifstream in(file);
    return std::string(std::istreambuf_iterator<char>(in), {});
}

// The file's content without the settings that flags replace, and the flags at its end. Lines
// keep their numbers.
std::string withFlags(const std::string &content, const std::string &file,
                      const SettingsSchema &schema, const CommandLine &commandLine)
{
    std::vector<std::string> lines{""};
    for (const char character : content) {
        if (character == '\n')
            lines.emplace_back();
        else
            lines.back().push_back(character);
    }
    const SettingsFileContent parsed = parseSettingsText(content, file);
    const auto isReplaced = [&](const SettingsEntry &entry) {
        return entry.section == Section
               && commandLine.has(absl::StrReplaceAll(entry.key, {{"_", "-"}}));
    };
    for (const SettingsEntry &entry : parsed.entries) {
        if (!isReplaced(entry))
            continue;
        const auto extra = std::count(entry.value.begin(), entry.value.end(), '\n');
        for (std::int64_t line = entry.line; line <= entry.line + extra; ++line)
            lines.at(line - 1).clear();
    }
    std::string result;
    for (const std::string &line : lines)
        absl::StrAppend(&result, line, "\n");
    if (parsed.sections.empty())
        absl::StrAppend(&result, "[", Section, "]\n");
    for (const Setting &setting : schema.settings()) {
        if (commandLine.has(flagOf(setting)))
            absl::StrAppend(&result, setting.key, " = ", commandLine.value(flagOf(setting)), "\n");
    }
    return result;
}

LoadSettings loadSettingsFrom(const Settings &values)
{
    LoadSettings settings;
    settings.proxies = values.list(Section, "proxies");
    for (const std::string &group : values.list(Section, "groups"))
        settings.groups.emplace_back(group);
    settings.mix = enumFromName<MixName>(values.text(Section, "mix")).value();
    settings.roaming = static_cast<double>(values.integer(Section, "roaming_percent")) / 100.0;
    settings.sessions = static_cast<std::uint32_t>(values.integer(Section, "sessions"));
    settings.rate = static_cast<double>(values.integer(Section, "rate"));
    settings.thinkTime = values.duration(Section, "think_time");
    settings.duration = values.duration(Section, "duration");
    settings.seed = static_cast<std::uint64_t>(values.integer(Section, "seed"));
    settings.peakAfter = values.duration(Section, "peak_after");
    settings.peakFor = values.duration(Section, "peak_for");
    settings.peakFactor = static_cast<double>(values.integer(Section, "peak_factor"));
    settings.probeInterval = values.duration(Section, "probe_interval");
    settings.deadline = values.duration(Section, "deadline");
    settings.grace = values.duration(Section, "grace");
    settings.settleFor = values.duration(Section, "settle_for");
    settings.keysPerGroup = static_cast<std::uint32_t>(values.integer(Section, "keys_per_group"));
    settings.reports = values.list(Section, "reports");
    settings.reportWait = values.duration(Section, "report_wait");
    settings.jsonFile = values.text(Section, "json");
    return settings;
}

} // namespace

SettingsSchema loadSettingsSchema()
{
    SettingsSchema schema("rhubarb-load");
    schema.add(Setting::addressList(Section, "proxies", "Proxies that callers connect to."));
    schema.add(Setting::list(Section, "groups", "Database groups."));
    schema.add(Setting::choice(Section, "mix", {"lakeshore", "rallye"}, "Shares of operations.")
                   .otherwise("lakeshore"));
    schema.add(number("roaming_percent", 0, 100, "2", "Operations that change the proxy first."));
    schema.add(number("sessions", 1, 100'000, "50", "Caller sessions."));
    schema.add(number("rate", 0, 1'000'000, "0",
                      "Operations a second over all sessions; 0 is a closed loop."));
    schema.add(span("think_time", "0ms", "Pause of a session in a closed loop."));
    schema.add(span("duration", "30s", "Length of the load."));
    schema.add(number("seed", 0, 1'000'000'000, "1", "Seed of all choices."));
    schema.add(span("peak_after", "0s", "Start of the peak."));
    schema.add(span("peak_for", "0s", "Length of the peak; 0s for none."));
    schema.add(number("peak_factor", 1, 1000, "10", "The peak's multiple of the rate."));
    schema.add(span("probe_interval", "0ms",
                    "Interval of one further writer a group, which makes the failover gap "
                    "precise; 0ms for none."));
    schema.add(span("deadline", "1s", "Time that a caller gives one operation."));
    schema.add(
        span("grace", "500ms", "Time after the deadline before an answer counts as missing."));
    schema.add(span("settle_for", "20s", "Time for outcome queries and final reads."));
    schema.add(number("keys_per_group", 1, 1000, "4", "Keys of a session in each group."));
    schema.add(Setting::list(Section, "reports",
                             "Reports of the stand-ins: files, or folders of .json files.")
                   .otherwise(""));
    schema.add(
        span("report_wait", "1500ms", "Time for the stand-ins to write their last reports."));
    schema.add(Setting::outputFile(Section, "json", "Receives the result as JSON.").otherwise(""));
    return schema;
}

LoadStart startLoadProgram(int argc, char **argv)
{
    const SettingsSchema schema = loadSettingsSchema();
    LoadStart start;
    const CommandLine commandLine =
        parseCommandLine(argc, argv, describe(schema), std::cout, std::cerr);
    if (commandLine.exit) {
        start.exit = commandLine.exit;
        return start;
    }
    if (commandLine.has("print-settings-reference")) {
        writeSettingsReference(schema, std::cout);
        start.exit = ExitCode::Success;
        return start;
    }
    const std::string file = commandLine.value("settings", "command line");
    const std::string content =
        commandLine.has("settings") ? readFile(commandLine.value("settings")) : std::string();
    const LoadedSettings loaded =
        schema.loadText(withFlags(content, file, schema, commandLine), file);
    for (const SettingsFault &fault : loaded.faults)
        std::cerr << fault << "\n";
    if (!loaded.faults.empty()) {
        start.exit = ExitCode::Configuration;
        return start;
    }
    start.settings = loadSettingsFrom(loaded.settings);
    if (commandLine.has("check-settings"))
        start.exit = ExitCode::Success;
    return start;
}

} // namespace rhubarbweir
