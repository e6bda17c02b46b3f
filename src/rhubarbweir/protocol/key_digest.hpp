// Computes digests of API keys.
#pragma once

#include "rhubarbweir/state/key_digest.hpp"

#include <string_view>

namespace rhubarbweir {

KeyDigest digestOfKey(std::string_view key);

} // namespace rhubarbweir
