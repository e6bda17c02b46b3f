// The fleet view that a pooler holds under its lease: registered targets, the primary authority of
// each group, and routes.
#pragma once

#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/coordination/sessions/route_table.hpp"

#include <map>
#include <optional>

namespace rhubarbweir {

class AuthorityView
{
public:
    // Applies a whole view or changes. Ignores one whose revision is not newer, and changes that
    // start after the revision held. True when the view changed.
    bool update(const FleetView &view, TimePoint now);
    // Ignores a table whose version is not newer. True when the table changed.
    bool updateRoutes(RouteTable table);
    // `end` is counted from when the renewal was sent. A lease is never shortened.
    void extendLease(TimePoint end);
    // `former` counts pooler processes that have ended but whose connections targets may still
    // hold.
    void setPoolers(std::uint32_t live, std::uint32_t former);

    bool leaseValid(TimePoint now) const { return now < this->leaseEnd; }
    // The target that may be used as the group's primary now; empty without an authority or a
    // lease.
    std::optional<TargetId> primary(const GroupId &group, TimePoint now) const;
    // When the group's primary became unusable; empty while it may be used.
    std::optional<TimePoint> withoutPrimarySince(const GroupId &group, TimePoint now) const;
    // The primary according to the view, regardless of the lease; empty for none.
    TargetId knownPrimary(const GroupId &group) const;
    // 0 for an unknown group.
    std::uint64_t generation(const GroupId &group) const;
    // The generation whose log positions are valid as a freshness bound: the current one, or the
    // previous one while no primary holds the authority.
    std::uint64_t logGeneration(const GroupId &group) const;
    const Route *route(const std::string &database) const;
    GroupLimits limits(const GroupId &group) const;
    const RouteTable &routes() const { return this->table; }
    std::uint64_t revision() const { return this->heldRevision; }
    const std::map<TargetId, RegisteredTarget> &targets() const { return this->targetsById; }
    // Pooler processes that may hold connections to a target now.
    std::uint32_t connectionHolders() const { return this->livePoolers + this->formerPoolers; }

private:
    std::uint64_t heldRevision = 0;
    std::map<TargetId, RegisteredTarget> targetsById;
    std::map<GroupId, PrimaryAuthority> authorities;
    // When a view without a primary for the group was first received.
    std::map<GroupId, TimePoint> primaryAbsentSince;
    RouteTable table;
    TimePoint leaseEnd;
    std::uint32_t livePoolers = 1;
    std::uint32_t formerPoolers = 0;
};

} // namespace rhubarbweir
