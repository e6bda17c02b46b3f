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

// Returns the nearest existing ancestor of `path`. Missing folders below it are created when the
// program starts.
std::filesystem::path existingAncestor(const std::filesystem::path &path)
{
    std::error_code error;
    std::filesystem::path ancestor = std::filesystem::absolute(path, error).parent_path();
    while (!std::filesystem::exists(ancestor, error) && ancestor.has_relative_path())
        ancestor = ancestor.parent_path();
    return ancestor;
}

bool isWritableFolder(const std::filesystem::path &path)
{
    std::error_code error;
    return std::filesystem::is_directory(path, error) && isWritable(path);
}

bool isUsableFolder(const std::filesystem::path &path)
{
    std::error_code error;
    return isWritableFolder(std::filesystem::exists(path, error) ? path : existingAncestor(path));
}

bool isUsableFile(const std::filesystem::path &path)
{
    std::error_code error;
    if (!path.has_filename())
        return false;
    if (std::filesystem::exists(path, error))
        return !std::filesystem::is_directory(path, error) && isWritable(path);
    return isWritableFolder(existingAncestor(path));
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
