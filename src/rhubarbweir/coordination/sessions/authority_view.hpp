// The view that a pooler holds under its lease: registered targets, primary authorities, routes.
#pragma once

#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/coordination/sessions/route_table.hpp"

#include <map>
#include <optional>

namespace rhubarbweir {

class AuthorityView
{
public:
    // Never goes back to an older revision. True when the view changed.
    bool update(const FleetView &view, TimePoint now);
    bool updateRoutes(RouteTable table);
    // A lease counts from when its renewal was sent.
    void extendLease(TimePoint end);
    // `former` starts of poolers have ended, but targets may still hold their connections.
    void setPoolers(std::uint32_t live, std::uint32_t former);

    bool leaseValid(TimePoint now) const { return now < this->leaseEnd; }
    // The target that may be used as the group's primary now; empty without authority.
    std::optional<TargetId> primary(const GroupId &group, TimePoint now) const;
    // Since when no target may be used as the group's primary; empty when one may.
    std::optional<TimePoint> withoutPrimarySince(const GroupId &group, TimePoint now) const;
    // The primary by the view alone, whether or not a lease allows its use.
    TargetId knownPrimary(const GroupId &group) const;
    // 0 for an unknown group.
    std::uint64_t generation(const GroupId &group) const;
    // Generation whose log positions still tell what was confirmed: the present one, or the one
    // before while no primary has the authority.
    std::uint64_t logGeneration(const GroupId &group) const;
    const Route *route(const std::string &database) const;
    GroupLimits limits(const GroupId &group) const;
    const RouteTable &routes() const { return this->table; }
    std::uint64_t revision() const { return this->view.revision; }
    const std::map<TargetId, RegisteredTarget> &targets() const { return this->targetsById; }
    const std::vector<std::string> &controls() const { return this->view.controls; }
    // All that may hold connections to a target now.
    std::uint32_t connectionHolders() const { return this->livePoolers + this->formerPoolers; }

private:
    FleetView view;
    std::map<TargetId, RegisteredTarget> targetsById;
    std::map<GroupId, PrimaryAuthority> authorities;
    // When the view took a group's primary away.
    std::map<GroupId, TimePoint> vacantSince;
    RouteTable table;
    TimePoint leaseEnd;
    std::uint32_t livePoolers = 1;
    std::uint32_t formerPoolers = 0;
};

} // namespace rhubarbweir
