// See target_tracker.hpp.
#include "rhubarbweir/coordination/sessions/target_tracker.hpp"

#include <algorithm>
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
{
}

std::vector<ConnectionId> TargetTracker::applyView(const AuthorityView &view, TimePoint now)
{
    std::vector<ConnectionId> removed;
    for (auto entry = this->targets.begin(); entry != this->targets.end();) {
        const auto current = view.targets().find(entry->first);
        const bool isSame = current != view.targets().end()
                            && current->second.born == entry->second.target.born
                            && current->second.address == entry->second.target.address
                            && current->second.group == entry->second.target.group;
        if (isSame) {
            entry->second.target = current->second;
            ++entry;
            continue;
        }
        removed.insert(removed.end(), entry->second.connections.begin(),
                       entry->second.connections.end());
        entry = this->targets.erase(entry);
    }
    for (const auto &[id, target] : view.targets()) {
        if (this->targets.count(id) != 0)
            continue;
        TargetRecord record;
        record.target = target;
        record.lastContactAt = now;
        this->targets.emplace(id, std::move(record));
    }
    return removed;
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
        const bool isStatement =
            answer.kind == TargetCommandKind::Forward || answer.kind == TargetCommandKind::Execute;
        if (isStatement) {
            record->busyBackoff = record->busyBackoff / 2;
            const auto took = std::chrono::duration_cast<Duration>(now - answer.sentAt);
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
        record->suspendedUntil = now;
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
    record->suspendedUntil = now + record->busyBackoff;
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
    record->suspendedUntil = now + record->backoff;
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
                record.suspendedUntil = now + this->settings.maxReconnectBackoff;
                break;
            }
        }
    }
    return changed;
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
    for (const auto &[id, record] : this->targets) {
        if (record.target.group != group || id == primary
            || record.target.phase != TargetPhase::Ready)
            continue;
        if (!record.behindSince || now < *record.behindSince + this->settings.behindThreshold)
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
        expected += this->settings.otherDomainPenalty;
    if (isPrimary)
        expected += this->settings.primaryReadPenalty;
    else if (minimum && (!record.position || *record.position < *minimum))
        expected += this->settings.laggingPenalty;
    return expected;
}

} // namespace rhubarbweir
