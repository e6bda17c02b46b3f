// See target_tracker.hpp.
#include "rhubarbweir/coordination/sessions/target_tracker.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace rhubarbweir {

namespace {

// The newest measurement enters the moving average of the delay with a weight of 1 / this.
constexpr int DelaySmoothing = 8;
constexpr double WindowDecrease = 0.8;
// A connection that takes longer to open than the timeout divided by this, 100 ms, takes unusually
// long. A target in service takes some 12 ms.
constexpr int UnusualConnectDivisor = 10;
// More than the slots of a typical target.
constexpr double MaxWindow = 12;

} // namespace

TargetTracker::TargetTracker(const PoolerSettings &poolerSettings)
    : settings(poolerSettings)
    , domainDistances(poolerSettings.failureDomain)
{
}

std::vector<ConnectionId> TargetTracker::applyView(const AuthorityView &view,
                                                   const FleetView &change, TimePoint now)
{
    std::set<TargetId> changed(change.removedTargets.begin(), change.removedTargets.end());
    for (const RegisteredTarget &target : change.targets)
        changed.insert(target.target);
    const bool isWhole = change.baseRevision == 0;
    if (isWhole) {
        for (const auto &[id, record] : this->targets)
            changed.insert(id);
    }
    std::set<GroupId> changedGroups;
    for (const PrimaryAuthority &authority : change.authorities)
        changedGroups.insert(authority.group);
    std::vector<ConnectionId> removed;
    for (const TargetId &id : changed) {
        if (const TargetRecord *former = this->find(id))
            changedGroups.insert(former->target.group);
        const std::vector<ConnectionId> closed = this->applyTarget(id, view, now);
        removed.insert(removed.end(), closed.begin(), closed.end());
        if (const TargetRecord *current = this->find(id))
            changedGroups.insert(current->target.group);
    }
    for (const GroupId &id : changedGroups) {
        const auto group = this->groups.find(id);
        if (group == this->groups.end())
            continue;
        group->second.primary = view.knownPrimary(id);
        this->chooseHome(group->second);
    }
    return removed;
}

std::vector<ConnectionId> TargetTracker::applyTarget(const TargetId &id, const AuthorityView &view,
                                                     TimePoint now)
{
    std::vector<ConnectionId> removed;
    const auto current = view.targets().find(id);
    const bool isKnown = current != view.targets().end();
    if (const auto former = this->targets.find(id); former != this->targets.end()) {
        TargetRecord &record = former->second;
        if (isKnown && current->second.born == record.target.born
            && current->second.address == record.target.address
            && current->second.group == record.target.group) {
            record.target = current->second;
            return removed;
        }
        removed.assign(record.connections.begin(), record.connections.end());
        this->removeFromGroup(record);
        this->targets.erase(former);
    }
    if (isKnown) {
        TargetRecord record;
        record.target = current->second;
        record.lastContactAt = now;
        this->addToGroup(this->targets.emplace(id, std::move(record)).first->second);
    }
    return removed;
}

void TargetTracker::addToGroup(const TargetRecord &record)
{
    std::vector<const TargetRecord *> &members = this->groups[record.target.group].members;
    const auto next =
        std::find_if(members.begin(), members.end(), [&record](const TargetRecord *member) {
            return record.target.target < member->target.target;
        });
    members.insert(next, &record);
}

void TargetTracker::removeFromGroup(const TargetRecord &record)
{
    const auto found = this->groups.find(record.target.group);
    std::vector<const TargetRecord *> &members = found->second.members;
    members.erase(std::remove(members.begin(), members.end(), &record), members.end());
    if (members.empty())
        this->groups.erase(found);
}

// Chooses the home replica: in the own failure domain if there is one; otherwise in the region;
// otherwise any. Among equals by rendezvous hashing, so that the poolers of other domains spread
// over the replicas.
void TargetTracker::chooseHome(TargetGroup &group) const
{
    group.home = nullptr;
    group.replicas = 0;
    group.replicasInRegion = 0;
    std::tuple<bool, bool, std::size_t> best;
    for (const TargetRecord *record : group.members) {
        const RegisteredTarget &target = record->target;
        if (target.phase != TargetPhase::Ready || target.target == group.primary)
            continue;
        const bool isInRegion = !this->domainDistances.isDistant(target.failureDomain);
        ++group.replicas;
        group.replicasInRegion += isInRegion ? 1 : 0;
        const std::tuple<bool, bool, std::size_t> rank(
            target.failureDomain == this->settings.failureDomain, isInRegion,
            std::hash<std::string>()(this->settings.instance.value + "/" + target.target.value));
        if (group.home == nullptr || best < rank) {
            group.home = record;
            best = rank;
        }
    }
}

