// Selects the target to promote among those fenced into a term.
#pragma once

#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/log_position.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace rhubarbweir {

// A target that has left all earlier terms, so that its log no longer changes.
struct FencedTarget
{
    TargetId target;
    LogPosition received;
    bool isAlive = false;
    // Number of failure domains whose callers reach the target, minus those whose callers do not.
    int reachability = 0;
    bool isLeaving = false;
};

// Returns the target with the most advanced log among fenced targets that form a majority of
// `size`. That log contains every write that was confirmed by a majority. Ties are broken in favor
// of `preferred`, then targets that are not leaving, then the better reachable one, then the
// smaller id. Returns nullopt while no majority is fenced or the selected target is not alive.
std::optional<TargetId> choosePrimary(const std::vector<FencedTarget> &fenced, std::uint32_t size,
                                      const TargetId &preferred);

} // namespace rhubarbweir
