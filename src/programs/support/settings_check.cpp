// See settings_check.hpp.
#include "programs/support/settings_check.hpp"

#include "programs/support/settings_values.hpp"

#include <algorithm>
#include <filesystem>
#include <system_error>
#include <unistd.h>

namespace rhubarbweir {

namespace {

bool isWritable(const std::filesystem::path &path)
{
    return ::access(path.c_str(), W_OK) == 0;
}

std::filesystem::path parentOf(const std::filesystem::path &path)
{
    return path.has_parent_path() ? path.parent_path() : std::filesystem::path(".");
}

bool isUsableFolder(const std::filesystem::path &path)
{
    std::error_code error;
    if (std::filesystem::exists(path, error))
        return std::filesystem::is_directory(path, error) && isWritable(path);
    const std::filesystem::path parent = parentOf(path);
    return std::filesystem::is_directory(parent, error) && isWritable(parent);
}

bool isUsableFile(const std::filesystem::path &path)
{
    std::error_code error;
    if (std::filesystem::exists(path, error))
        return !std::filesystem::is_directory(path, error) && isWritable(path);
    const std::filesystem::path parent = parentOf(path);
    return std::filesystem::is_directory(parent, error) && isWritable(parent);
}

bool isWithin(const Setting &setting, std::int64_t number)
{
    return number >= setting.minimum && number <= setting.maximum;
}

bool isAddressList(const std::string &value)
{
    const std::vector<std::string> items = parseList(value);
    return !items.empty() && std::all_of(items.begin(), items.end(), isAddress);
}

} // namespace

bool acceptsValue(const Setting &setting, const std::string &value)
{
    if (value.empty() && setting.defaultValue && setting.defaultValue->empty())
        return true;
    switch (setting.type) {
    case SettingType::Text:
        return !value.empty();
    case SettingType::Integer: {
        const std::optional<std::int64_t> number = parseInteger(value);
        return number && isWithin(setting, *number);
    }
    case SettingType::TimeSpan: {
        const std::optional<Duration> duration = parseDuration(value);
        return duration && isWithin(setting, duration->count());
    }
    case SettingType::Address:
        return isAddress(value);
    case SettingType::AddressList:
        return isAddressList(value);
    case SettingType::List:
        return !parseList(value).empty();
    case SettingType::Choice:
        return std::find(setting.choices.begin(), setting.choices.end(), value)
               != setting.choices.end();
    case SettingType::Folder:
        return isUsableFolder(value);
    case SettingType::OutputFile:
        return isUsableFile(value);
    }
    return false;
}

} // namespace rhubarbweir
