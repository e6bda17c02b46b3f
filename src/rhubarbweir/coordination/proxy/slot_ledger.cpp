// See slot_ledger.hpp.
#include "rhubarbweir/coordination/proxy/slot_ledger.hpp"

namespace rhubarbweir {

void SlotLedger::setGrants(const std::vector<TargetGrant> &grants)
{
    for (auto &[target, slot] : this->slots)
        slot.limit = 0;
    for (const TargetGrant &grant : grants)
        this->slots[grant.target].limit = grant.slots;
}

bool SlotLedger::hasFree(const TargetId &target, TimePoint now) const
{
    return this->leaseHolds(now) && this->used(target) < this->limit(target);
}

bool SlotLedger::tryTake(const TargetId &target, TimePoint now)
{
    if (!this->hasFree(target, now))
        return false;
    ++this->slots[target].used;
    return true;
}

void SlotLedger::release(const TargetId &target)
{
    Slots &slot = this->slots[target];
    if (slot.used > 0)
        --slot.used;
}

std::uint32_t SlotLedger::limit(const TargetId &target) const
{
    const auto found = this->slots.find(target);
    return found == this->slots.end() ? 0 : found->second.limit;
}

std::uint32_t SlotLedger::used(const TargetId &target) const
{
    const auto found = this->slots.find(target);
    return found == this->slots.end() ? 0 : found->second.used;
}

std::uint32_t SlotLedger::totalFree() const
{
    std::uint32_t total = 0;
    for (const auto &[target, slot] : this->slots)
        total += slot.limit > slot.used ? slot.limit - slot.used : 0;
    return total;
}

std::uint32_t SlotLedger::totalLimit() const
{
    std::uint32_t total = 0;
    for (const auto &[target, slot] : this->slots)
        total += slot.limit;
    return total;
}

} // namespace rhubarbweir
