// Conversions between Message and the smaller variants that individual components use.
#pragma once

#include "rhubarbweir/protocol/message.hpp"

#include <optional>
#include <type_traits>
#include <variant>

namespace rhubarbweir {

template<typename Variant>
Message toMessage(const Variant &message)
{
    return std::visit([](const auto &body) -> Message { return body; }, message);
}

// The message as a `Variant`. Absent if its type is not an alternative of `Variant`.
template<typename Variant>
std::optional<Variant> messageAs(const Message &message)
{
    return std::visit(
        [](const auto &body) -> std::optional<Variant> {
            if constexpr (std::is_constructible_v<Variant, decltype(body)>)
                return Variant(body);
            else
                return std::nullopt;
        },
        message);
}

} // namespace rhubarbweir
