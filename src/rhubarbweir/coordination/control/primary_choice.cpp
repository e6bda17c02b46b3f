// See primary_choice.hpp.
#include "rhubarbweir/coordination/control/primary_choice.hpp"

#include "rhubarbweir/state/group_record.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace rhubarbweir {

namespace {

std::optional<TargetId> mostAdvanced(const std::vector<FencedTarget> &fenced, std::uint32_t size,
                                     const TargetId &preferred)
{
    if (fenced.size() < majorityOf(size))
        return std::nullopt;
    const auto isLess = [&](const FencedTarget &a, const FencedTarget &b) {
        if (a.received != b.received)
            return a.received < b.received;
        // Compares "a is worse than b"; ids are swapped so that the smaller one is preferred.
        return std::make_tuple(a.isAlive, a.target == preferred, !a.isLeaving, a.reachability,
                               b.target)
               < std::make_tuple(b.isAlive, b.target == preferred, !b.isLeaving, b.reachability,
                                 a.target);
    };
    const auto best = std::max_element(fenced.begin(), fenced.end(), isLess);
    if (!best->isAlive)
        return std::nullopt;
    return best->target;
}

} // namespace

std::optional<TargetId> choosePrimary(const std::vector<FencedTarget> &fenced, std::uint32_t size,
                                      const TargetId &preferred)
{
    auto best = mostAdvanced(fenced, size, preferred);
    if (best)
        return best;
    // The fenced target with the most advanced log is down. Any other fenced majority serves as
    // well.
    std::vector<FencedTarget> alive;
    std::copy_if(fenced.begin(), fenced.end(), std::back_inserter(alive),
                 [](const FencedTarget &target) { return target.isAlive; });
    return mostAdvanced(alive, size, preferred);
}

} // namespace rhubarbweir
