// See endpoint_address.hpp.
#include "rhubarbweir/transport/internal/endpoint_address.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace rhubarbweir {

absl::StatusOr<HostPort> parseHostPort(const std::string &address)
{
    const auto colon = address.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(address.substr(colon + 1), &port)
        || port > 65535)
        return absl::InvalidArgumentError(
            absl::StrCat("address is not of the form host:port: ", address));
    return HostPort{address.substr(0, colon), static_cast<std::uint16_t>(port)};
}

absl::Status listenStatus(const std::string &address, const std::error_code &error)
{
    const std::string text = absl::StrCat("cannot listen on ", address, ": ", error.message());
    return error == std::errc::permission_denied ? absl::PermissionDeniedError(text)
                                                 : absl::UnavailableError(text);
}

} // namespace rhubarbweir
