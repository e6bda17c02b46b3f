// Chooses the replica that serves a read: freshness first, then load and weight.
#pragma once

#include "rhubarbweir/coordination/proxy/target_pool.hpp"

#include <map>
#include <optional>

namespace rhubarbweir {

class ReplicaSelector
{
public:
    // What the replicas of a group can do for a read of some least position.
    struct Choice
    {
        // Set when a replica can start the read now.
        std::optional<TargetId> replica;
        // Some replica covers the position, though it may be busy.
        bool anyCovers = false;
        // Some replica is connected and in the current term, though it may be behind.
        bool anyUsable = false;
    };

    Choice choose(const GroupView &group, const TargetPool &pool, const LogPosition &minimum,
                  TimePoint now) const;
    // Notes that `target` was given a read.
    void served(const TargetId &target) { ++this->reads[target]; }

private:
    bool isUsable(const GroupView &group, const TargetView &target, const TargetPool &pool) const;

    // Reads given to each target; breaks ties of equal load by weight.
    std::map<TargetId, std::uint64_t> reads;
};

} // namespace rhubarbweir
