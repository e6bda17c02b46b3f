// See slot_tracker.hpp.
#include "rhubarbweir/coordination/proxy/slot_tracker.hpp"

namespace rhubarbweir {

void SlotTracker::setGrants(const std::vector<TargetGrant> &grants)
{
    for (auto &[target, slot] : this->slots)
        slot.limit = 0;
    for (const TargetGrant &grant : grants)
        this->slots[grant.target].limit = grant.slots;
}

bool SlotTracker::hasFree(const TargetId &target, TimePoint now) const
{
    return this->isLeaseValid(now) && this->used(target) < this->limit(target);
}

bool SlotTracker::tryTake(const TargetId &target, TimePoint now)
{
    if (!this->hasFree(target, now))
        return false;
    ++this->slots[target].used;
    return true;
}

void SlotTracker::release(const TargetId &target)
{
    Slots &slot = this->slots[target];
    if (slot.used > 0)
        --slot.used;
}

std::uint32_t SlotTracker::limit(const TargetId &target) const
{
    const auto found = this->slots.find(target);
    return found == this->slots.end() ? 0 : found->second.limit;
}

std::uint32_t SlotTracker::used(const TargetId &target) const
{
    const auto found = this->slots.find(target);
    return found == this->slots.end() ? 0 : found->second.used;
}

std::uint32_t SlotTracker::totalFree() const
{
    std::uint32_t total = 0;
    for (const auto &[target, slot] : this->slots)
        total += slot.limit > slot.used ? slot.limit - slot.used : 0;
    return total;
}

std::uint32_t SlotTracker::totalLimit() const
{
    std::uint32_t total = 0;
    for (const auto &[target, slot] : this->slots)
        total += slot.limit;
    return total;
}

} // namespace rhubarbweir
