// The one place where messages become bytes and bytes become messages.
//
// A message is a map {"v": wire version, "t": type name, "b": body}, in CBOR between the
// system's processes and in CBOR or JSON text towards callers.
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
// Largest message accepted, in bytes.
inline constexpr std::size_t MaxMessageBytes = 1 << 20;

std::string encode(const Message &message, Encoding encoding = Encoding::Cbor);

// Errors: InvalidArgument for malformed bytes, Unimplemented for another wire version or an
// unknown type, ResourceExhausted for more than MaxMessageBytes.
absl::StatusOr<Message> decode(std::string_view bytes, Encoding encoding = Encoding::Cbor);

// Name of the message's type, as on the wire and in logs.
std::string_view typeName(const Message &message);

} // namespace rhubarbweir
