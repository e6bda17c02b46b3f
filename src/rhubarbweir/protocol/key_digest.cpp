// See key_digest.hpp.
#include "rhubarbweir/protocol/key_digest.hpp"

#include <openssl/sha.h>

namespace rhubarbweir {

KeyDigest digestOfKey(std::string_view key)
{
    KeyDigest digest;
    static_assert(sizeof(digest.bytes) == SHA256_DIGEST_LENGTH);
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.bytes.data());
    return digest;
}

} // namespace rhubarbweir
