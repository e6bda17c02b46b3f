// See target_book.hpp.
#include "rhubarbweir/coordination/sessions/target_book.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

// Weight of the newest measurement in the smoothed delay, as one part in so many.
constexpr int DelaySmoothing = 8;
constexpr double WindowDecrease = 0.8;
// More than the slots of a usual target.
constexpr double MaxWindow = 12;

} // namespace

TargetBook::TargetBook(const PoolerSettings &poolerSettings)
    : settings(poolerSettings)
{
}

std::vector<ConnectionId> TargetBook::follow(const AuthorityView &view, TimePoint now)
{
    std::vector<ConnectionId> gone;
    for (auto entry = this->targets.begin(); entry != this->targets.end();) {
        const auto still = view.targets().find(entry->first);
        const bool isSame = still != view.targets().end()
                            && still->second.born == entry->second.target.born
                            && still->second.address == entry->second.target.address
                            && still->second.group == entry->second.target.group;
        if (isSame) {
            entry->second.target = still->second;
            ++entry;
            continue;
        }
        gone.insert(gone.end(), entry->second.connections.begin(), entry->second.connections.end());
        entry = this->targets.erase(entry);
    }
    for (const auto &[id, target] : view.targets()) {
        if (this->targets.count(id) != 0)
            continue;
        TargetRecord record;
        record.target = target;
        record.heardAt = now;
        this->targets.emplace(id, std::move(record));
    }
    return gone;
}

TargetRecord *TargetBook::find(const TargetId &target)
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : &found->second;
}

const TargetRecord *TargetBook::find(const TargetId &target) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : &found->second;
}

PooledConnection *TargetBook::connection(ConnectionId id)
{
    const auto found = this->open.find(id);
    return found == this->open.end() ? nullptr : &found->second;
}

PooledConnection &TargetBook::addConnection(const TargetRecord &record, TimePoint now)
{
    PooledConnection connection;
    connection.id = ++this->lastId;
    connection.target = record.target.target;
    connection.group = record.target.group;
    connection.connectDeadline = now + this->settings.connectTimeout;
    this->targets.at(record.target.target).connections.insert(connection.id);
    return this->open.emplace(connection.id, std::move(connection)).first->second;
}

void TargetBook::removeConnection(ConnectionId id)
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

PooledConnection *TargetBook::idleConnection(const TargetId &target,
                                             const std::map<std::string, std::string> &values)
{
    const TargetRecord *record = this->find(target);
    if (record == nullptr)
        return nullptr;
    PooledConnection *best = nullptr;
    for (const ConnectionId id : record->connections) {
        PooledConnection &candidate = this->open.at(id);
        if (candidate.phase != ConnectionPhase::Idle)
            continue;
        if (candidate.values == values)
            return &candidate;
        if (best == nullptr)
            best = &candidate;
    }
    return best;
}

std::size_t TargetBook::connecting(const TargetId &target) const
{
    const TargetRecord *record = this->find(target);
    if (record == nullptr)
        return 0;
    return static_cast<std::size_t>(std::count_if(
        record->connections.begin(), record->connections.end(), [this](ConnectionId id) {
            return this->open.at(id).phase == ConnectionPhase::Connecting;
        }));
}

void TargetBook::sent(PooledConnection &connection, AwaitedAnswer answer)
{
    connection.awaited.push_back(answer);
    if (TargetRecord *record = this->find(connection.target))
        ++record->inFlight;
}

std::optional<AwaitedAnswer> TargetBook::answered(PooledConnection &connection, TimePoint now)
{
    if (connection.awaited.empty())
        return std::nullopt;
    const AwaitedAnswer answer = connection.awaited.front();
    connection.awaited.pop_front();
    this->heard(connection.target, now);
    if (TargetRecord *record = this->find(connection.target)) {
        if (record->inFlight > 0)
            --record->inFlight;
        const bool isStatement =
            answer.kind == TargetCommandKind::Forward || answer.kind == TargetCommandKind::Execute;
        if (isStatement) {
            record->busyPause = record->busyPause / 2;
            const auto took = std::chrono::duration_cast<Duration>(now - answer.sentAt);
            record->delay += (took - record->delay) / DelaySmoothing;
            this->adaptWindow(*record);
        }
    }
    return answer;
}

// Additive growth, multiplicative decrease: what does not fit waits here, where the most urgent
// goes first, and not in the target's own queue.
void TargetBook::adaptWindow(TargetRecord &record) const
{
    if (record.delay > this->settings.slowAnswer)
        record.window = std::max(1.0, record.window * WindowDecrease);
    else
        record.window = std::min(MaxWindow, record.window + 1 / record.window);
}

