// See internal_addresses.hpp.
#include "programs/support/internal_addresses.hpp"

#include <absl/strings/str_cat.h>

namespace rhubarbweir {

std::string internalAddress(const std::string &controlAddress, std::uint16_t port)
{
    return absl::StrCat(controlAddress.substr(0, controlAddress.rfind(':')), ":", port);
}

std::vector<std::string> internalAddresses(const platform::ProcessSettings &settings)
{
    std::vector<std::string> addresses;
    for (const std::string &seed : settings.seeds)
        addresses.push_back(internalAddress(seed, settings.firstInternalPort));
    return addresses;
}

std::string withPortOf(const std::string &address, const std::string &other)
{
    return address.substr(0, address.rfind(':')) + other.substr(other.rfind(':'));
}

} // namespace rhubarbweir
