// See load_settings.hpp.
#include "programs/load/load_settings.hpp"

#include <INIReader.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <functional>
#include <getopt.h>
#include <iostream>
#include <memory>
#include <sysexits.h>

namespace rhubarbweir {

namespace {

// One setting: its name, what it accepts, and how a text becomes its value.
struct LoadOption
{
    const char *name;
    const char *expected;
    std::function<bool(LoadSettings &, const std::string &)> assign;
};

std::vector<std::string> listOf(const std::string &text)
{
    std::vector<std::string> items;
    for (absl::string_view item : absl::StrSplit(text, ',', absl::SkipWhitespace()))
        items.emplace_back(absl::StripAsciiWhitespace(item));
    return items;
}

template<typename Number>
LoadOption numberOption(const char *name, Number LoadSettings::*member)
{
    return {name, "a whole number", [member](LoadSettings &settings, const std::string &text) {
                return absl::SimpleAtoi(text, &(settings.*member));
            }};
}

LoadOption fractionOption(const char *name, const char *expected, double LoadSettings::*member)
{
    return {name, expected, [member](LoadSettings &settings, const std::string &text) {
                return absl::SimpleAtod(text, &(settings.*member)) && settings.*member >= 0;
            }};
}

LoadOption millisecondsOption(const char *name, Duration LoadSettings::*member)
{
    return {name, "milliseconds", [member](LoadSettings &settings, const std::string &text) {
                std::int64_t value = 0;
                const bool isValid = absl::SimpleAtoi(text, &value) && value >= 0;
                settings.*member = std::chrono::milliseconds(value);
                return isValid;
            }};
}

LoadOption listOption(const char *name, std::vector<std::string> LoadSettings::*member)
{
    return {name, "a list with commas", [member](LoadSettings &settings, const std::string &text) {
                settings.*member = listOf(text);
                return !(settings.*member).empty();
            }};
}

std::vector<LoadOption> loadOptions()
{
    return {
        listOption("proxies", &LoadSettings::proxies),
        {"groups", "a list with commas",
         [](LoadSettings &settings, const std::string &text) {
             settings.groups.clear();
             for (const std::string &group : listOf(text))
                 settings.groups.emplace_back(group);
             return !settings.groups.empty();
         }},
        {"mix", "lakeshore or rallye",
         [](LoadSettings &settings, const std::string &text) {
             const auto mix = enumFromName<MixName>(text);
             settings.mix = mix.value_or(MixName::Lakeshore);
             return mix.has_value();
         }},
        fractionOption("roaming", "a share from 0 to 1", &LoadSettings::roaming),
        numberOption("sessions", &LoadSettings::sessions),
        fractionOption("rate", "operations a second, 0 for a closed loop", &LoadSettings::rate),
        millisecondsOption("think_time_ms", &LoadSettings::thinkTime),
        millisecondsOption("duration_ms", &LoadSettings::duration),
        numberOption("seed", &LoadSettings::seed),
        millisecondsOption("peak_after_ms", &LoadSettings::peakAfter),
        millisecondsOption("peak_for_ms", &LoadSettings::peakFor),
        fractionOption("peak_factor", "a factor", &LoadSettings::peakFactor),
        millisecondsOption("deadline_ms", &LoadSettings::deadline),
        millisecondsOption("grace_ms", &LoadSettings::grace),
        millisecondsOption("settle_for_ms", &LoadSettings::settleFor),
        numberOption("keys_per_group", &LoadSettings::keysPerGroup),
        listOption("reports", &LoadSettings::reports),
        millisecondsOption("report_wait_ms", &LoadSettings::reportWait),
        {"json", "a file name",
         [](LoadSettings &settings, const std::string &text) {
             settings.jsonFile = text;
             return !text.empty();
         }},
    };
}

void printUsage(std::ostream &out)
{
    out << "usage: rhubarb-load [--settings FILE] [--NAME=VALUE ...]\n"
           "Flags and keys of section [load] have the same names; flags win.\n";
    for (const LoadOption &known : loadOptions())
        out << "  --" << known.name << "=  " << known.expected << "\n";
    out << "  --check-settings, --help, --version\n";
}

// Returns whether the value was accepted.
bool assign(LoadSettings &settings, const LoadOption &option, const std::string &text,
            const std::string &origin)
{
    if (option.assign(settings, text))
        return true;
    std::cerr << origin << ": " << option.name << ": expected " << option.expected << ", found '"
              << text << "'\n";
    return false;
}

bool readFile(const std::string &file, LoadSettings &settings)
{
    const INIReader ini(file);
    if (ini.ParseError() != 0) {
        std::cerr << file << ": line " << ini.ParseError() << ": expected key = value\n";
        return false;
    }
    bool isValid = true;
    for (const LoadOption &option : loadOptions()) {
        if (ini.HasValue("load", option.name)) {
            const std::string text = ini.GetString("load", option.name, "");
            isValid = assign(settings, option, text, file) && isValid;
        }
    }
    return isValid;
}

bool checkWhole(const LoadSettings &settings)
{
    const bool isWhole = !settings.proxies.empty() && !settings.groups.empty()
                         && settings.sessions > 0 && settings.keysPerGroup > 0;
    if (!isWhole)
        std::cerr << "proxies, groups, sessions and keys_per_group have to be given\n";
    return isWhole;
}

} // namespace

LoadSettings loadSettingsFromCommandLine(int argc, char **argv)
{
    const std::vector<LoadOption> options = loadOptions();
    std::vector<option> known;
    for (std::size_t index = 0; index < options.size(); ++index)
        known.push_back(
            {options[index].name, required_argument, nullptr, 1000 + static_cast<int>(index)});
    known.push_back({"settings", required_argument, nullptr, 's'});
    known.push_back({"check-settings", no_argument, nullptr, 'c'});
    known.push_back({"help", no_argument, nullptr, 'h'});
    known.push_back({"version", no_argument, nullptr, 'v'});
    known.push_back({nullptr, 0, nullptr, 0});
    LoadSettings settings;
    std::vector<std::pair<const LoadOption *, std::string>> flags;
    bool checkOnly = false;
    bool isValid = true;
    for (int code = 0; (code = getopt_long(argc, argv, "s:chv", known.data(), nullptr)) != -1;) {
        if (code >= 1000) {
            flags.emplace_back(&options[code - 1000], optarg);
        } else if (code == 's') {
            isValid = readFile(optarg, settings) && isValid;
        } else if (code == 'c') {
            checkOnly = true;
        } else if (code == 'v') {
            std::cout << "rhubarb-load 0.1.0\n";
            settings.exitCode = EX_OK;
            return settings;
        } else {
            printUsage(code == 'h' ? std::cout : std::cerr);
            settings.exitCode = code == 'h' ? EX_OK : EX_USAGE;
            return settings;
        }
    }
    for (const auto &[flag, text] : flags)
        isValid = assign(settings, *flag, text, "command line") && isValid;
    isValid = checkWhole(settings) && isValid;
    if (!isValid)
        settings.exitCode = EX_CONFIG;
    else if (checkOnly)
        settings.exitCode = EX_OK;
    return settings;
}

} // namespace rhubarbweir
