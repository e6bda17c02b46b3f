// Selects the proxies that hold the grants of a group.
#pragma once

#include "rhubarbweir/state/grant_book.hpp"

#include <cstddef>
#include <vector>

namespace rhubarbweir {

// Maximum number of holders per group.
inline constexpr std::size_t MaxHolders = 2;

// Keeps the holders in `present` that are still among `candidates`, in their order, and adds
// candidates by rendezvous hashing up to `count`, preferring failure domains without a holder. A
// present holder is replaced if it shares a failure domain with an earlier one and another domain
// is available. Shares are left empty.
std::vector<GrantHolder> chooseHolders(const GroupId &group, std::size_t count,
                                       const std::vector<GrantHolder> &present,
                                       const std::vector<GrantHolder> &candidates);

} // namespace rhubarbweir