std::uint32_t TargetTracker::poolersOfHome(const TargetGroup &group, std::uint32_t poolers) const
{
    if (group.replicasInRegion == 0 || this->domainDistances.distantDomains().empty())
        return poolers / group.replicas;
    const auto domains = static_cast<std::uint32_t>(this->domainDistances.domainCount());
    const auto distant = static_cast<std::uint32_t>(this->domainDistances.distantDomains().size());
    const std::uint32_t inRegion = poolers * (domains - distant) / domains;
    // Poolers of a region without a replica have homes in this one.
    const bool isOnlyRegion = group.replicasInRegion == group.replicas;
    return inRegion / group.replicasInRegion
           + (isOnlyRegion ? (poolers - inRegion) / group.replicas : 0);
}

void TargetTracker::recordDistance(const TargetRecord &record, Duration took, TimePoint now)
{
    if (!this->domainDistances.record(record.target.failureDomain, took, now))
        return;
    for (auto &[id, group] : this->groups)
        this->chooseHome(group);
}

const TargetGroup &TargetTracker::group(const GroupId &group) const
{
    static const TargetGroup none;
    const auto found = this->groups.find(group);
    return found == this->groups.end() ? none : found->second;
}

TargetRecord *TargetTracker::find(const TargetId &target)
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : &found->second;
}

const TargetRecord *TargetTracker::find(const TargetId &target) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : &found->second;
}

PooledConnection *TargetTracker::connection(ConnectionId id)
{
    const auto found = this->open.find(id);
    return found == this->open.end() ? nullptr : &found->second;
}

PooledConnection &TargetTracker::addConnection(const TargetRecord &record, const TeamId &team,
                                               TimePoint now)
{
    PooledConnection connection;
    connection.id = ++this->lastId;
    connection.target = record.target.target;
    connection.group = record.target.group;
    connection.team = team;
    connection.connectStartedAt = now;
    connection.connectDeadline = now + this->settings.connectTimeout;
    this->targets.at(record.target.target).connections.insert(connection.id);
    return this->open.emplace(connection.id, std::move(connection)).first->second;
}

void TargetTracker::removeConnection(ConnectionId id)
{
    const auto found = this->open.find(id);
    if (found == this->open.end())
        return;
    if (TargetRecord *record = this->find(found->second.target)) {
        record->connections.erase(id);
        record->inFlight -= std::min<unsigned>(record->inFlight,
                                               static_cast<unsigned>(found->second.awaited.size()));
    }
    this->open.erase(found);
}

PooledConnection *TargetTracker::idleConnection(const TargetId &target, const TeamId &team,
                                                const std::map<std::string, std::string> &values)
{
    const TargetRecord *record = this->find(target);
    if (record == nullptr)
        return nullptr;
    PooledConnection *best = nullptr;
    for (const ConnectionId id : record->connections) {
        PooledConnection &candidate = this->open.at(id);
        if (candidate.phase != ConnectionPhase::Idle || candidate.team != team)
            continue;
        if (candidate.values == values)
            return &candidate;
        if (best == nullptr)
            best = &candidate;
    }
    return best;
}

bool TargetTracker::hasIdleConnection(const TargetId &target, const TeamId *team) const
{
    const TargetRecord *record = this->find(target);
    if (record == nullptr)
        return false;
    return std::any_of(record->connections.begin(), record->connections.end(),
                       [this, team](ConnectionId id) {
                           const PooledConnection &connection = this->open.at(id);
                           return connection.phase == ConnectionPhase::Idle
                                  && (team == nullptr || connection.team == *team);
                       });
}

const PooledConnection *TargetTracker::idleOfOtherTeam(const TargetId &target,
                                                       const TeamId &team) const
{
    const TargetRecord *record = this->find(target);
    if (record == nullptr)
        return nullptr;
    const PooledConnection *oldest = nullptr;
    for (const ConnectionId id : record->connections) {
        const PooledConnection &candidate = this->open.at(id);
        if (candidate.phase == ConnectionPhase::Idle && candidate.team != team
            && (oldest == nullptr || candidate.idleSince < oldest->idleSince))
            oldest = &candidate;
    }
    return oldest;
}

