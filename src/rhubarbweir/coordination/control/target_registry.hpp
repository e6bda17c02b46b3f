// What this instance sees of targets through their announcements. Soft: nothing is replicated.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"

#include <map>
#include <vector>

namespace rhubarbweir {

struct RegisteredTarget
{
    // The newest status, by whichever report carried it.
    TargetStatus status;
    TimePoint seenAt;
    // Announced last.
    std::string address;
    FailureDomainId failureDomain;
    std::vector<HolderUse> uses;
    // 0 while there is none.
    ConnectionId connection = 0;
    // Reports on it come too late to count.
    ConnectionId formerConnection = 0;
    // Silent from here on unless it reports again.
    TimePoint silentAt;
};

class TargetRegistry
{
public:
    explicit TargetRegistry(const ControlSettings &controlSettings);

    // False when the report came on a connection that a newer one replaced.
    bool receive(ConnectionId connection, const TargetReport &report, TimePoint now);
    void connectionClosed(ConnectionId connection);

    // Null for a target that never announced itself here.
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
