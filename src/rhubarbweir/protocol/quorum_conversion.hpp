// Between the quorum log's messages and the system's message type.
#pragma once

#include "rhubarbweir/protocol/message.hpp"

#include <optional>
#include <type_traits>
#include <variant>

namespace rhubarbweir {

inline Message toMessage(const QuorumMessage &message)
{
    return std::visit([](const auto &body) -> Message { return body; }, message);
}

// Absent for a message of another part of the system.
inline std::optional<QuorumMessage> toQuorumMessage(const Message &message)
{
    return std::visit(
        [](const auto &body) -> std::optional<QuorumMessage> {
            if constexpr (std::is_constructible_v<QuorumMessage, decltype(body)>)
                return QuorumMessage(body);
            else
                return std::nullopt;
        },
        message);
}

} // namespace rhubarbweir
