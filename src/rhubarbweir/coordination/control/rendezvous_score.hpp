// Score for rendezvous hashing: the instances with the highest scores hold the key. Equal on all
// machines, and a lost instance moves only the keys that it held.
#pragma once

#include "rhubarbweir/state/ids.hpp"

#include <cstdint>
#include <string>

namespace rhubarbweir {

std::uint64_t rendezvousScore(const std::string &key, const InstanceId &instance);

} // namespace rhubarbweir
