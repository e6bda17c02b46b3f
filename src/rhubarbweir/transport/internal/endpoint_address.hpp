// Addresses of the form host:port, and errors of listening on them.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <system_error>

namespace rhubarbweir {

struct HostPort
{
    std::string host;
    std::uint16_t port = 0;
};

// Errors: InvalidArgument if `address` does not have the form host:port.
absl::StatusOr<HostPort> parseHostPort(const std::string &address);

// PermissionDenied if the process may not use the port, otherwise Unavailable.
absl::Status listenStatus(const std::string &address, const std::error_code &error);

} // namespace rhubarbweir
