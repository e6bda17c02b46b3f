// The kernel's limit on a process's file descriptors.
#pragma once

#include <cstdint>

namespace rhubarbweir {

// Raises the soft limit to `wanted` as far as the hard limit allows. Returns the number of
// descriptors that the process may plan with: `wanted`, or the hard limit if that is lower.
std::uint32_t reserveDescriptors(std::uint32_t wanted);

} // namespace rhubarbweir
