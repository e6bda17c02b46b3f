// Addresses of the fleet's internal protocol, derived from those of the settings. All instances use
// the same ports.
#pragma once

#include "platform/process_settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbweir {

// Internal address of the control instance that serves operators at `controlAddress`.
std::string internalAddress(const std::string &controlAddress, std::uint16_t port);

// Internal addresses of the control instances named in the settings.
std::vector<std::string> internalAddresses(const platform::ProcessSettings &settings);

// `address` with its port replaced by that of `other`.
std::string withPortOf(const std::string &address, const std::string &other);

} // namespace rhubarbweir
