// See target_pool.hpp.
#include "rhubarbweir/coordination/proxy/target_pool.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// Connections in addition to one per slot, so that probes and replacements need not wait.
constexpr std::uint32_t SpareConnections = 2;

} // namespace

TargetPool::TargetPool(const ProxySettings &givenSettings, TargetPoolHooks givenHooks,
                       std::mt19937_64 &random)
    : settings(givenSettings)
    , hooks(std::move(givenHooks))
    , connections(
          {this->hooks.nextGeneration,
           [this](Generation generation, const std::string &address) {
               this->hooks.openTarget(generation, address, {this->settings.instance, generation});
           },
           this->hooks.closeTarget},
          random)
    , targetHealth(givenSettings.silentAfter)
{
}

void TargetPool::setGroup(const GroupView &view, const std::vector<TargetGrant> &grants,
                          TimePoint now)
{
    this->group = view.group;
    this->slotTracker.setGrants(grants);
    std::vector<TargetDemand> demands;
    std::vector<TargetId> watched;
    for (const TargetGrant &grant : grants) {
        const auto target =
            std::find_if(view.targets.begin(), view.targets.end(),
                         [&](const TargetView &each) { return each.target == grant.target; });
        if (target == view.targets.end())
            continue;
        const std::uint32_t desired = std::min(grant.connections, grant.slots + SpareConnections);
        demands.push_back({grant.target, target->address, grant.connections, desired});
        watched.push_back(grant.target);
    }
    this->connections.setDemand(demands);
    this->targetHealth.setTargets(watched, now);
}

void TargetPool::setLease(TimePoint deadline, TimePoint now)
{
    if (!this->isLeaseValid(now))
        this->targetHealth.restartSilenceTimeouts(now);
    this->usableUntil = deadline - this->settings.leaseEndMargin;
    this->slotTracker.setLease(this->usableUntil);
}

bool TargetPool::isLeaseValid(TimePoint now) const
{
    return this->slotTracker.isLeaseValid(now);
}

void TargetPool::maintain(TimePoint now)
{
    const bool wasSuspended = now - this->lastMaintained > this->settings.probeInterval * 2;
    this->lastMaintained = now;
    if (!this->isLeaseValid(now)) {
        this->closeAll(now);
        return;
    }
    if (wasSuspended)
        this->targetHealth.restartSilenceTimeouts(now);
    for (const TargetId &target : this->targetHealth.takeNewlySilent(now))
        this->handleSilentTarget(target);
    this->connections.maintain(now);
}

TimePoint TargetPool::nextDeadline(TimePoint now) const
{
    if (!this->isLeaseValid(now))
        return TimePoint::max();
    return std::min({this->usableUntil, this->connections.nextDeadline(now),
                     this->targetHealth.nextDeadline()});
}

void TargetPool::opened(Generation generation, const TargetStatus &status, TimePoint now)
{
    if (!this->connections.opened(generation))
        return;
    this->report(ProxyEventKind::ConnectionOpened, status.target, generation);
    this->updateStatus(status, now);
}

void TargetPool::refused(Generation generation, OpenFailure failure, TimePoint now)
{
    const TargetId *target = this->targetOf(generation);
    if (target == nullptr)
        return;
    const TargetId name = *target;
    this->connections.openFailed(generation, now);
    this->report(ProxyEventKind::ConnectionFailed, name, generation);
    if (failure == OpenFailure::RefusedByTarget)
        this->targetHealth.recordResponse(name, now);
    else
        this->targetHealth.recordFailure(name, this->connections.openOf(name).size());
}

void TargetPool::closed(Generation generation, TimePoint now)
{
    const auto entry = this->connections.remove(generation, now);
    const auto slot = this->connectionsWithSlot.find(generation);
    if (slot != this->connectionsWithSlot.end()) {
        this->slotTracker.release(slot->second);
        this->connectionsWithSlot.erase(slot);
    }
    if (!entry || entry->state == TargetConnections::State::Closing)
        return;
    if (entry->state == TargetConnections::State::Busy)
        this->lostConnections.push_back(generation);
    this->report(ProxyEventKind::ConnectionClosed, entry->target, generation);
    this->targetHealth.recordFailure(entry->target, this->connections.openOf(entry->target).size());
}

