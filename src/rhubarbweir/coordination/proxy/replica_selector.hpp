// Selects the replica for a read: it has to be fresh enough; among those, load per weight decides.
#pragma once

#include "rhubarbweir/coordination/proxy/target_pool.hpp"

#include <map>
#include <optional>

namespace rhubarbweir {

class ReplicaSelector
{
public:
    // Result for a read that has to cover a minimum position.
    struct Choice
    {
        // Set if a replica can execute the read now.
        std::optional<TargetId> replica;
        // Whether any replica covers the position, even if it is busy.
        bool anyCovers = false;
        // Whether any replica is connected and in the current term, even if it is behind.
        bool anyUsable = false;
    };

    Choice choose(const GroupView &group, const TargetPool &pool, const LogPosition &minimum,
                  TimePoint now) const;
    // Counts a read assigned to `target`.
    void recordAssignment(const TargetId &target) { ++this->assignedReads[target]; }

private:
    bool isUsable(const GroupView &group, const TargetView &target, const TargetPool &pool) const;

    // Reads assigned to each target; relative to the weight it breaks ties of equal load.
    std::map<TargetId, std::uint64_t> assignedReads;
};

} // namespace rhubarbweir
