// Score for rendezvous hashing: the instances with the highest scores hold the key. Equal on all
// machines. A lost instance moves only the keys that it held.
#pragma once

#include "rhubarbweir/state/ids.hpp"

#include <cstdint>
#include <string_view>

namespace rhubarbweir {

std::uint64_t rendezvousScore(std::string_view key, const InstanceId &instance);

} // namespace rhubarbweir
