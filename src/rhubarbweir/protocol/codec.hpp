// Serialization of all messages.
//
// A message is encoded as a map {"v": wire version, "t": type name, "b": body}. Processes of the
// system exchange CBOR; callers may use CBOR or JSON text.
#pragma once

#include "rhubarbweir/protocol/message.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace rhubarbweir {

enum class Encoding {
    Cbor,
    Json,
};

inline constexpr unsigned WireVersion = 1;
// Maximum size of an encoded message, in bytes.
inline constexpr std::size_t MaxMessageBytes = 1 << 20;

std::string encode(const Message &message, Encoding encoding = Encoding::Cbor);

// Errors: InvalidArgument for malformed bytes, Unimplemented for an unsupported wire version or an
// unknown message type, ResourceExhausted for more than MaxMessageBytes.
absl::StatusOr<Message> decode(std::string_view bytes, Encoding encoding = Encoding::Cbor);

// Name of the message's type as used on the wire and in logs.
std::string_view typeName(const Message &message);

} // namespace rhubarbweir
