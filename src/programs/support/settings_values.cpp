// See settings_values.hpp.
#include "programs/support/settings_values.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <limits>

namespace rhubarbweir {

namespace {

struct DurationUnit
{
    std::string_view name;
    std::int64_t microseconds;
};

// Longest unit first, so that formatDuration() finds the shortest text.
constexpr DurationUnit DurationUnits[] = {
    {"h", 3'600'000'000}, {"m", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}, {"us", 1},
};

bool isDecimal(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

} // namespace

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    const std::string_view digits = !text.empty() && text[0] == '-' ? text.substr(1) : text;
    std::int64_t number = 0;
    if (!isDecimal(digits)
        || !absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number))
        return std::nullopt;
    return number;
}

std::optional<Duration> parseDuration(std::string_view text)
{
    const std::size_t unitStart = text.find_first_not_of("0123456789");
    if (unitStart == std::string_view::npos)
        return std::nullopt;
    const std::optional<std::int64_t> number = parseInteger(text.substr(0, unitStart));
    if (!number)
        return std::nullopt;
    for (const DurationUnit &unit : DurationUnits) {
        if (unit.name != text.substr(unitStart))
            continue;
        if (*number > std::numeric_limits<std::int64_t>::max() / unit.microseconds)
            return std::nullopt;
        return Duration(*number * unit.microseconds);
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    for (const DurationUnit &unit : DurationUnits) {
        if (duration.count() != 0 && duration.count() % unit.microseconds == 0)
            return absl::StrCat(duration.count() / unit.microseconds, std::string(unit.name));
    }
    return "0s";
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string_view portText = text.substr(colon + 1);
    const std::optional<std::int64_t> port = parseInteger(portText);
    if (!isDecimal(portText) || !port || *port < 1 || *port > 65535)
        return false;
    const std::vector<std::string> parts =
        absl::StrSplit(absl::string_view(text.data(), colon), '.');
    if (parts.size() != 4)
        return false;
    for (const std::string &part : parts) {
        const std::optional<std::int64_t> number = parseInteger(part);
        if (!isDecimal(part) || part.size() > 3 || !number || *number > 255)
            return false;
    }
    return true;
}

std::vector<std::string> parseList(std::string_view text)
{
    std::vector<std::string> items;
    for (absl::string_view item :
         absl::StrSplit(absl::string_view(text.data(), text.size()), absl::ByAnyChar(",\n"))) {
        item = absl::StripAsciiWhitespace(item);
        if (!item.empty())
            items.emplace_back(item);
    }
    return items;
}

} // namespace rhubarbweir
