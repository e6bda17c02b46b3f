// See statement_queue.hpp.
#include "rhubarbweir/coordination/sessions/statement_queue.hpp"

#include <algorithm>
#include <cmath>

namespace rhubarbweir {

namespace {

// The newest measurement enters a moving average with a weight of 1 / this.
constexpr int Smoothing = 8;
// Limit on one measurement of the time between two statements, so that an interruption of a group
// does not make its queue look slow once it is served again.
constexpr std::chrono::milliseconds MaxInterval{200};
// Time after which work counts half against a team. A few times the objectives of typical routes.
constexpr std::chrono::seconds WorkHalfLife{2};
// Work assumed for a statement while none is known.
constexpr std::chrono::milliseconds MinWork{1};
// Work, in seconds, that a team with a connection may be given in advance of a team that needs a
// new one. The work of a few statements.
constexpr double ConnectedLead = 0.2;
// One in this many statements taken from a group's queue is the oldest of any priority.
constexpr unsigned OldestShare = 8;
// A late answer has value where the deadline is at least this many objectives after the arrival.
constexpr int LateValueFactor = 2;
// Without teams, a late statement waits here where the timeout is at least this many objectives.
// Shorter timeouts end for much of a backlog while it waits behind new statements.
constexpr int LateWaitFactor = 8;
// While statements have been waiting for longer than the objective of a new one, that one is to be
// sent within its objective divided by this. A longer queue would not serve more, and some callers
// give up at half of their objective.
constexpr int SteadyWaitDivisor = 4;
// Lower bound on the time between two examinations of a statement.
constexpr std::chrono::milliseconds MinCheckInterval{1};

} // namespace

StatementQueue::StatementQueue(const PoolerSettings &poolerSettings)
    : settings(poolerSettings)
{
}

void StatementQueue::setByTeam(bool orderByTeam, TimePoint now)
{
    for (auto &[group, queue] : this->groups) {
        for (auto entry = queue.teams.begin(); entry != queue.teams.end();) {
            const TeamState &team = entry->second;
            const bool isForgotten = team.paces[0].waiting + team.paces[1].waiting == 0
                                     && givenWork(queue, entry->first, now)
                                            < std::chrono::duration<double>(MinWork).count();
            entry = isForgotten ? queue.teams.erase(entry) : std::next(entry);
        }
    }
    if (orderByTeam == this->byTeam)
        return;
    for (const auto &[session, entry] : this->entries)
        this->erase(entry);
    this->byTeam = orderByTeam;
    for (auto &[session, entry] : this->entries) {
        // The statements wait already, so none is refused; expire() examines them at once.
        entry.isLate = false;
        entry.checkAt = now;
        this->insert(entry);
    }
}

std::vector<QueueRefusal> StatementQueue::add(const WaitingStatement &statement, TimePoint now)
{
    if (this->contains(statement.session))
        return {};
    Entry entry;
    entry.statement = statement;
    entry.sequence = ++this->lastSequence;
    entry.examinedAt = statement.arrivedAt;
    if (const auto reason = this->place(entry, now, true))
        return {{statement.session, *reason}};
    this->insert(entry);
    this->countAdded(statement, now);
    this->entries.emplace(statement.session, std::move(entry));
    if (!this->byTeam && this->lateEntries == 0)
        return {};
    const std::optional<QueueRefusal> shed = this->shed(statement.team);
    return shed ? std::vector<QueueRefusal>{*shed} : std::vector<QueueRefusal>{};
}

bool StatementQueue::remove(SessionNumber session)
{
    const auto found = this->entries.find(session);
    if (found == this->entries.end())
        return false;
    this->erase(found->second);
    this->countRemoved(found->second.statement);
    this->entries.erase(found);
    return true;
}

bool StatementQueue::taken(SessionNumber session, TimePoint now)
{
    const auto found = this->entries.find(session);
    if (found == this->entries.end())
        return false;
    const WaitingStatement &statement = found->second.statement;
    GroupQueue &queue = this->groups[statement.group];
    queue.paces.at(laneOf(statement)).taken(now);
    queue.teams[statement.team].paces.at(laneOf(statement)).taken(now);
    return this->remove(session);
}

// Pace and fairness.

void StatementQueue::Pace::added(TimePoint now)
{
    if (this->waiting++ != 0)
        return;
    this->waitingSince = now;
    this->movedAt = now;
}

void StatementQueue::Pace::taken(TimePoint now)
{
    const auto elapsed = std::chrono::duration_cast<Duration>(now - this->movedAt);
    // A group in service answers a statement, and sends the next, within `work`. A longer gap is an
    // interruption, and the time before its end does not show that the group is overloaded.
    if (elapsed > MaxInterval + this->work)
        this->waitingSince = now;
    this->interval += (std::min<Duration>(elapsed, MaxInterval) - this->interval) / Smoothing;
    this->movedAt = now;
}

void StatementQueue::sent(const GroupId &group, bool needsPrimary, const TeamId &team,
                          TimePoint now)
{
    if (!this->byTeam)
        return;
    GroupQueue &queue = this->groups[group];
    const Duration work = std::max<Duration>(queue.paces.at(needsPrimary).work, MinWork);
    const double before = givenWork(queue, team, now);
    TeamState &state = queue.teams[team];
    state.givenWork = before + std::chrono::duration<double>(work).count();
    state.givenAsOf = now;
}

void StatementQueue::answered(const GroupId &group, bool needsPrimary, Duration took)
{
    Duration &work = this->groups[group].paces.at(needsPrimary).work;
    work = work == Duration::zero() ? took : work + (took - work) / Smoothing;
}

Duration StatementQueue::usualWork(const GroupId &group, bool needsPrimary) const
{
    const auto found = this->groups.find(group);
    return found == this->groups.end() ? Duration::zero()
                                       : found->second.paces.at(needsPrimary).work;
}

double StatementQueue::givenWork(const GroupQueue &queue, const TeamId &team, TimePoint now)
{
    const auto found = queue.teams.find(team);
    if (found == queue.teams.end())
        return 0;
    const std::chrono::duration<double> age = now - found->second.givenAsOf;
    return found->second.givenWork * std::exp2(-age / WorkHalfLife);
}

// Those of higher ranks, and of the entry's rank as many of each team as the entry's team has.
StatementQueue::Ahead StatementQueue::ahead(const Entry &entry) const
{
    const std::size_t lane = laneOf(entry.statement);
    const Rank rank = this->rankOf(entry);
    Ahead ahead;
    for (const auto &[other, teams] : this->groups.at(entry.statement.group).ranks) {
        if (rank < other)
            break;
        const bool isSame = !(other < rank);
        const auto own = teams.find(entry.statement.team);
        const std::size_t ownCount = own == teams.end() ? 0 : own->second.at(lane).size();
        ahead.own += ownCount;
        for (const auto &[team, lines] : teams) {
            const std::size_t waiting = lines.at(lane).size();
            const bool isOwn = team == entry.statement.team;
            ahead.all += isSame && !isOwn ? std::min(waiting, ownCount + 1) : waiting;
        }
    }
    return ahead;
}

Duration StatementQueue::expectedWait(const Entry &entry) const
{
    const GroupQueue &queue = this->groups.at(entry.statement.group);
    const Ahead ahead = this->ahead(entry);
    const Duration wait = queue.paceOf(entry.statement).interval * ahead.all;
    const auto team = queue.teams.find(entry.statement.team);
    if (team == queue.teams.end())
        return wait;
    return std::max<Duration>(wait,
                              team->second.paces.at(laneOf(entry.statement)).interval * ahead.own);
}

// Decides whether the entry can be in time. Returns a reason if it is to be refused.
std::optional<QueueRefusalReason> StatementQueue::place(Entry &entry, TimePoint now, bool isNew)
{
    if (!this->byTeam)
        return this->placeWithoutTeams(entry, now);
    const WaitingStatement &statement = entry.statement;
    const GroupQueue &queue = this->groups[statement.group];
    if (entry.isLate)
        return this->placeLate(entry, now);
    const Duration work = queue.paceOf(statement).work;
    const Duration wait = this->expectedWait(entry);
    const Duration allowed =
        std::chrono::duration_cast<Duration>(statement.objective - statement.arrivedAt);
    const Pace &pace = queue.paceOf(statement);
    const bool isSteady = isNew && pace.waiting > 0 && now - pace.waitingSince > allowed;
    if (now + wait + work > statement.objective || (isSteady && wait > allowed / SteadyWaitDivisor))
        return this->placeLate(entry, now);
    entry.checkAt = std::max<TimePoint>(statement.objective - work, now + MinCheckInterval);
    return std::nullopt;
}

// The newest goes first, so a statement counts as in time until its objective. A late one waits
// only while the group is served here: otherwise another pooler may serve it.
std::optional<QueueRefusalReason> StatementQueue::placeWithoutTeams(Entry &entry, TimePoint now)
{
    const WaitingStatement &statement = entry.statement;
    const auto allowed =
        std::chrono::duration_cast<Duration>(statement.objective - statement.arrivedAt);
    entry.checkAt = TimePoint::max();
    if (!waitsWhenLate(allowed, std::chrono::duration_cast<Duration>(statement.deadline
                                                                     - statement.arrivedAt)))
        return std::nullopt;
    entry.checkAt = statement.objective;
    if (now < statement.objective)
        return std::nullopt;
    if (this->groups[statement.group].paceOf(statement).movedAt <= entry.examinedAt)
        return QueueRefusalReason::NotByDeadline;
    entry.examinedAt = now;
    const std::optional<QueueRefusalReason> reason = this->placeLate(entry, now);
    entry.checkAt = std::min<TimePoint>(entry.checkAt, now + allowed);
    return reason;
}

bool StatementQueue::waitsWhenLate(Duration objective, Duration timeout)
{
    return timeout >= LateWaitFactor * objective;
}

std::optional<QueueRefusalReason> StatementQueue::placeLate(Entry &entry, TimePoint now)
{
    const WaitingStatement &statement = entry.statement;
    if (statement.deadline - statement.arrivedAt
        < LateValueFactor * (statement.objective - statement.arrivedAt))
        return QueueRefusalReason::NotInTime;
    entry.isLate = true;
    GroupQueue &queue = this->groups[statement.group];
    const Duration left = std::chrono::duration_cast<Duration>(
        statement.deadline - queue.paceOf(statement).work - now);
    // Late statements are sent once no others wait. If statements have been waiting for longer than
    // the time that is left, they are expected to wait for at least as long from now on. The caller
    // can still use its time elsewhere.
    const Pace &pace = queue.paceOf(statement);
    if (this->expectedWait(entry) >= left || (pace.waiting > 0 && now - pace.waitingSince > left))
        return QueueRefusalReason::NotByDeadline;
    entry.checkAt = now + std::max<Duration>(left / 2, MinCheckInterval);
    return std::nullopt;
}

// Removes the newest statement, of the lowest rank, of the team with the most waiting statements if
// a limit is exceeded.
std::optional<QueueRefusal> StatementQueue::shed(const TeamId &newcomer)
{
    TeamId team = newcomer;
    QueueRefusalReason reason = QueueRefusalReason::TeamLimit;
    if (!this->byTeam || this->waitingByTeam[newcomer] <= this->settings.teamQueueLimit) {
        if (this->entries.size() <= this->settings.queueLimit)
            return std::nullopt;
        reason = QueueRefusalReason::QueueLimit;
        for (const auto &[other, count] : this->waitingByTeam) {
            if (count > this->waitingByTeam[team])
                team = other;
        }
    }
    const Entry *last = nullptr;
    const auto placeOf = [this](const Entry &entry) {
        return std::make_tuple(this->rankOf(entry), entry.statement.arrivedAt, entry.sequence);
    };
    for (const auto &[session, entry] : this->entries) {
        if (entry.statement.team == team && (last == nullptr || placeOf(*last) < placeOf(entry)))
            last = &entry;
    }
    if (last == nullptr)
        return std::nullopt;
    const QueueRefusal refusal{last->statement.session, reason};
    this->remove(refusal.session);
    return refusal;
}

// Time.

std::vector<QueueRefusal> StatementQueue::expire(TimePoint now)
{
    std::vector<QueueRefusal> refusals;
    while (!this->checks.empty() && this->checks.begin()->first <= now) {
        const auto found = this->entries.find(this->checks.begin()->second);
        this->erase(found->second);
        if (const auto reason = this->place(found->second, now, false)) {
            refusals.push_back({found->first, *reason});
            this->countRemoved(found->second.statement);
            this->entries.erase(found);
        } else {
            this->insert(found->second);
        }
    }
    return refusals;
}

TimePoint StatementQueue::nextDeadline() const
{
    return this->checks.empty() ? TimePoint::max() : this->checks.begin()->first;
}

// Lines.

bool StatementQueue::isWaited(const GroupId &group, bool needsPrimary) const
{
    const auto found = this->groups.find(group);
    return found != this->groups.end() && found->second.paces.at(needsPrimary).waiting > 0;
}

StatementQueue::Rank StatementQueue::rankOf(const Entry &entry) const
{
    return {entry.isLate, entry.statement.priority,
            this->byTeam ? entry.statement.teamPriority : 0};
}

StatementQueue::Urgency StatementQueue::urgencyOf(const Entry &entry) const
{
    return {this->byTeam ? entry.statement.objective : entry.statement.arrivedAt, entry.sequence};
}

void StatementQueue::insert(const Entry &entry)
{
    const WaitingStatement &statement = entry.statement;
    const std::size_t lane = laneOf(statement);
    GroupQueue &queue = this->groups[statement.group];
    queue.ranks[this->rankOf(entry)][this->byTeam ? statement.team : TeamId()].at(lane).emplace(
        this->urgencyOf(entry), statement.session);
    if (entry.checkAt != TimePoint::max())
        this->checks.emplace(entry.checkAt, statement.session);
    if (!this->byTeam && !entry.isLate)
        this->arrivals.emplace(statement.priority, this->urgencyOf(entry));
    if (this->byTeam && !entry.isLate)
        queue.byArrival.at(lane).emplace(Urgency(statement.arrivedAt, entry.sequence),
                                         statement.session);
    this->lateEntries += entry.isLate ? 1 : 0;
}

// Undoes insert(). The statement stays counted.
void StatementQueue::erase(const Entry &entry)
{
    const WaitingStatement &statement = entry.statement;
    const std::size_t lane = laneOf(statement);
    GroupQueue &queue = this->groups[statement.group];
    const auto teams = queue.ranks.find(this->rankOf(entry));
    const auto lines = teams->second.find(this->byTeam ? statement.team : TeamId());
    lines->second.at(lane).erase(this->urgencyOf(entry));
    if (lines->second[0].empty() && lines->second[1].empty())
        teams->second.erase(lines);
    if (teams->second.empty())
        queue.ranks.erase(teams);
    this->checks.erase({entry.checkAt, statement.session});
    this->arrivals.erase({statement.priority, this->urgencyOf(entry)});
    queue.byArrival.at(lane).erase(Urgency(statement.arrivedAt, entry.sequence));
    this->lateEntries -= entry.isLate ? 1 : 0;
}

void StatementQueue::countAdded(const WaitingStatement &statement, TimePoint now)
{
    GroupQueue &queue = this->groups[statement.group];
    queue.paces.at(laneOf(statement)).added(now);
    queue.teams[statement.team].paces.at(laneOf(statement)).added(now);
    ++this->waitingByTeam[statement.team];
}

void StatementQueue::countRemoved(const WaitingStatement &statement)
{
    GroupQueue &queue = this->groups[statement.group];
    --queue.paces.at(laneOf(statement)).waiting;
    --queue.teams[statement.team].paces.at(laneOf(statement)).waiting;
    const auto count = this->waitingByTeam.find(statement.team);
    if (--count->second == 0)
        this->waitingByTeam.erase(count);
}

// Order.

void StatementQueue::offerAll(TimePoint now, const QueueOffer &hooks)
{
    std::vector<GroupId> waiting;
    for (const auto &[group, queue] : this->groups) {
        if (!queue.ranks.empty())
            waiting.push_back(group);
    }
    NewestFirst decided;
    for (const GroupId &group : waiting)
        this->offerIn(group, now, hooks, decided);
}

void StatementQueue::offerGroup(const GroupId &group, TimePoint now, const QueueOffer &hooks)
{
    NewestFirst decided;
    this->offerIn(group, now, hooks, decided);
}

void StatementQueue::offerIn(const GroupId &group, TimePoint now, const QueueOffer &hooks,
                             NewestFirst &decided)
{
    GroupQueue &queue = this->groups[group];
    Pass pass;
    pass.lastSequence = this->lastSequence;
    while (!queue.ranks.empty()) {
        for (const std::size_t lane : {0U, 1U})
            pass.hasCapacity.at(lane) =
                queue.paces.at(lane).waiting > 0 && hooks.hasCapacity(group, lane == 1);
        const bool prefersOldest =
            this->byTeam && !pass.oldestWaits && queue.takenInOrder + 1 >= OldestShare;
        std::optional<SessionNumber> chosen;
        if (prefersOldest)
            chosen = this->oldest(queue, pass);
        const bool isOldest = chosen.has_value();
        if (!isOldest)
            chosen = this->next(queue, pass, decided, hooks, now);
        if (!chosen)
            return;
        const Entry entry = this->entries.at(*chosen);
        const std::size_t lane = laneOf(entry.statement);
        const TeamId team = this->byTeam ? entry.statement.team : TeamId();
        const Rank rank = this->rankOf(entry);
        if (!hooks.offer(entry.statement))
            pass.blockedTeams.emplace(team, lane);
        const auto kept = this->entries.find(*chosen);
        const bool waits = kept != this->entries.end() && kept->second.sequence == entry.sequence;
        if (isOldest)
            pass.oldestWaits = waits;
        else if (waits)
            pass.offered[{rank, team, lane}] = this->urgencyOf(entry);
        if (!waits)
            queue.takenInOrder = isOldest ? 0 : queue.takenInOrder + 1;
    }
}

bool StatementQueue::takesNewestFirst(unsigned priority, NewestFirst &decided, TimePoint now) const
{
    const auto known = decided.find(priority);
    if (known != decided.end())
        return known->second;
    const auto oldest = this->arrivals.lower_bound({priority, Urgency(TimePoint::min(), 0)});
    const bool newestFirst = oldest != this->arrivals.end() && oldest->first == priority
                             && now >= oldest->second.first + this->settings.lifoThreshold;
    decided.emplace(priority, newestFirst);
    return newestFirst;
}

// The statement that is next in order. Among the teams of a rank, the one that was given the least
// work goes first. A team that has a connection goes before it as long as it was not given much
// more, because a new connection takes time of the target.
std::optional<SessionNumber> StatementQueue::next(const GroupQueue &queue, Pass &pass,
                                                  NewestFirst &decided, const QueueOffer &hooks,
                                                  TimePoint now) const
{
    using Place = std::tuple<double, Urgency, SessionNumber>;
    for (const auto &[rank, teams] : queue.ranks) {
        const bool newestFirst =
            !this->byTeam && !rank.isLate && this->takesNewestFirst(rank.priority, decided, now);
        std::vector<Place> places;
        for (const auto &[team, lines] : teams) {
            if (const auto candidate = first(rank, team, lines, pass, newestFirst))
                places.emplace_back(givenWork(queue, team, now), candidate->urgency,
                                    candidate->session);
        }
        std::sort(places.begin(), places.end());
        if (places.empty())
            continue;
        const auto connected = std::find_if(places.begin(), places.end(), [&](const Place &place) {
            return places.size() > 1
                   && std::get<double>(place) <= std::get<double>(places.front()) + ConnectedLead
                   && hooks.hasConnection(
                       this->entries.at(std::get<SessionNumber>(place)).statement);
        });
        return std::get<SessionNumber>(connected != places.end() ? *connected : places.front());
    }
    return std::nullopt;
}

// The statement of the team that is next: of both lines, the one that goes first.
std::optional<StatementQueue::Candidate> StatementQueue::first(const Rank &rank, const TeamId &team,
                                                               const Lines &lines, const Pass &pass,
                                                               bool newestFirst)
{
    std::optional<Candidate> best;
    for (const std::size_t lane : {0U, 1U}) {
        if (!pass.hasCapacity.at(lane) || pass.blockedTeams.count({team, lane}) != 0)
            continue;
        const auto offered = pass.offered.find({rank, team, lane});
        const auto candidate =
            firstOf(lines.at(lane), offered == pass.offered.end() ? nullptr : &offered->second,
                    pass.lastSequence, newestFirst);
        if (candidate && (!best || (candidate->urgency < best->urgency) != newestFirst))
            best = candidate;
    }
    return best;
}

// The first statement of the line behind the one that was offered last.
std::optional<StatementQueue::Candidate> StatementQueue::firstOf(const Line &line,
                                                                 const Urgency *after,
                                                                 std::uint64_t lastSequence,
                                                                 bool newestFirst)
{
    const auto search = [lastSequence](auto begin, auto end) -> std::optional<Candidate> {
        const auto found = std::find_if(begin, end, [lastSequence](const auto &entry) {
            return entry.first.second <= lastSequence;
        });
        if (found == end)
            return std::nullopt;
        return Candidate{found->first, found->second};
    };
    if (newestFirst) {
        const auto begin = after != nullptr ? line.lower_bound(*after) : line.end();
        return search(std::make_reverse_iterator(begin), line.rend());
    }
    return search(after != nullptr ? line.upper_bound(*after) : line.begin(), line.end());
}

// The statement that has waited longest of those that can be in time.
std::optional<SessionNumber> StatementQueue::oldest(const GroupQueue &queue, const Pass &pass) const
{
    std::optional<Candidate> best;
    for (const std::size_t lane : {0U, 1U}) {
        if (!pass.hasCapacity.at(lane))
            continue;
        for (const auto &[arrival, session] : queue.byArrival.at(lane)) {
            const TeamId &team = this->entries.at(session).statement.team;
            if (pass.blockedTeams.count({team, lane}) != 0 || arrival.second > pass.lastSequence)
                continue;
            if (!best || arrival < best->urgency)
                best = Candidate{arrival, session};
            break;
        }
    }
    return best ? std::optional(best->session) : std::nullopt;
}

} // namespace rhubarbweir