void TargetBook::heard(const TargetId &target, TimePoint now)
{
    TargetRecord *record = this->find(target);
    if (record == nullptr)
        return;
    record->heardAt = now;
    record->pause = Duration::zero();
    if (record->state != ObservedState::Alive)
        record->suspendedUntil = now;
    this->changeState(*record, ObservedState::Alive);
}

void TargetBook::busy(const TargetId &target, TimePoint now)
{
    TargetRecord *record = this->find(target);
    if (record == nullptr)
        return;
    record->window = std::max(1.0, record->window / 2);
    record->busyPause =
        std::clamp(record->busyPause * 2, this->settings.busyPause, this->settings.busyPauseCap);
    record->suspendedUntil = now + record->busyPause;
}

void TargetBook::lacks(const TargetId &target, const LogPosition &minimum, TimePoint now)
{
    TargetRecord *record = this->find(target);
    if (record == nullptr)
        return;
    record->lacked = minimum;
    if (!record->behindSince)
        record->behindSince = now;
    record->laggingPause = std::clamp(record->laggingPause * 2, this->settings.laggingPause,
                                      this->settings.laggingPauseCap);
    record->laggingUntil = now + record->laggingPause;
}

void TargetBook::failed(const TargetId &target, TargetFailure failure, TimePoint now)
{
    TargetRecord *record = this->find(target);
    if (record == nullptr)
        return;
    if (failure == TargetFailure::TooMany) {
        record->tooManyUntil = now + this->settings.tooManyPause;
        return;
    }
    if (failure == TargetFailure::Reset && !record->connections.empty())
        return;
    record->pause = std::clamp(record->pause * 2, this->settings.reconnectPause,
                               this->settings.reconnectPauseCap);
    record->suspendedUntil = now + record->pause;
    if (failure == TargetFailure::Refused)
        this->changeState(*record, ObservedState::Broken);
    else if (failure == TargetFailure::Silent)
        this->changeState(*record, ObservedState::Silent);
}

bool TargetBook::changeState(TargetRecord &record, ObservedState state)
{
    const bool changed = record.state != state;
    record.state = state;
    return changed;
}

bool TargetBook::findSilent(TimePoint now)
{
    bool changed = false;
    for (auto &[id, record] : this->targets) {
        if (record.state != ObservedState::Alive)
            continue;
        for (const ConnectionId connectionId : record.connections) {
            const PooledConnection &connection = this->open.at(connectionId);
            if (connection.awaited.empty())
                continue;
            const TimePoint since = std::max(record.heardAt, connection.awaited.front().sentAt);
            if (now >= since + this->settings.silentAfter) {
                changed = this->changeState(record, ObservedState::Silent) || changed;
                record.suspendedUntil = now + this->settings.reconnectPauseCap;
                break;
            }
        }
    }
    return changed;
}

std::vector<TargetObservation> TargetBook::observations() const
{
    std::vector<TargetObservation> seen;
    for (const auto &[id, record] : this->targets) {
        if (record.state != ObservedState::Alive)
            seen.push_back({id, record.target.group, record.state});
    }
    return seen;
}

bool TargetBook::isOverloaded(const GroupId &group, const TargetId &primary, TimePoint now) const
{
    const TargetRecord *leading = this->find(primary);
    if (leading == nullptr
        || (leading->delay <= this->settings.slowAnswer
            && leading->busyPause < this->settings.busyPause))
        return false;
    bool hasReplica = false;
    for (const auto &[id, record] : this->targets) {
        if (record.target.group != group || id == primary
            || record.target.phase != TargetPhase::Ready)
            continue;
        if (!record.behindSince || now < *record.behindSince + this->settings.behindAfter)
            return false;
        hasReplica = true;
    }
    return hasReplica;
}

Duration TargetBook::expectedDelay(const TargetRecord &record, bool isPrimary,
                                   const std::optional<LogPosition> &minimum) const
{
    Duration expected = record.delay * (1 + record.inFlight);
    if (record.target.failureDomain != this->settings.failureDomain)
        expected += this->settings.otherDomainDelay;
    if (isPrimary)
        expected += this->settings.primaryReadDelay;
    else if (minimum && (!record.position || *record.position < *minimum))
        expected += this->settings.laggingDelay;
    return expected;
}

} // namespace rhubarbweir
