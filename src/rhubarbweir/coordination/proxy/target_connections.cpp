// See target_connections.hpp.
#include "rhubarbweir/coordination/proxy/target_connections.hpp"

#include "rhubarbweir/coordination/proxy/retry_budget.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// Maximum number of connections to one target that are being opened at a time.
constexpr std::size_t MaxOpening = 2;
constexpr Duration OpenTimeout = std::chrono::seconds(1);
constexpr Duration BackoffBase = std::chrono::milliseconds(20);
constexpr Duration BackoffCap = std::chrono::seconds(1);

} // namespace

TargetConnections::TargetConnections(TargetConnectionsHooks givenHooks,
                                     std::mt19937_64 &givenRandom)
    : hooks(std::move(givenHooks))
    , random(givenRandom)
{
}

void TargetConnections::setDemand(const std::vector<TargetDemand> &demands)
{
    this->maintainAt = TimePoint();
    for (auto &[target, endpoint] : this->endpoints) {
        endpoint.demand.limit = 0;
        endpoint.demand.desired = 0;
    }
    for (const TargetDemand &demand : demands)
        this->endpoints[demand.target].demand = demand;
}

void TargetConnections::maintain(TimePoint now)
{
    if (now < this->maintainAt)
        return;
    for (const Generation generation : this->notClosing()) {
        const Entry &entry = this->entries.at(generation);
        if (entry.state != State::Opening || now < entry.openDeadline)
            continue;
        this->backOff(entry.target, now);
        this->discard(generation);
    }
    for (auto &[target, endpoint] : this->endpoints) {
        this->closeSurplus(target, endpoint.demand.desired);
        this->openMissing(endpoint, now);
    }
    this->maintainAt = this->nextDeadline(now);
}

TimePoint TargetConnections::nextDeadline(TimePoint now) const
{
    TimePoint next = TimePoint::max();
    for (const auto &[generation, entry] : this->entries) {
        if (entry.state == State::Opening)
            next = std::min(next, entry.openDeadline);
    }
    for (const auto &[target, endpoint] : this->endpoints) {
        const bool isShort = this->count(target) < endpoint.demand.desired;
        if (isShort && endpoint.openAfter > now)
            next = std::min(next, endpoint.openAfter);
    }
    return next;
}

bool TargetConnections::opened(Generation generation)
{
    const auto found = this->entries.find(generation);
    if (found == this->entries.end() || found->second.state != State::Opening)
        return false;
    found->second.state = State::Idle;
    this->maintainAt = TimePoint();
    this->endpoints[found->second.target].failures = 0;
    return true;
}

void TargetConnections::openFailed(Generation generation, TimePoint now)
{
    const auto found = this->entries.find(generation);
    if (found == this->entries.end())
        return;
    this->backOff(found->second.target, now);
    this->entries.erase(found);
    this->maintainAt = TimePoint();
}

std::optional<TargetConnections::Entry> TargetConnections::remove(Generation generation,
                                                                  TimePoint now)
{
    const auto found = this->entries.find(generation);
    if (found == this->entries.end())
        return std::nullopt;
    const Entry entry = found->second;
    this->maintainAt = TimePoint();
    this->entries.erase(found);
    if (entry.state != State::Closing)
        this->backOff(entry.target, now);
    return entry;
}

bool TargetConnections::hasIdle(const TargetId &target) const
{
    return this->countIn(target, State::Idle) > 0;
}

std::optional<Generation> TargetConnections::takeIdle(const TargetId &target)
{
    for (auto &[generation, entry] : this->entries) {
        if (entry.target != target || entry.state != State::Idle)
            continue;
        entry.state = State::Busy;
        return generation;
    }
    return std::nullopt;
}

void TargetConnections::markIdle(Generation generation)
{
    const auto found = this->entries.find(generation);
    this->maintainAt = TimePoint();
    if (found != this->entries.end() && found->second.state == State::Busy)
        found->second.state = State::Idle;
}

void TargetConnections::discard(Generation generation)
{
    const auto found = this->entries.find(generation);
    if (found == this->entries.end() || found->second.state == State::Closing)
        return;
    this->maintainAt = TimePoint();
    found->second.state = State::Closing;
    this->hooks.close(generation);
}

const TargetConnections::Entry *TargetConnections::find(Generation generation) const
{
    const auto found = this->entries.find(generation);
    return found == this->entries.end() ? nullptr : &found->second;
}

std::vector<Generation> TargetConnections::openOf(const TargetId &target) const
{
    std::vector<Generation> idle;
    std::vector<Generation> busy;
    for (const auto &[generation, entry] : this->entries) {
        if (entry.target != target)
            continue;
        if (entry.state == State::Idle)
            idle.push_back(generation);
        if (entry.state == State::Busy)
            busy.push_back(generation);
    }
    idle.insert(idle.end(), busy.begin(), busy.end());
    return idle;
}

std::vector<Generation> TargetConnections::notClosing() const
{
    std::vector<Generation> generations;
    for (const auto &[generation, entry] : this->entries) {
        if (entry.state != State::Closing)
            generations.push_back(generation);
    }
    return generations;
}

std::size_t TargetConnections::count(const TargetId &target) const
{
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [&](const auto &each) { return each.second.target == target; }));
}

std::size_t TargetConnections::countIn(const TargetId &target, State state) const
{
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(), [&](const auto &each) {
            return each.second.target == target && each.second.state == state;
        }));
}

void TargetConnections::openMissing(Endpoint &endpoint, TimePoint now)
{
    const TargetDemand &demand = endpoint.demand;
    if (now < endpoint.openAfter)
        return;
    std::size_t total = this->count(demand.target);
    std::size_t active = total - this->countIn(demand.target, State::Closing);
    std::size_t opening = this->countIn(demand.target, State::Opening);
    while (active < demand.desired && total < demand.limit && opening < MaxOpening) {
        const Generation generation = this->hooks.nextGeneration();
        this->entries[generation] = {demand.target, State::Opening, now + OpenTimeout};
        this->hooks.open(generation, demand.address);
        ++total;
        ++active;
        ++opening;
    }
}

void TargetConnections::closeSurplus(const TargetId &target, std::size_t keep)
{
    std::size_t active = this->count(target) - this->countIn(target, State::Closing);
    for (const Generation generation : this->openOf(target)) {
        if (active <= keep || this->entries.at(generation).state != State::Idle)
            return;
        this->discard(generation);
        --active;
    }
}

void TargetConnections::backOff(const TargetId &target, TimePoint now)
{
    Endpoint &endpoint = this->endpoints[target];
    const Duration pause =
        jitteredBackoff(BackoffBase, BackoffCap, endpoint.failures, this->random);
    endpoint.openAfter = now + pause;
    ++endpoint.failures;
}

} // namespace rhubarbweir
