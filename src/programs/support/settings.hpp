// Settings of a program: one schema declares each setting once; loading, checking and the
// settings reference all follow from it.
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
    // Numeric host and port.
    Address,
    AddressList,
    List,
    Choice,
    // A data folder: a writable folder, or one that can be made.
    Folder,
    // A file that can be written.
    OutputFile,
};

// Declaration of one setting.
struct Setting
{
    std::string section;
    std::string key;
    SettingType type = SettingType::Text;
    std::string description;
    // Bounds of integers, and of durations in microseconds; both included.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::vector<std::string> choices;
    // Absent: the setting must be given. Empty text: the setting may be left out.
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

    // The setting with a default.
    Setting otherwise(std::string value) const;
    // What the setting accepts, for people.
    std::string expected() const;
};

// One thing wrong with a settings file.
struct SettingsFault
{
    std::string file;
    // 0 when the fault has no line, such as a missing setting.
    int line = 0;
    std::string section;
    std::string key;
    std::string found;
    std::string expected;
};

// "FILE:LINE: [section] key: found …, expected …"
std::ostream &operator<<(std::ostream &out, const SettingsFault &fault);

// Checked values. Access to a setting that the schema lacks, or of another type, is a
// programming error and throws std::logic_error.
class Settings
{
public:
    using Key = std::pair<std::string, std::string>;

    std::string text(const std::string &section, const std::string &key) const;
    std::int64_t integer(const std::string &section, const std::string &key) const;
    Duration duration(const std::string &section, const std::string &key) const;
    std::vector<std::string> list(const std::string &section, const std::string &key) const;
    // Line of the value; 0 when it is the default.
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
    // Holds every setting of the schema once loading succeeded.
    std::map<Key, Value> values;
};

struct LoadedSettings
{
    Settings settings;
    // `settings` may be used only when this is empty.
    std::vector<SettingsFault> faults;
};

// Checks that span several settings; adds what it finds to the faults.
using SettingsCheck = std::function<void(const Settings &, std::vector<SettingsFault> &)>;

class SettingsSchema
{
public:
    explicit SettingsSchema(std::string programName);

    SettingsSchema &add(Setting setting);
    // Runs after every single value was found right.
    SettingsSchema &addCheck(SettingsCheck check);

    // Reads and checks `file`; reports all faults.
    LoadedSettings load(const std::string &file) const;
    // The same for text that stands for the content of `file`.
    LoadedSettings loadText(const std::string &content, const std::string &file) const;

    const std::string &program() const { return this->programName; }
    const std::vector<Setting> &settings() const { return this->declared; }

private:
    const Setting *find(const std::string &section, const std::string &key) const;
    bool hasSection(const std::string &section) const;

    std::string programName;
    // No two have the same section and key.
    std::vector<Setting> declared;
    std::vector<SettingsCheck> checks;
};

// A fault of one setting's value that a SettingsCheck found.
SettingsFault faultAt(const Settings &settings, const std::string &section, const std::string &key,
                      std::string found, std::string expected);

// Writes the reference of `schema` as a Markdown section.
void writeSettingsReference(const SettingsSchema &schema, std::ostream &out);

} // namespace rhubarbweir
