// See fleet_state.hpp.
#include "rhubarbweir/state/fleet_state.hpp"

#include <algorithm>
#include <tuple>

namespace rhubarbweir {

namespace {

// Limit on the remembered changes of the view. A pooler that missed more receives the whole view.
constexpr std::size_t MaxViewChanges = 4096;
// Remembered starts of terms of a group. A target that missed more promotions cannot be a candidate
// before it follows a primary again.
constexpr std::size_t MaxTermStarts = 8;

auto asTuple(const RegisteredTarget &target)
{
    return std::tie(target.target, target.group, target.address, target.failureDomain, target.phase,
                    target.slots, target.born, target.sequence, target.reportsPrimary);
}

} // namespace

bool operator==(const RegisteredTarget &a, const RegisteredTarget &b)
{
    return asTuple(a) == asTuple(b);
}

bool isOnGrantedPath(const PrimaryAuthority &authority, const LogPosition &end)
{
    const std::vector<TermStart> &starts = authority.termStarts;
    const bool mayPrecedeRecord = starts.size() == MaxTermStarts && end.term < starts.front().term;
    return !mayPrecedeRecord
           && std::all_of(starts.begin(), starts.end(), [&end](const TermStart &start) {
                  return start.term <= end.term || !(start.position < end);
              });
}

bool isNewer(const RegisteredTarget &next, const RegisteredTarget &known)
{
    return std::tie(next.born, next.sequence) > std::tie(known.born, known.sequence);
}

bool FleetState::apply(std::uint64_t index, const FleetCommand &command)
{
    return std::visit([this, index](const auto &body) { return this->applyCommand(index, body); },
                      command);
}

const RegisteredTarget *FleetState::find(const TargetId &target) const
{
    const auto found = this->registeredTargets.find(target);
    return found == this->registeredTargets.end() ? nullptr : &found->second;
}

const PrimaryAuthority *FleetState::authority(const GroupId &group) const
{
    const auto found = this->authorityByGroup.find(group);
    return found == this->authorityByGroup.end() ? nullptr : &found->second;
}

bool FleetState::accepts(const RecordTarget &report) const
{
    const RegisteredTarget &target = report.target;
    const auto isDisplaced = [&report](const RegisteredTarget &other) {
        return std::find(report.displaced.begin(), report.displaced.end(), other)
               != report.displaced.end();
    };
    const RegisteredTarget *known = this->find(target.target);
    if (known != nullptr && !isDisplaced(*known)) {
        const bool isFromLeftStart =
            known->phase == TargetPhase::Left && target.born <= known->born;
        return !isFromLeftStart && isNewer(target, *known);
    }
    for (const auto &[id, other] : this->registeredTargets) {
        if (other.address == target.address && other.born > target.born && !isDisplaced(other))
            return false;
    }
    return true;
}

bool FleetState::applyCommand(std::uint64_t, const StoreConfiguration &command)
{
    if (command.version <= this->storedConfiguration.version)
        return false;
    this->storedConfiguration.version = command.version;
    this->storedConfiguration.document = command.document;
    return true;
}

bool FleetState::applyCommand(std::uint64_t index, const RecordTarget &command)
{
    if (!this->accepts(command))
        return false;
    for (const RegisteredTarget &other : command.displaced) {
        const RegisteredTarget *known = this->find(other.target);
        if (known == nullptr || *known != other)
            continue;
        this->recordViewChange(index, other.target, {});
        this->registeredTargets.erase(other.target);
    }
    this->removeSupersededTargets(index, command.target);
    this->registeredTargets[command.target.target] = command.target;
    this->recordViewChange(index, command.target.target, {});
    return true;
}

// An address belongs to the most recent start. An older target registered at the same address no
// longer exists.
void FleetState::removeSupersededTargets(std::uint64_t index, const RegisteredTarget &target)
{
    for (auto entry = this->registeredTargets.begin(); entry != this->registeredTargets.end();) {
        const RegisteredTarget &other = entry->second;
        const bool isSuperseded = other.target != target.target && other.address == target.address
                                  && other.born < target.born;
        if (isSuperseded)
            this->recordViewChange(index, entry->first, {});
        entry = isSuperseded ? this->registeredTargets.erase(entry) : std::next(entry);
    }
}

void FleetState::recordViewChange(std::uint64_t index, const TargetId &target, const GroupId &group)
{
    this->revision = index;
    this->viewChanges.push_back({index, target, group});
    if (this->viewChanges.size() <= MaxViewChanges)
        return;
    this->changesKnownSince = this->viewChanges.front().index;
    this->viewChanges.pop_front();
}

std::optional<FleetViewChanges> FleetState::viewChangesAfter(std::uint64_t since) const
{
    if (since < this->changesKnownSince)
        return std::nullopt;
    FleetViewChanges changes;
    for (auto entry = this->viewChanges.rbegin();
         entry != this->viewChanges.rend() && entry->index > since; ++entry) {
        if (entry->target.empty())
            changes.authorities.insert(entry->group);
        else
            changes.targets.insert(entry->target);
    }
    return changes;
}

bool FleetState::applyCommand(std::uint64_t index, const GrantAuthority &command)
{
    PrimaryAuthority &authority = this->authorityByGroup[command.group];
    if (authority.generation != command.generation)
        return false;
    authority.group = command.group;
    ++authority.generation;
    authority.primary = command.primary;
    if (command.term != 0 && command.term != authority.term) {
        if (command.term < authority.term)
            authority.termStarts.clear();
        authority.term = command.term;
        authority.termStarts.push_back({command.term, command.start});
        if (authority.termStarts.size() > MaxTermStarts)
            authority.termStarts.erase(authority.termStarts.begin());
    }
    authority.former = {};
    authority.candidate = {};
    authority.chooser = {};
    authority.revokedAt = 0;
    authority.token = 0;
    this->recordViewChange(index, {}, command.group);
    return true;
}

bool FleetState::applyCommand(std::uint64_t index, const RevokeAuthority &command)
{
    const auto found = this->authorityByGroup.find(command.group);
    if (found == this->authorityByGroup.end() || found->second.generation != command.generation
        || found->second.primary.empty())
        return false;
    PrimaryAuthority &authority = found->second;
    ++authority.generation;
    authority.former = authority.primary;
    authority.primary = {};
    authority.candidate = {};
    authority.chooser = {};
    authority.revokedAt = index;
    authority.token = 0;
    this->recordViewChange(index, {}, command.group);
    return true;
}

bool FleetState::applyCommand(std::uint64_t index, const ChooseCandidate &command)
{
    const auto found = this->authorityByGroup.find(command.group);
    if (found == this->authorityByGroup.end() || found->second.generation != command.generation
        || !found->second.primary.empty())
        return false;
    found->second.candidate = command.candidate;
    found->second.chooser = command.chooser;
    found->second.token = index;
    return true;
}

const PoolerRun *FleetState::findPooler(const InstanceId &pooler, std::uint64_t incarnation) const
{
    const auto found = this->poolerRuns.find({pooler, incarnation});
    return found == this->poolerRuns.end() ? nullptr : &found->second;
}

bool FleetState::applyCommand(std::uint64_t, const RegisterPooler &command)
{
    if (this->findPooler(command.pooler, command.incarnation) != nullptr)
        return false;
    for (auto entry = this->poolerRuns.lower_bound({command.pooler, 0});
         entry != this->poolerRuns.end() && entry->second.pooler == command.pooler; ++entry) {
        this->livePoolerCount -= entry->second.hasEnded ? 0 : 1;
        entry->second.hasEnded = true;
    }
    this->poolerRuns[{command.pooler, command.incarnation}] = {command.pooler, command.incarnation,
                                                               false};
    ++this->livePoolerCount;
    return true;
}

bool FleetState::applyCommand(std::uint64_t, const ForgetPooler &command)
{
    const auto found = this->poolerRuns.find({command.pooler, command.incarnation});
    if (found == this->poolerRuns.end())
        return false;
    this->livePoolerCount -= found->second.hasEnded ? 0 : 1;
    this->poolerRuns.erase(found);
    return true;
}

bool FleetState::applyCommand(std::uint64_t, const RegisterObserver &command)
{
    return this->observerAddresses.insert(command.address).second;
}

bool FleetState::applyCommand(std::uint64_t, const ForgetObserver &command)
{
    return this->observerAddresses.erase(command.address) != 0;
}

FleetState::Snapshot FleetState::snapshot() const
{
    Snapshot result;
    result.revision = this->revision;
    result.configuration = this->storedConfiguration;
    for (const auto &[id, target] : this->registeredTargets)
        result.targets.push_back(target);
    for (const auto &[group, authority] : this->authorityByGroup)
        result.authorities.push_back(authority);
    for (const auto &[key, run] : this->poolerRuns)
        result.poolers.push_back(run);
    result.observers.assign(this->observerAddresses.begin(), this->observerAddresses.end());
    return result;
}

void FleetState::restore(const Snapshot &snapshot)
{
    this->revision = snapshot.revision;
    this->viewChanges.clear();
    this->changesKnownSince = snapshot.revision;
    this->storedConfiguration = snapshot.configuration;
    this->registeredTargets.clear();
    this->authorityByGroup.clear();
    for (const RegisteredTarget &target : snapshot.targets)
        this->registeredTargets[target.target] = target;
    for (const PrimaryAuthority &authority : snapshot.authorities)
        this->authorityByGroup[authority.group] = authority;
    this->poolerRuns.clear();
    this->livePoolerCount = 0;
    for (const PoolerRun &run : snapshot.poolers) {
        this->poolerRuns[{run.pooler, run.incarnation}] = run;
        this->livePoolerCount += run.hasEnded ? 0 : 1;
    }
    this->observerAddresses = {snapshot.observers.begin(), snapshot.observers.end()};
}

} // namespace rhubarbweir
