// See descriptor_limit.hpp.
#include "programs/support/descriptor_limit.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace rhubarbweir {

std::uint32_t reserveDescriptors(std::uint32_t wanted)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return wanted;
    const auto allowed = static_cast<std::uint32_t>(std::min<rlim_t>(wanted, limit.rlim_max));
    if (limit.rlim_cur < allowed) {
        limit.rlim_cur = allowed;
        // A soft limit below the hard one may always be raised; a refusal changes nothing.
        (void)::setrlimit(RLIMIT_NOFILE, &limit);
    }
    return allowed;
}

} // namespace rhubarbweir
