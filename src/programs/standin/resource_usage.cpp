// See resource_usage.hpp.
#include "programs/standin/resource_usage.hpp"

#include <algorithm>

namespace rhubarbweir {

ResourceUsage::ResourceUsage(UsageLimits usageLimits)
    : limits(usageLimits)
{
}

void ResourceUsage::connectionOpened(const InstanceId &holder)
{
    ++this->usesByHolder[holder].connections;
    ++this->openConnections;
    this->peakConnections = std::max(this->peakConnections, this->openConnections);
    if (this->openConnections > this->limits.connections)
        ++this->exceeded;
}

void ResourceUsage::connectionReleased(const InstanceId &holder)
{
    --this->usesByHolder[holder].connections;
    --this->openConnections;
    this->eraseIfUnused(holder);
}

void ResourceUsage::slotTaken(const InstanceId &holder)
{
    ++this->usesByHolder[holder].slots;
    ++this->takenSlots;
    this->peakSlots = std::max(this->peakSlots, this->takenSlots);
    if (this->takenSlots > this->limits.slots)
        ++this->exceeded;
}

void ResourceUsage::slotFreed(const InstanceId &holder)
{
    --this->usesByHolder[holder].slots;
    --this->takenSlots;
    this->eraseIfUnused(holder);
}

std::vector<HolderUse> ResourceUsage::byHolder() const
{
    std::vector<HolderUse> result;
    for (const auto &[holder, use] : this->usesByHolder) {
        result.push_back(use);
        result.back().holder = holder;
    }
    return result;
}

void ResourceUsage::eraseIfUnused(const InstanceId &holder)
{
    const auto found = this->usesByHolder.find(holder);
    if (found->second.connections == 0 && found->second.slots == 0)
        this->usesByHolder.erase(found);
}

} // namespace rhubarbweir
