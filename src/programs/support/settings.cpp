// See settings.hpp.
#include "programs/support/settings.hpp"

#include "programs/support/settings_check.hpp"
#include "programs/support/settings_file.hpp"
#include "programs/support/settings_values.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <fstream>
#include <ostream>
#include <sstream>
#include <stdexcept>

namespace rhubarbweir {

namespace {

Setting makeSetting(std::string section, std::string key, SettingType type, std::string description)
{
    Setting setting;
    setting.section = std::move(section);
    setting.key = std::move(key);
    setting.type = type;
    setting.description = std::move(description);
    return setting;
}

} // namespace

Setting Setting::text(std::string section, std::string key, std::string description)
{
    return makeSetting(std::move(section), std::move(key), SettingType::Text,
                       std::move(description));
}

Setting Setting::integer(std::string section, std::string key, std::int64_t minimum,
                         std::int64_t maximum, std::string description)
{
    Setting setting = makeSetting(std::move(section), std::move(key), SettingType::Integer,
                                  std::move(description));
    setting.minimum = minimum;
    setting.maximum = maximum;
    return setting;
}

Setting Setting::duration(std::string section, std::string key, Duration minimum, Duration maximum,
                          std::string description)
{
    Setting setting = makeSetting(std::move(section), std::move(key), SettingType::TimeSpan,
                                  std::move(description));
    setting.minimum = minimum.count();
    setting.maximum = maximum.count();
    return setting;
}

Setting Setting::address(std::string section, std::string key, std::string description)
{
    return makeSetting(std::move(section), std::move(key), SettingType::Address,
                       std::move(description));
}

Setting Setting::addressList(std::string section, std::string key, std::string description)
{
    return makeSetting(std::move(section), std::move(key), SettingType::AddressList,
                       std::move(description));
}

Setting Setting::list(std::string section, std::string key, std::string description)
{
    return makeSetting(std::move(section), std::move(key), SettingType::List,
                       std::move(description));
}

Setting Setting::choice(std::string section, std::string key, std::vector<std::string> choices,
                        std::string description)
{
    Setting setting = makeSetting(std::move(section), std::move(key), SettingType::Choice,
                                  std::move(description));
    setting.choices = std::move(choices);
    return setting;
}

Setting Setting::folder(std::string section, std::string key, std::string description)
{
    return makeSetting(std::move(section), std::move(key), SettingType::Folder,
                       std::move(description));
}

Setting Setting::outputFile(std::string section, std::string key, std::string description)
{
    return makeSetting(std::move(section), std::move(key), SettingType::OutputFile,
                       std::move(description));
}

Setting Setting::otherwise(std::string value) const
{
    Setting setting = *this;
    setting.defaultValue = std::move(value);
    return setting;
}

std::string Setting::expected() const
{
    switch (this->type) {
    case SettingType::Text:
        return "text";
    case SettingType::Integer:
        return absl::StrCat("an integer from ", this->minimum, " to ", this->maximum);
    case SettingType::TimeSpan:
        return absl::StrCat("a duration from ", formatDuration(Duration(this->minimum)), " to ",
                            formatDuration(Duration(this->maximum)), ", such as 400ms or 2s");
    case SettingType::Address:
        return "an IPv4 address and port, such as 127.0.0.1:7101";
    case SettingType::AddressList:
        return "a comma-separated list of IPv4 addresses with ports";
    case SettingType::List:
        return "a comma-separated list";
    case SettingType::Choice:
        return absl::StrCat("one of ", absl::StrJoin(this->choices, ", "));
    case SettingType::Folder:
        return "a writable folder, or one that can be created";
    case SettingType::OutputFile:
        return "a writable file, or one that can be created";
    }
    return "";
}

std::ostream &operator<<(std::ostream &out, const SettingsFault &fault)
{
    out << fault.file;
    if (fault.line > 0)
        out << ':' << fault.line;
    out << ':';
    if (!fault.section.empty())
        out << " [" << fault.section << ']';
    if (!fault.key.empty())
        out << ' ' << fault.key << ':';
    return out << " found " << fault.found << ", expected " << fault.expected;
}

std::string Settings::text(const std::string &section, const std::string &key) const
{
    const auto found = this->values.find({section, key});
    if (found == this->values.end())
        throw std::logic_error(absl::StrCat("undeclared setting [", section, "] ", key));
    return found->second.text;
}

std::int64_t Settings::integer(const std::string &section, const std::string &key) const
{
    const std::optional<std::int64_t> number = parseInteger(this->text(section, key));
    if (!number)
        throw std::logic_error(absl::StrCat("[", section, "] ", key, " is not a number"));
    return *number;
}

Duration Settings::duration(const std::string &section, const std::string &key) const
{
    const std::optional<Duration> duration = parseDuration(this->text(section, key));
    if (!duration)
        throw std::logic_error(absl::StrCat("[", section, "] ", key, " is not a duration"));
    return *duration;
}

std::vector<std::string> Settings::list(const std::string &section, const std::string &key) const
{
    return parseList(this->text(section, key));
}

int Settings::line(const std::string &section, const std::string &key) const
{
    const auto found = this->values.find({section, key});
    return found == this->values.end() ? 0 : found->second.line;
}

SettingsSchema::SettingsSchema(std::string name)
    : programName(std::move(name))
{
}

SettingsSchema &SettingsSchema::add(Setting setting)
{
    this->declaredSettings.push_back(std::move(setting));
    return *this;
}

SettingsSchema &SettingsSchema::addCheck(SettingsCheck check)
{
    this->checks.push_back(std::move(check));
    return *this;
}

const Setting *SettingsSchema::find(const std::string &section, const std::string &key) const
{
    for (const Setting &setting : this->declaredSettings) {
        if (setting.section == section && setting.key == key)
            return &setting;
    }
    return nullptr;
}

bool SettingsSchema::hasSection(const std::string &section) const
{
    return std::any_of(this->declaredSettings.begin(), this->declaredSettings.end(),
                       [&](const Setting &setting) { return setting.section == section; });
}

LoadedSettings SettingsSchema::load(const std::string &file) const
{
    std::ifstream stream(file);
    if (!stream) {
        LoadedSettings loaded;
        loaded.faults.push_back({file, 0, "", "", "no readable file", "a settings file"});
        return loaded;
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return this->loadText(content.str(), file);
}

LoadedSettings SettingsSchema::loadText(const std::string &content, const std::string &file) const
{
    const SettingsFileContent parsed = parseSettingsText(content, file);
    LoadedSettings loaded;
    loaded.settings.fileName = file;
    loaded.faults = parsed.faults;
    auto &values = loaded.settings.values;

    for (const SettingsSectionStart &start : parsed.sections) {
        if (!this->hasSection(start.section))
            loaded.faults.push_back({file, start.line, start.section, "", "an unknown section",
                                     "a section of " + this->programName});
    }
    for (const SettingsEntry &entry : parsed.entries) {
        const Setting *setting = this->find(entry.section, entry.key);
        if (setting == nullptr) {
            if (this->hasSection(entry.section) || entry.section.empty())
                loaded.faults.push_back({file, entry.line, entry.section, entry.key,
                                         "an unknown key", "a key of " + this->programName});
            continue;
        }
        const auto [position, added] =
            values.insert({{entry.section, entry.key}, {entry.value, entry.line}});
        if (!added) {
            loaded.faults.push_back(
                {file, entry.line, entry.section, entry.key, "a second value",
                 absl::StrCat("one value; the first is on line ", position->second.line)});
        } else if (!acceptsValue(*setting, entry.value)) {
            loaded.faults.push_back({file, entry.line, entry.section, entry.key,
                                     absl::StrCat("\"", entry.value, "\""), setting->expected()});
        }
    }
    for (const Setting &setting : this->declaredSettings) {
        if (values.count({setting.section, setting.key}) != 0)
            continue;
        if (setting.defaultValue)
            values[{setting.section, setting.key}] = {*setting.defaultValue, 0};
        else
            loaded.faults.push_back(
                {file, 0, setting.section, setting.key, "no value", setting.expected()});
    }
    if (loaded.faults.empty()) {
        for (const SettingsCheck &check : this->checks)
            check(loaded.settings, loaded.faults);
    }
    std::stable_sort(
        loaded.faults.begin(), loaded.faults.end(),
        [](const SettingsFault &a, const SettingsFault &b) { return a.line < b.line; });
    return loaded;
}

SettingsFault faultAt(const Settings &settings, const std::string &section, const std::string &key,
                      std::string found, std::string expected)
{
    return {settings.file(),  settings.line(section, key), section, key,
            std::move(found), std::move(expected)};
}

} // namespace rhubarbweir
