// Counts the slots of a group's targets that this proxy uses against its grant and lease.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"

#include <map>
#include <vector>

namespace rhubarbweir {

class SlotLedger
{
public:
    void setLease(TimePoint deadline) { this->leaseEnd = deadline; }
    // A shrunk limit below the use lets nothing start until the use has fallen.
    void setGrants(const std::vector<TargetGrant> &grants);

    bool leaseHolds(TimePoint now) const { return now < this->leaseEnd; }
    bool hasFree(const TargetId &target, TimePoint now) const;
    // False, and nothing taken, without a free slot or a valid lease.
    bool tryTake(const TargetId &target, TimePoint now);
    void release(const TargetId &target);

    std::uint32_t limit(const TargetId &target) const;
    std::uint32_t used(const TargetId &target) const;
    // Over all targets.
    std::uint32_t totalFree() const;
    std::uint32_t totalLimit() const;

private:
    struct Slots
    {
        std::uint32_t limit = 0;
        // Above `limit` only after the limit shrank.
        std::uint32_t used = 0;
    };

    std::map<TargetId, Slots> slots;
    TimePoint leaseEnd;
};

} // namespace rhubarbweir
