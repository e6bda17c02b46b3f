// Targets as seen by this instance through their announcements. This is local state and not
// replicated.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"

#include <map>
#include <vector>

namespace rhubarbweir {

struct RegisteredTarget
{
    // The newest status, from any kind of report.
    TargetStatus status;
    TimePoint seenAt;
    // As last announced.
    std::string address;
    FailureDomainId failureDomain;
    std::vector<HolderUse> uses;
    // 0 if there is none.
    ConnectionId connection = 0;
    // The previous connection; reports on it are outdated and ignored.
    ConnectionId formerConnection = 0;
    // When the target becomes silent unless it reports again.
    TimePoint silentAt;
};

class TargetRegistry
{
public:
    explicit TargetRegistry(const ControlSettings &controlSettings);

    // Returns false if a newer connection has replaced the one that carried the report.
    bool receive(ConnectionId connection, const TargetReport &report, TimePoint now);
    void connectionClosed(ConnectionId connection);

    // Returns null for a target that has never reported to this instance.
    const RegisteredTarget *find(const TargetId &target) const;
    ObservedState stateOf(const TargetId &target, TimePoint now) const;
    bool isAlive(const TargetId &target, TimePoint now) const;
    const std::map<TargetId, RegisteredTarget> &all() const { return this->targets; }

private:
    const ControlSettings &settings;
    std::map<TargetId, RegisteredTarget> targets;
    std::map<ConnectionId, TargetId> targetByConnection;
};

} // namespace rhubarbweir
