// Chooses the target to promote among those that were fenced into a term.
#pragma once

#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/log_position.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace rhubarbweir {

// A target that left every earlier term; its log no longer changes.
struct FencedTarget
{
    TargetId target;
    LogPosition received;
    bool isAlive = false;
    // Failure domains of callers that reach it, less those that do not.
    int reachability = 0;
    bool isLeaving = false;
};

// The target with the greatest log among a majority of `size` fenced ones. That log holds every
// write that was confirmed by a majority. Among equal logs `preferred` goes first, then targets
// that stay, then the better reachable, then the lesser id. None while fewer than a majority is
// fenced or the answer is not alive.
std::optional<TargetId> choosePrimary(const std::vector<FencedTarget> &fenced, std::uint32_t size,
                                      const TargetId &preferred);

} // namespace rhubarbweir
