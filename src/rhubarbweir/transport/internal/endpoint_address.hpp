// Parsing of host:port.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace rhubarbweir {

struct HostPort
{
    std::string host;
    std::uint16_t port = 0;
};

// Errors: InvalidArgument for anything but host:port.
absl::StatusOr<HostPort> parseHostPort(const std::string &address);

} // namespace rhubarbweir
