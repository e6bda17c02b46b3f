// Chooses the holder of a group with the shortest expected wait, by its reported load and the
// requests sent to it since.
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

class HolderSelector
{
public:
    explicit HolderSelector(InstanceId self);

    // Null when no holder outside `excluded` has grants. Ties are broken at random.
    const HolderView *choose(const GroupView &group, const std::set<InstanceId> &excluded,
                             std::mt19937_64 &random) const;
    void updateLoad(const GroupId &group, const InstanceId &holder, const HolderLoad &load);
    // A request was sent to the holder.
    void requestSent(const GroupId &group, const InstanceId &holder);
    // The answer arrived, or is not awaited any more.
    void requestEnded(const GroupId &group, const InstanceId &holder);
    void setReachable(const InstanceId &holder, bool reachable);

private:
    struct HolderState
    {
        HolderLoad load;
        // Requests sent and not answered yet.
        std::uint32_t outstanding = 0;
        // Requests sent since `load` was reported.
        std::uint32_t sentSinceReport = 0;
    };

    double expectedWait(const GroupView &group, const HolderView &holder) const;

    InstanceId self;
    std::map<std::pair<GroupId, InstanceId>, HolderState> holderStates;
    std::set<InstanceId> unreachable;
};

} // namespace rhubarbweir
