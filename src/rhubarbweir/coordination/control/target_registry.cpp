// See target_registry.hpp.
#include "rhubarbweir/coordination/control/target_registry.hpp"

namespace rhubarbweir {

namespace {

const TargetStatus &statusOf(const TargetReport &report)
{
    if (const auto *status = std::get_if<TargetStatus>(&report))
        return *status;
    if (const auto *fenced = std::get_if<TargetFenced>(&report))
        return fenced->status;
    if (const auto *promoted = std::get_if<TargetPromoted>(&report))
        return promoted->status;
    return std::get<Announcement>(report).status;
}

} // namespace

TargetRegistry::TargetRegistry(const ControlSettings &controlSettings)
    : settings(controlSettings)
{
}

bool TargetRegistry::receive(ConnectionId connection, const TargetReport &report, TimePoint now)
{
    const TargetStatus &status = statusOf(report);
    ReportedTarget &target = this->targets[status.target];
    if (connection == target.formerConnection)
        return false;
    if (connection != target.connection) {
        target.formerConnection = target.connection;
        this->targetByConnection.erase(target.connection);
        target.connection = connection;
        this->targetByConnection[connection] = status.target;
    }
    target.status = status;
    target.seenAt = now;
    target.silentAt = now + this->settings.silentAfter;
    if (const auto *announcement = std::get_if<Announcement>(&report)) {
        target.address = announcement->address;
        target.failureDomain = announcement->failureDomain;
        target.uses = announcement->uses;
    }
    return true;
}

void TargetRegistry::connectionClosed(ConnectionId connection)
{
    const auto found = this->targetByConnection.find(connection);
    if (found == this->targetByConnection.end())
        return;
    ReportedTarget &target = this->targets[found->second];
    target.formerConnection = connection;
    target.connection = 0;
    this->targetByConnection.erase(found);
}

const ReportedTarget *TargetRegistry::find(const TargetId &target) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : &found->second;
}

ObservedState TargetRegistry::stateOf(const TargetId &target, TimePoint now) const
{
    const ReportedTarget *found = this->find(target);
    if (found == nullptr)
        return ObservedState::Silent;
    if (found->connection == 0)
        return ObservedState::Broken;
    return now < found->silentAt ? ObservedState::Alive : ObservedState::Silent;
}

bool TargetRegistry::isAlive(const TargetId &target, TimePoint now) const
{
    return this->stateOf(target, now) == ObservedState::Alive;
}

} // namespace rhubarbweir
