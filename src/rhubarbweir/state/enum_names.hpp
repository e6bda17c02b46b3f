// Names of enumerators as they appear on the wire, in logs and in tables.
#pragma once

#include <cstddef>
#include <iterator>
#include <optional>
#include <string_view>

namespace rhubarbweir {

// Specialised next to each named enumeration with `static constexpr std::string_view Names[]`: one
// name for each enumerator, in order, starting at value 0.
template<typename Enum>
struct EnumNames;

// "?" for a value without a name.
template<typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < std::size(EnumNames<Enum>::Names) ? EnumNames<Enum>::Names[index] : "?";
}

template<typename Enum>
constexpr std::optional<Enum> enumFromName(std::string_view name)
{
    for (std::size_t index = 0; index < std::size(EnumNames<Enum>::Names); ++index) {
        if (EnumNames<Enum>::Names[index] == name)
            return static_cast<Enum>(index);
    }
    return std::nullopt;
}

} // namespace rhubarbweir