std::size_t TargetTracker::connectingCount(const TargetId &target, const TeamId &team) const
{
    const TargetRecord *record = this->find(target);
    if (record == nullptr)
        return 0;
    return static_cast<std::size_t>(std::count_if(
        record->connections.begin(), record->connections.end(), [this, &team](ConnectionId id) {
            const PooledConnection &connection = this->open.at(id);
            return connection.phase == ConnectionPhase::Connecting && connection.team == team;
        }));
}

void TargetTracker::connectionOpened(const PooledConnection &connection, TimePoint now)
{
    this->markAlive(connection.target, now);
    if (const TargetRecord *record = this->find(connection.target))
        this->recordDistance(
            *record, std::chrono::duration_cast<Duration>(now - connection.connectStartedAt), now);
}

std::size_t TargetTracker::connectionCount(const TargetRecord &record, const TeamId &team) const
{
    return static_cast<std::size_t>(
        std::count_if(record.connections.begin(), record.connections.end(),
                      [this, &team](ConnectionId id) { return this->open.at(id).team == team; }));
}

bool TargetTracker::opensSoon(const TargetId &target, const TeamId &team, TimePoint now) const
{
    const TargetRecord *record = this->find(target);
    if (record == nullptr)
        return false;
    const Duration unusual =
        this->settings.connectTimeout - this->settings.connectTimeout / UnusualConnectDivisor;
    return std::any_of(
        record->connections.begin(), record->connections.end(), [&](ConnectionId id) {
            const PooledConnection &connection = this->open.at(id);
            return connection.phase == ConnectionPhase::Connecting && connection.team == team
                   && now < connection.connectDeadline - unusual;
        });
}

void TargetTracker::commandSent(PooledConnection &connection, AwaitedAnswer answer)
{
    connection.awaited.push_back(answer);
    if (TargetRecord *record = this->find(connection.target))
        ++record->inFlight;
}

std::optional<AwaitedAnswer> TargetTracker::answerReceived(PooledConnection &connection,
                                                           TimePoint now)
{
    if (connection.awaited.empty())
        return std::nullopt;
    const AwaitedAnswer answer = connection.awaited.front();
    connection.awaited.pop_front();
    this->markAlive(connection.target, now);
    if (TargetRecord *record = this->find(connection.target)) {
        if (record->inFlight > 0)
            --record->inFlight;
        const auto took = std::chrono::duration_cast<Duration>(now - answer.sentAt);
        this->recordDistance(*record, took, now);
        const bool isStatement =
            answer.kind == TargetCommandKind::Forward || answer.kind == TargetCommandKind::Execute;
        if (isStatement) {
            record->busyBackoff = record->busyBackoff / 2;
            record->delay += (took - record->delay) / DelaySmoothing;
            this->adaptWindow(*record);
        }
    }
    return answer;
}

// Additive increase, multiplicative decrease (AIMD). Statements beyond the window wait in the
// pooler's queue, which orders them by priority, instead of in the target's.
void TargetTracker::adaptWindow(TargetRecord &record) const
{
    if (record.delay > this->settings.slowAnswerThreshold)
        record.window = std::max(1.0, record.window * WindowDecrease);
    else
        record.window = std::min(MaxWindow, record.window + 1 / record.window);
}

void TargetTracker::markAlive(const TargetId &target, TimePoint now)
{
    TargetRecord *record = this->find(target);
    if (record == nullptr)
        return;
    record->lastContactAt = now;
    record->backoff = Duration::zero();
    if (record->state != ObservedState::Alive)
        this->suspend(*record, now);
    this->changeState(*record, ObservedState::Alive);
}

void TargetTracker::markBusy(const TargetId &target, TimePoint now)
{
    TargetRecord *record = this->find(target);
    if (record == nullptr)
        return;
    record->window = std::max(1.0, record->window / 2);
    record->busyBackoff = std::clamp(record->busyBackoff * 2, this->settings.busyBackoff,
                                     this->settings.maxBusyBackoff);
    this->suspend(*record, now + record->busyBackoff);
}

void TargetTracker::markLagging(const TargetId &target, const LogPosition &minimum, TimePoint now)
{
    TargetRecord *record = this->find(target);
    if (record == nullptr)
        return;
    record->missingPosition = minimum;
    if (!record->behindSince)
        record->behindSince = now;
    record->laggingBackoff = std::clamp(record->laggingBackoff * 2, this->settings.laggingBackoff,
                                        this->settings.maxLaggingBackoff);
    record->laggingUntil = now + record->laggingBackoff;
    this->suspended.insert(target);
}

