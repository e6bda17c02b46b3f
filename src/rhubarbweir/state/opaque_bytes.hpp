// Byte string that need not be valid text, encoded as a CBOR byte string.
#pragma once

#include <string>
#include <utility>

namespace rhubarbweir {

struct OpaqueBytes
{
    std::string bytes;

    OpaqueBytes() = default;
    explicit OpaqueBytes(std::string value)
        : bytes(std::move(value))
    {
    }

    friend bool operator==(const OpaqueBytes &a, const OpaqueBytes &b)
    {
        return a.bytes == b.bytes;
    }
    friend bool operator!=(const OpaqueBytes &a, const OpaqueBytes &b) { return !(a == b); }
};

} // namespace rhubarbweir
