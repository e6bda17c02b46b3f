// Classifies targets as alive, silent or broken by their messages and connection failures.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"

#include <map>
#include <vector>

namespace rhubarbweir {

class TargetHealth
{
public:
    explicit TargetHealth(Duration silentAfter);

    // Keeps the state of targets that were already tracked.
    void setTargets(const std::vector<TargetId> &targets, TimePoint now);
    void recordResponse(const TargetId &target, TimePoint now);
    // A connection was refused or reset at the transport level. The target counts as broken if no
    // connection is left.
    void recordFailure(const TargetId &target, std::size_t connectionsLeft);
    // Restarts the silence timeout of all live targets. Called after this process itself was
    // suspended or without a lease, when missing messages prove nothing about the targets.
    void restartSilenceTimeouts(TimePoint now);
    // Marks targets whose silence timeout has passed as Silent and returns them.
    std::vector<TargetId> takeNewlySilent(TimePoint now);

    ObservedState state(const TargetId &target) const;
    std::vector<TargetId> targets() const;
    TimePoint nextDeadline() const;

private:
    struct Health
    {
        ObservedState state = ObservedState::Alive;
        TimePoint silentAt;
    };

    Duration silentAfter;
    std::map<TargetId, Health> healthByTarget;
};

} // namespace rhubarbweir
