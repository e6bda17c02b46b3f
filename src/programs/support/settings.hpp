// Settings of a program. A schema declares each setting once; loading, validation and the settings
// reference are derived from it.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbweir {

enum class SettingType {
    Text,
    Integer,
    TimeSpan,
    // IPv4 address and port.
    Address,
    AddressList,
    List,
    Choice,
    // Data folder: writable, or missing and possible to create.
    Folder,
    // Output file: writable, or missing and possible to create.
    OutputFile,
};

// Declaration of one setting.
struct Setting
{
    std::string section;
    std::string key;
    SettingType type = SettingType::Text;
    std::string description;
    // Inclusive bounds of integers, and of durations in microseconds.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::vector<std::string> choices;
    // Absent for a required setting; empty for an optional setting without a default value.
    std::optional<std::string> defaultValue;

    static Setting text(std::string section, std::string key, std::string description);
    static Setting integer(std::string section, std::string key, std::int64_t minimum,
                           std::int64_t maximum, std::string description);
    static Setting duration(std::string section, std::string key, Duration minimum,
                            Duration maximum, std::string description);
    static Setting address(std::string section, std::string key, std::string description);
    static Setting addressList(std::string section, std::string key, std::string description);
    static Setting list(std::string section, std::string key, std::string description);
    static Setting choice(std::string section, std::string key, std::vector<std::string> choices,
                          std::string description);
    static Setting folder(std::string section, std::string key, std::string description);
    static Setting outputFile(std::string section, std::string key, std::string description);

    // Returns a copy of the setting with the default value `value`.
    Setting otherwise(std::string value) const;
    // Returns a readable description of the accepted values.
    std::string expected() const;
};

// An error in a settings file.
struct SettingsFault
{
    std::string file;
    // 0 when no line can be named, such as for a missing setting.
    int line = 0;
    std::string section;
    std::string key;
    std::string found;
    std::string expected;
};

// "FILE:LINE: [section] key: found …, expected …"
std::ostream &operator<<(std::ostream &out, const SettingsFault &fault);

// Validated values of a settings file. Reading an undeclared setting, or one as another type, is a
// programming error and throws std::logic_error.
class Settings
{
public:
    using Key = std::pair<std::string, std::string>;

    std::string text(const std::string &section, const std::string &key) const;
    std::int64_t integer(const std::string &section, const std::string &key) const;
    Duration duration(const std::string &section, const std::string &key) const;
    std::vector<std::string> list(const std::string &section, const std::string &key) const;
    // Returns the line of the value in the file; 0 for a default value.
    int line(const std::string &section, const std::string &key) const;
    const std::string &file() const { return this->fileName; }

private:
    friend class SettingsSchema;

    struct Value
    {
        std::string text;
        int line = 0;
    };

    std::string fileName;
    // Contains every setting of the schema after a successful load.
    std::map<Key, Value> values;
};

struct LoadedSettings
{
    Settings settings;
    // `settings` is valid only when this is empty.
    std::vector<SettingsFault> faults;
};

// Validates settings that depend on each other and appends the errors found.
using SettingsCheck = std::function<void(const Settings &, std::vector<SettingsFault> &)>;

class SettingsSchema
{
public:
    explicit SettingsSchema(std::string programName);

    SettingsSchema &add(Setting setting);
    // Adds a check that runs only when each single value is valid.
    SettingsSchema &addCheck(SettingsCheck check);

    // Reads and validates `file`; returns all errors, not only the first.
    LoadedSettings load(const std::string &file) const;
    // Same as load(), for a file whose content was already read.
    LoadedSettings loadText(const std::string &content, const std::string &file) const;

    const std::string &program() const { return this->programName; }
    const std::vector<Setting> &settings() const { return this->declaredSettings; }

private:
    const Setting *find(const std::string &section, const std::string &key) const;
    bool hasSection(const std::string &section) const;

    std::string programName;
    // No two settings have the same section and key.
    std::vector<Setting> declaredSettings;
    std::vector<SettingsCheck> checks;
};

// Creates the error that a SettingsCheck reports for the value of a setting.
SettingsFault faultAt(const Settings &settings, const std::string &section, const std::string &key,
                      std::string found, std::string expected);

// Writes the settings reference of `schema` as a Markdown section.
void writeSettingsReference(const SettingsSchema &schema, std::ostream &out);

} // namespace rhubarbweir
