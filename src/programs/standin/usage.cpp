// See usage.hpp.
#include "programs/standin/usage.hpp"

#include <algorithm>

namespace rhubarbweir {

Usage::Usage(UsageLimits usageLimits)
    : limits(usageLimits)
{
}

void Usage::connectionOpened(const InstanceId &holder)
{
    ++this->uses[holder].connections;
    ++this->openConnections;
    this->greatestConnections = std::max(this->greatestConnections, this->openConnections);
    if (this->openConnections > this->limits.connections)
        ++this->exceeded;
}

void Usage::connectionGone(const InstanceId &holder)
{
    --this->uses[holder].connections;
    --this->openConnections;
    this->forgetUnused(holder);
}

void Usage::slotTaken(const InstanceId &holder)
{
    ++this->uses[holder].slots;
    ++this->takenSlots;
    this->greatestSlots = std::max(this->greatestSlots, this->takenSlots);
    if (this->takenSlots > this->limits.slots)
        ++this->exceeded;
}

void Usage::slotFreed(const InstanceId &holder)
{
    --this->uses[holder].slots;
    --this->takenSlots;
    this->forgetUnused(holder);
}

std::vector<HolderUse> Usage::byHolder() const
{
    std::vector<HolderUse> result;
    for (const auto &[holder, use] : this->uses) {
        result.push_back(use);
        result.back().holder = holder;
    }
    return result;
}

void Usage::forgetUnused(const InstanceId &holder)
{
    const auto found = this->uses.find(holder);
    if (found->second.connections == 0 && found->second.slots == 0)
        this->uses.erase(found);
}

} // namespace rhubarbweir
