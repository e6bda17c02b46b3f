// Judges from answers and failures whether targets are alive, silent or broken.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"

#include <map>
#include <vector>

namespace rhubarbweir {

class TargetHealth
{
public:
    explicit TargetHealth(Duration silentAfter);

    // Keeps what is known of targets that stay.
    void setTargets(const std::vector<TargetId> &targets, TimePoint now);
    void heard(const TargetId &target, TimePoint now);
    // Refused or reset below the protocol; `connectionsLeft` are still open.
    void failed(const TargetId &target, std::size_t connectionsLeft);
    // This process itself was not running or not listening: silence until now proves nothing.
    void forgive(TimePoint now);
    // Targets whose state became Silent.
    std::vector<TargetId> takeSilenced(TimePoint now);

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
    std::map<TargetId, Health> known;
};

} // namespace rhubarbweir
