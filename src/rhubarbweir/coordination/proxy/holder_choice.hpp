// Chooses between the holders of a group by what is known of their queues and slots.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"

#include <map>
#include <random>
#include <set>
#include <utility>

namespace rhubarbweir {

struct HolderLoad
{
    std::uint32_t queued = 0;
    std::uint32_t slotsFree = 0;
};

class HolderChoice
{
public:
    explicit HolderChoice(InstanceId self);

    // Null when no holder is left. `excluded` holders are not chosen.
    const HolderView *choose(const GroupView &group, const std::set<InstanceId> &excluded,
                             std::mt19937_64 &random) const;
    void noteLoad(const GroupId &group, const InstanceId &holder, const HolderLoad &load);
    // A request was sent to the holder, or its answer came or will never come.
    void sent(const GroupId &group, const InstanceId &holder);
    void ended(const GroupId &group, const InstanceId &holder);
    void setReachable(const InstanceId &holder, bool reachable);

private:
    struct Known
    {
        HolderLoad load;
        // Sent and not answered.
        std::uint32_t outstanding = 0;
        // Sent since `load` was reported.
        std::uint32_t sentSince = 0;
    };

    double expectedWait(const GroupView &group, const HolderView &holder) const;

    InstanceId self;
    std::map<std::pair<GroupId, InstanceId>, Known> known;
    std::set<InstanceId> unreachable;
};

} // namespace rhubarbweir
