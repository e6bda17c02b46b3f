// Counts connections and slots of a stand-in database, and every moment above a limit.
#pragma once

#include "rhubarbweir/coordination/proxy/target_messages.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace rhubarbweir {

struct UsageLimits
{
    std::uint32_t connections = 45;
    // Statements that run and transactions that are open at once.
    std::uint32_t slots = 3;
};

class Usage
{
public:
    explicit Usage(UsageLimits usageLimits);

    void connectionOpened(const InstanceId &holder);
    void connectionGone(const InstanceId &holder);
    void slotTaken(const InstanceId &holder);
    void slotFreed(const InstanceId &holder);

    std::vector<HolderUse> byHolder() const;
    std::uint32_t connections() const { return this->openConnections; }
    std::uint32_t slots() const { return this->takenSlots; }
    std::uint32_t maxConnections() const { return this->greatestConnections; }
    std::uint32_t maxSlots() const { return this->greatestSlots; }
    // Times that a connection or slot was taken above its limit.
    std::uint64_t limitExceeded() const { return this->exceeded; }

private:
    void forgetUnused(const InstanceId &holder);

    UsageLimits limits;
    // The totals are the sums over `uses`.
    std::map<InstanceId, HolderUse> uses;
    std::uint32_t openConnections = 0;
    std::uint32_t takenSlots = 0;
    std::uint32_t greatestConnections = 0;
    std::uint32_t greatestSlots = 0;
    std::uint64_t exceeded = 0;
};

} // namespace rhubarbweir
