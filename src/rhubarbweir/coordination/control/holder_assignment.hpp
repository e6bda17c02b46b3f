// Chooses the proxies that hold a group's grants.
#pragma once

#include "rhubarbweir/state/grant_book.hpp"

#include <cstddef>
#include <vector>

namespace rhubarbweir {

// Most holders of a group.
inline constexpr std::size_t MaxHolders = 2;

// Keeps the holders of `present` that are still among `candidates`, in their order, and fills up
// to `count` by rendezvous hashing, in another failure domain where there is one. Shares are
// left empty.
std::vector<GrantHolder> chooseHolders(const GroupId &group, std::size_t count,
                                       const std::vector<GrantHolder> &present,
                                       const std::vector<GrantHolder> &candidates);

} // namespace rhubarbweir