void TargetTracker::markFailed(const TargetId &target, TargetFailure failure, TimePoint now)
{
    TargetRecord *record = this->find(target);
    if (record == nullptr)
        return;
    if (failure == TargetFailure::TooMany) {
        record->connectBlockedUntil = now + this->settings.connectionLimitBackoff;
        return;
    }
    if (failure == TargetFailure::Reset && !record->connections.empty())
        return;
    record->backoff = std::clamp(record->backoff * 2, this->settings.reconnectBackoff,
                                 this->settings.maxReconnectBackoff);
    this->suspend(*record, now + record->backoff);
    if (failure == TargetFailure::Refused)
        this->changeState(*record, ObservedState::Broken);
    else if (failure == TargetFailure::Silent)
        this->changeState(*record, ObservedState::Silent);
}

bool TargetTracker::changeState(TargetRecord &record, ObservedState state)
{
    const bool changed = record.state != state;
    record.state = state;
    return changed;
}

bool TargetTracker::markSilentTargets(TimePoint now)
{
    bool changed = false;
    for (auto &[id, record] : this->targets) {
        if (record.state != ObservedState::Alive)
            continue;
        for (const ConnectionId connectionId : record.connections) {
            const PooledConnection &connection = this->open.at(connectionId);
            if (connection.awaited.empty())
                continue;
            const TimePoint since =
                std::max(record.lastContactAt, connection.awaited.front().sentAt);
            if (now >= since + this->settings.silentAfter) {
                changed = this->changeState(record, ObservedState::Silent) || changed;
                this->suspend(record, now + this->settings.maxReconnectBackoff);
                break;
            }
        }
    }
    return changed;
}

void TargetTracker::suspend(TargetRecord &record, TimePoint until)
{
    record.suspendedUntil = until;
    this->suspended.insert(record.target.target);
}

TimePoint TargetTracker::suspensionEndAfter(TimePoint after) const
{
    TimePoint earliest = TimePoint::max();
    for (const TargetId &id : this->suspended) {
        const TargetRecord *record = this->find(id);
        if (record == nullptr)
            continue;
        for (const TimePoint until : {record->suspendedUntil, record->laggingUntil}) {
            if (until > after)
                earliest = std::min(earliest, until);
        }
    }
    return earliest;
}

void TargetTracker::forgetSuspensionsUntil(TimePoint now)
{
    for (auto entry = this->suspended.begin(); entry != this->suspended.end();) {
        const TargetRecord *record = this->find(*entry);
        const bool hasEnded =
            record == nullptr || (record->suspendedUntil <= now && record->laggingUntil <= now);
        entry = hasEnded ? this->suspended.erase(entry) : std::next(entry);
    }
}

std::vector<TargetObservation> TargetTracker::observations() const
{
    std::vector<TargetObservation> seen;
    for (const auto &[id, record] : this->targets) {
        if (record.state != ObservedState::Alive)
            seen.push_back({id, record.target.group, record.state});
    }
    return seen;
}

bool TargetTracker::isOverloaded(const GroupId &group, const TargetId &primary, TimePoint now) const
{
    const TargetRecord *primaryRecord = this->find(primary);
    if (primaryRecord == nullptr
        || (primaryRecord->delay <= this->settings.slowAnswerThreshold
            && primaryRecord->busyBackoff < this->settings.busyBackoff))
        return false;
    bool hasReplica = false;
    for (const TargetRecord *record : this->group(group).members) {
        if (record->target.target == primary || record->target.phase != TargetPhase::Ready)
            continue;
        if (!record->behindSince || now < *record->behindSince + this->settings.behindThreshold)
            return false;
        hasReplica = true;
    }
    return hasReplica;
}

Duration TargetTracker::expectedDelay(const TargetRecord &record, bool isPrimary,
                                      const std::optional<LogPosition> &minimum) const
{
    Duration expected = record.delay * (1 + record.inFlight);
    if (record.target.failureDomain != this->settings.failureDomain)
        expected += std::max(this->settings.otherDomainPenalty,
                             this->domainDistances.extraRoundTrip(record.target.failureDomain));
    if (isPrimary)
        expected += this->settings.primaryReadPenalty;
    else if (minimum && (!record.position || *record.position < *minimum))
        expected += this->settings.laggingPenalty;
    return expected;
}

} // namespace rhubarbweir
