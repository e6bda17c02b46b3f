// See rendezvous_score.hpp.
#include "rhubarbweir/coordination/control/rendezvous_score.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rhubarbweir {

std::uint64_t rendezvousScore(const std::string &key, const InstanceId &instance)
{
    const std::string text = key + '\n' + instance.value;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace rhubarbweir
