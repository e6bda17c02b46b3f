// Tracks the slots of a group's targets that this proxy uses, and enforces its grants and lease.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"

#include <map>
#include <vector>

namespace rhubarbweir {

class SlotTracker
{
public:
    void setLease(TimePoint deadline) { this->leaseEnd = deadline; }
    // If a limit drops below the slots in use, none can be taken until enough are released.
    void setGrants(const std::vector<TargetGrant> &grants);

    bool isLeaseValid(TimePoint now) const { return now < this->leaseEnd; }
    bool hasFree(const TargetId &target, TimePoint now) const;
    // False, without effect, if no slot is free or the lease has ended.
    bool tryTake(const TargetId &target, TimePoint now);
    void release(const TargetId &target);

    std::uint32_t limit(const TargetId &target) const;
    std::uint32_t used(const TargetId &target) const;
    // Totals over all targets.
    std::uint32_t totalFree() const;
    std::uint32_t totalLimit() const;

private:
    struct Slots
    {
        std::uint32_t limit = 0;
        // Exceeds `limit` only after the limit was reduced.
        std::uint32_t used = 0;
    };

    std::map<TargetId, Slots> slots;
    TimePoint leaseEnd;
};

} // namespace rhubarbweir
