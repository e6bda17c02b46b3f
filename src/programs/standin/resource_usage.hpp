// Counts the connections and slots of a stand-in database, and how often a limit was exceeded.
#pragma once

#include "rhubarbweir/coordination/proxy/target_messages.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace rhubarbweir {

struct UsageLimits
{
    std::uint32_t connections = 45;
    // Maximum number of running statements and open transactions.
    std::uint32_t slots = 3;
};

class ResourceUsage
{
public:
    explicit ResourceUsage(UsageLimits usageLimits);

    void connectionOpened(const InstanceId &holder);
    void connectionReleased(const InstanceId &holder);
    void slotTaken(const InstanceId &holder);
    void slotFreed(const InstanceId &holder);

    std::vector<HolderUse> byHolder() const;
    std::uint32_t connections() const { return this->openConnections; }
    std::uint32_t slots() const { return this->takenSlots; }
    std::uint32_t maxConnections() const { return this->peakConnections; }
    std::uint32_t maxSlots() const { return this->peakSlots; }
    // Number of times that a connection or slot was taken beyond its limit.
    std::uint64_t limitExceeded() const { return this->exceeded; }

private:
    void eraseIfUnused(const InstanceId &holder);

    UsageLimits limits;
    // `openConnections` and `takenSlots` are the sums over this map.
    std::map<InstanceId, HolderUse> usesByHolder;
    std::uint32_t openConnections = 0;
    std::uint32_t takenSlots = 0;
    std::uint32_t peakConnections = 0;
    std::uint32_t peakSlots = 0;
    std::uint64_t exceeded = 0;
};

} // namespace rhubarbweir
