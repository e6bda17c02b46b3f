// See authority_view.hpp.
#include "rhubarbweir/coordination/sessions/authority_view.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

bool AuthorityView::update(const FleetView &next, TimePoint now)
{
    if (next.revision <= this->heldRevision || next.baseRevision > this->heldRevision)
        return false;
    this->heldRevision = next.revision;
    if (next.baseRevision == 0) {
        this->targetsById.clear();
        this->authorities.clear();
    }
    for (const TargetId &removed : next.removedTargets)
        this->targetsById.erase(removed);
    for (const RegisteredTarget &target : next.targets)
        this->targetsById[target.target] = target;
    for (const PrimaryAuthority &authority : next.authorities) {
        this->authorities[authority.group] = authority;
        if (authority.primary.empty())
            this->primaryAbsentSince.emplace(authority.group, now);
        else
            this->primaryAbsentSince.erase(authority.group);
    }
    return true;
}

bool AuthorityView::updateRoutes(RouteTable next)
{
    if (next.version <= this->table.version)
        return false;
    this->table = std::move(next);
    return true;
}

void AuthorityView::extendLease(TimePoint end)
{
    this->leaseEnd = std::max(this->leaseEnd, end);
}

void AuthorityView::setPoolers(std::uint32_t live, std::uint32_t former)
{
    this->livePoolers = std::max<std::uint32_t>(1, live);
    this->formerPoolers = former;
}

std::optional<TargetId> AuthorityView::primary(const GroupId &group, TimePoint now) const
{
    const TargetId known = this->knownPrimary(group);
    if (!this->leaseValid(now) || known.empty())
        return std::nullopt;
    return known;
}

std::optional<TimePoint> AuthorityView::withoutPrimarySince(const GroupId &group,
                                                            TimePoint now) const
{
    const auto absent = this->primaryAbsentSince.find(group);
    if (absent != this->primaryAbsentSince.end())
        return absent->second;
    if (!this->leaseValid(now))
        return this->leaseEnd;
    return std::nullopt;
}

TargetId AuthorityView::knownPrimary(const GroupId &group) const
{
    const auto found = this->authorities.find(group);
    return found == this->authorities.end() ? TargetId() : found->second.primary;
}

std::uint64_t AuthorityView::generation(const GroupId &group) const
{
    const auto found = this->authorities.find(group);
    return found == this->authorities.end() ? 0 : found->second.generation;
}

std::uint64_t AuthorityView::logGeneration(const GroupId &group) const
{
    const std::uint64_t present = this->generation(group);
    return present > 0 && this->knownPrimary(group).empty() ? present - 1 : present;
}

const Route *AuthorityView::route(const std::string &database) const
{
    const auto found = this->table.routes.find(database);
    return found == this->table.routes.end() ? nullptr : &found->second;
}

GroupLimits AuthorityView::limits(const GroupId &group) const
{
    const auto found = this->table.groups.find(group);
    return found == this->table.groups.end() ? GroupLimits{} : found->second;
}

} // namespace rhubarbweir
