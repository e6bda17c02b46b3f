// Parses INI text into entries with line numbers and reports all syntax errors.
#pragma once

#include "programs/support/settings.hpp"

#include <string>
#include <vector>

namespace rhubarbweir {

struct SettingsEntry
{
    std::string section;
    std::string key;
    // Continuation lines are joined by newlines.
    std::string value;
    int line = 0;
};

struct SettingsSectionStart
{
    std::string section;
    int line = 0;
};

struct SettingsFileContent
{
    std::vector<SettingsEntry> entries;
    std::vector<SettingsSectionStart> sections;
    std::vector<SettingsFault> faults;
};

SettingsFileContent parseSettingsText(const std::string &content, const std::string &file);

} // namespace rhubarbweir
