// Digest of a caller's API key. Instances that serve callers keep digests instead of keys, so that
// no key can reach a log line, a metric or a target.
#pragma once

#include <array>
#include <cstdint>

namespace rhubarbweir {

struct KeyDigest
{
    // SHA-256 of the key's text.
    std::array<std::uint8_t, 32> bytes{};

    friend bool operator==(const KeyDigest &a, const KeyDigest &b) { return a.bytes == b.bytes; }
    friend bool operator<(const KeyDigest &a, const KeyDigest &b) { return a.bytes < b.bytes; }
};

} // namespace rhubarbweir