void TargetPool::updateStatus(const TargetStatus &status, TimePoint now)
{
    this->statuses[status.target] = status;
    this->targetHealth.recordResponse(status.target, now);
}

bool TargetPool::canAcquire(const TargetId &target, TimePoint now) const
{
    return this->slotTracker.hasFree(target, now) && this->connections.hasIdle(target);
}

std::optional<Generation> TargetPool::acquire(const TargetId &target, TimePoint now)
{
    if (!this->canAcquire(target, now))
        return std::nullopt;
    const auto generation = this->connections.takeIdle(target);
    this->slotTracker.tryTake(target, now);
    this->connectionsWithSlot[*generation] = target;
    return generation;
}

bool TargetPool::send(Generation generation, const Statement &statement, TimePoint now)
{
    const TargetConnections::Entry *entry = this->connections.find(generation);
    if (!this->isLeaseValid(now) || entry == nullptr
        || entry->state != TargetConnections::State::Busy)
        return false;
    this->hooks.sendTarget(generation, statement);
    return true;
}

void TargetPool::probeAll(std::uint64_t probeId)
{
    for (const TargetId &target : this->targetHealth.targets()) {
        const auto open = this->connections.openOf(target);
        if (!open.empty())
            this->hooks.sendTarget(open.front(), StatusProbe{probeId});
    }
}

void TargetPool::release(Generation generation)
{
    const auto slot = this->connectionsWithSlot.find(generation);
    if (slot == this->connectionsWithSlot.end())
        return;
    this->slotTracker.release(slot->second);
    this->connectionsWithSlot.erase(slot);
    this->connections.markIdle(generation);
}

void TargetPool::discard(Generation generation)
{
    this->connections.discard(generation);
}

std::vector<Generation> TargetPool::takeLostConnections()
{
    return std::exchange(this->lostConnections, {});
}

const TargetStatus *TargetPool::status(const TargetId &target) const
{
    const auto found = this->statuses.find(target);
    return found == this->statuses.end() ? nullptr : &found->second;
}

const TargetId *TargetPool::targetOf(Generation generation) const
{
    const TargetConnections::Entry *entry = this->connections.find(generation);
    return entry == nullptr ? nullptr : &entry->target;
}

bool TargetPool::isConnected(const TargetId &target) const
{
    return !this->connections.openOf(target).empty();
}

bool TargetPool::hasServingPrimary(const GroupView &view) const
{
    const TargetStatus *seen = this->status(view.primary);
    if (view.primary.empty() || seen == nullptr)
        return false;
    const auto target =
        std::find_if(view.targets.begin(), view.targets.end(),
                     [&](const TargetView &each) { return each.target == view.primary; });
    return target != view.targets.end() && !target->leaving && seen->role == TargetRole::Primary
           && seen->adoptedTerm == view.term;
}

std::vector<TargetObservation> TargetPool::observations(TimePoint now) const
{
    std::vector<TargetObservation> seen;
    if (!this->isLeaseValid(now))
        return seen;
    for (const TargetId &target : this->targetHealth.targets())
        seen.push_back({target, this->group, this->targetHealth.state(target)});
    return seen;
}

void TargetPool::closeAll(TimePoint now)
{
    const auto open = this->connections.notClosing();
    if (open.empty())
        return;
    for (const Generation generation : open) {
        if (this->connectionsWithSlot.count(generation) > 0)
            this->lostConnections.push_back(generation);
        this->connections.discard(generation);
    }
    this->report(ProxyEventKind::LeaseEnded, TargetId(), 0);
    this->targetHealth.restartSilenceTimeouts(now);
}

void TargetPool::handleSilentTarget(const TargetId &target)
{
    this->report(ProxyEventKind::TargetStateChanged, target, 0);
    for (const Generation generation : this->connections.openOf(target)) {
        if (this->connectionsWithSlot.count(generation) > 0)
            this->lostConnections.push_back(generation);
        this->connections.discard(generation);
    }
}

void TargetPool::report(ProxyEventKind kind, const TargetId &target, Generation generation)
{
    ProxyEvent event;
    event.kind = kind;
    event.group = this->group;
    event.target = target;
    event.generation = generation;
    event.state = this->targetHealth.state(target);
    this->hooks.event(event);
}

} // namespace rhubarbweir
