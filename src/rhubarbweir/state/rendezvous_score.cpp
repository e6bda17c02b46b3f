// See rendezvous_score.hpp.
#include "rhubarbweir/state/rendezvous_score.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <string>

namespace rhubarbweir {

std::uint64_t rendezvousScore(std::string_view key, const InstanceId &instance)
{
    std::string text;
    text.reserve(key.size() + 1 + instance.value.size());
    text.append(key).append(1, '\n').append(instance.value);
    return XXH3_64bits(text.data(), text.size());
}

} // namespace rhubarbweir
