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

Setting integerSetting(const char *key, std::int64_t minimum, std::int64_t maximum,
                       const char *defaultValue, const char *description)
{
    return Setting::integer(Section, key, minimum, maximum, description).otherwise(defaultValue);
}

Setting durationSetting(const char *key, const char *defaultValue, const char *description)
{
    return Setting::duration(Section, key, Duration(0), std::chrono::hours(24), description)
        .otherwise(defaultValue);
}

std::string flagName(const Setting &setting)
{
    return absl::StrReplaceAll(setting.key, {{"_", "-"}});
}

CommandDescription describeCommand(const SettingsSchema &schema)
{
    CommandDescription description;
    description.program = "rhubarb-load";
    description.summary =
        "Generates load and checks consistency. Flags override the settings file.";
    description.options.push_back({"settings", "FILE", "Read settings from FILE.", false});
    description.options.push_back(
        {"check-settings", "", "Check the settings, report all faults and exit.", false});
    description.options.push_back(
        {"print-settings-reference", "", "Print the settings reference and exit.", true});
    for (const Setting &setting : schema.settings())
        description.options.push_back({flagName(setting), "VALUE", setting.description, false});
    return description;
}

std::string readFile(const std::string &file)
{
    std::ifstream in(file);
    return std::string(std::istreambuf_iterator<char>(in), {});
}

// Appends the flags to the file's content and blanks the settings that they override, so that the
// line numbers of the other settings stay valid.
std::string mergeFlags(const std::string &content, const std::string &file,
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
    const auto isOverridden = [&](const SettingsEntry &entry) {
        return entry.section == Section
               && commandLine.has(absl::StrReplaceAll(entry.key, {{"_", "-"}}));
    };
    for (const SettingsEntry &entry : parsed.entries) {
        if (!isOverridden(entry))
            continue;
        const auto continuationLines = std::count(entry.value.begin(), entry.value.end(), '\n');
        for (std::int64_t line = entry.line; line <= entry.line + continuationLines; ++line)
            lines.at(line - 1).clear();
    }
    std::string result;
    for (const std::string &line : lines)
        absl::StrAppend(&result, line, "\n");
    if (parsed.sections.empty())
        absl::StrAppend(&result, "[", Section, "]\n");
    for (const Setting &setting : schema.settings()) {
        if (commandLine.has(flagName(setting)))
            absl::StrAppend(&result, setting.key, " = ", commandLine.value(flagName(setting)),
                            "\n");
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
    schema.add(Setting::choice(Section, "mix", {"lakeshore", "rallye"},
                               "Workload mix: the shares of the operations.")
                   .otherwise("lakeshore"));
    schema.add(
        integerSetting("roaming_percent", 0, 100, "2",
                       "Share of operations that switch to another proxy first, in percent."));
    schema.add(integerSetting("sessions", 1, 100'000, "50", "Number of caller sessions."));
    schema.add(integerSetting("rate", 0, 1'000'000, "0",
                              "Operations per second over all sessions; 0 runs a closed loop."));
    schema.add(durationSetting("think_time", "0ms",
                               "Pause between two operations of a session in a closed loop."));
    schema.add(durationSetting("duration", "30s", "Duration of the load."));
    schema.add(
        integerSetting("seed", 0, 1'000'000'000, "1", "Seed of the random number generator."));
    schema.add(
        durationSetting("peak_after", "0s", "Start of the peak load, from the start of the load."));
    schema.add(durationSetting("peak_for", "0s", "Duration of the peak load; 0s for none."));
    schema.add(integerSetting("peak_factor", 1, 1000, "10",
                              "Factor by which the peak load multiplies the rate."));
    schema.add(durationSetting("probe_interval", "0ms",
                               "Interval between writes of an additional session per group, which "
                               "measures the failover gap more precisely; 0ms for none."));
    schema.add(
        durationSetting("deadline", "1s", "Timeout of an operation, including its retries."));
    schema.add(durationSetting("grace", "500ms",
                               "Time after the deadline until an answer counts as missing."));
    schema.add(durationSetting("settle_for", "20s",
                               "Time limit for outcome queries, and again for the final reads."));
    schema.add(integerSetting("keys_per_group", 1, 1000, "4",
                              "Number of keys per session in each group."));
    schema.add(Setting::list(Section, "reports",
                             "Reports of the stand-in databases: files, or folders of .json files.")
                   .otherwise(""));
    schema.add(durationSetting("report_wait", "1500ms",
                               "Time for the stand-in databases to write their last reports."));
    schema.add(Setting::outputFile(Section, "json", "File for the result as JSON.").otherwise(""));
    return schema;
}

LoadStart startLoadProgram(int argc, char **argv)
{
    const SettingsSchema schema = loadSettingsSchema();
    LoadStart start;
    const CommandLine commandLine =
        parseCommandLine(argc, argv, describeCommand(schema), std::cout, std::cerr);
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
        schema.loadText(mergeFlags(content, file, schema, commandLine), file);
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
