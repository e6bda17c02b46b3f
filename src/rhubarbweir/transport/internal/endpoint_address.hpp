// Parses addresses of the form host:port.
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

// Errors: InvalidArgument if `address` does not have the form host:port.
absl::StatusOr<HostPort> parseHostPort(const std::string &address);

} // namespace rhubarbweir
