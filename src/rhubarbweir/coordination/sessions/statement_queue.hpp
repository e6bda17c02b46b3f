// Order of the statements that wait for a connection to a target.
//
// Without teams, statements are ordered by route priority and arrival, and the newest of a priority
// goes first once its oldest has waited too long (adaptive LIFO). Where callers wait for many times
// the objective, a statement that is past it waits behind all others. With teams, the order is:
// route priority, team priority, the team that was given the least work recently, earliest
// objective. Statements that cannot be in time come after all others. A statement whose caller
// could not use the answer is refused as soon as that is expected, so that the caller can go
// elsewhere. Statements of a transaction that has a connection do not wait here.
#pragma once

#include "rhubarbweir/coordination/sessions/pooler_settings.hpp"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rhubarbweir {

struct WaitingStatement
{
    SessionNumber session = 0;
    GroupId group;
    // Whether only the primary can run it.
    bool needsPrimary = false;
    // Of the route and of the team; 0 is the highest.
    unsigned priority = 0;
    unsigned teamPriority = 0;
    TeamId team;
    TimePoint arrivedAt;
    // An answer is in time before this.
    TimePoint objective;
    // An answer after this is not awaited.
    TimePoint deadline;
};

enum class QueueRefusalReason {
    // It cannot be in time, and a late answer has no value.
    NotInTime,
    // It is not expected to be answered by its deadline.
    NotByDeadline,
    TeamLimit,
    QueueLimit,
};

template<>
struct EnumNames<QueueRefusalReason>
{
    static constexpr std::string_view Names[] = {"not_in_time", "not_by_deadline", "team_limit",
                                                 "queue_limit"};
};

// A statement that was removed from the queue and is to be refused.
struct QueueRefusal
{
    SessionNumber session = 0;
    QueueRefusalReason reason = QueueRefusalReason::NotInTime;
};

struct QueueOffer
{
    // Whether a target of the group may have a connection for a statement now. Asked before each
    // statement that is offered.
    std::function<bool(const GroupId &, bool needsPrimary)> hasCapacity;
    // Whether the statement's team has an idle connection that can run it.
    std::function<bool(const WaitingStatement &)> hasConnection;
    // Offers a waiting statement. It was sent if StatementQueue::taken() was called meanwhile.
    // False if no statement of the same group, need for the primary and team can be sent now.
    std::function<bool(const WaitingStatement &)> offer;
};

class StatementQueue
{
public:
    explicit StatementQueue(const PoolerSettings &poolerSettings);

    // Orders by teams from now on, or by route priority and arrival only.
    void setByTeam(bool orderByTeam, TimePoint now);

    // Adds the statement unless the session has one. Returns the statements, possibly this one,
    // that are to be refused.
    std::vector<QueueRefusal> add(const WaitingStatement &statement, TimePoint now);
    // False if the session has no waiting statement.
    bool remove(SessionNumber session);
    // Removes the statement because it is sent, and learns how fast the queue moves.
    bool taken(SessionNumber session, TimePoint now);

    // Offers the waiting statements in their order. Statements may be added and removed meanwhile.
    void offerAll(TimePoint now, const QueueOffer &hooks);
    void offerGroup(const GroupId &group, TimePoint now, const QueueOffer &hooks);

    // A statement was sent, whether it waited or not: counts as work given to the team.
    void sent(const GroupId &group, bool needsPrimary, const TeamId &team, TimePoint now);
    // A statement was answered after `took`.
    void answered(const GroupId &group, bool needsPrimary, Duration took);

    // From sending a statement to its answer, smoothed; 0 while unknown.
    Duration usualWork(const GroupId &group, bool needsPrimary) const;

    // Moves the statements that can no longer be in time behind the others, and returns those that
    // are to be refused.
    std::vector<QueueRefusal> expire(TimePoint now);
    // When expire() is due.
    TimePoint nextDeadline() const;

    bool isByTeam() const { return this->byTeam; }
    // Whether a statement without a team may wait past its objective, because its caller awaits the
    // answer for much longer. Both times count from its arrival.
    static bool waitsWhenLate(Duration objective, Duration timeout);
    // Whether the limit on all is reached without the late statements, which make room for others.
    bool isFull() const
    {
        return this->entries.size() - this->lateEntries >= this->settings.queueLimit;
    }
    bool contains(SessionNumber session) const { return this->entries.count(session) != 0; }
    bool isWaited(const GroupId &group, bool needsPrimary) const;
    std::size_t size() const { return this->entries.size(); }
    // Statements that wait although they cannot be in time.
    std::size_t lateCount() const { return this->lateEntries; }
    bool empty() const { return this->entries.empty(); }

private:
    // Late statements come last.
    struct Rank
    {
        bool isLate = false;
        unsigned priority = 0;
        unsigned teamPriority = 0;

        friend bool operator<(const Rank &a, const Rank &b)
        {
            return std::tie(a.isLate, a.priority, a.teamPriority)
                   < std::tie(b.isLate, b.priority, b.teamPriority);
        }
    };
    // The objective with teams, otherwise the arrival; then the order of adding.
    using Urgency = std::pair<TimePoint, std::uint64_t>;
    using Line = std::map<Urgency, SessionNumber>;
    // One for statements that any target may run, one for those that need the primary.
    using Lines = std::array<Line, 2>;

    struct Entry
    {
        WaitingStatement statement;
        std::uint64_t sequence = 0;
        bool isLate = false;
        // When its prospects are examined again; never without teams if it may not wait past its
        // objective.
        TimePoint checkAt;
        // When its prospects were last examined, or its arrival.
        TimePoint examinedAt;
    };

    // Learned about the statements of a group, or of one team in it, that need the primary, or
    // those that do not.
    struct Pace
    {
        // Time between two statements that leave the queue while others wait, and from sending a
        // statement to its answer. Moving averages; 0 while unknown.
        Duration interval{0};
        Duration work{0};
        std::size_t waiting = 0;
        // When the first one was added to the empty queue, or when the first one left after an
        // interruption, if that is later.
        TimePoint waitingSince;
        // When the last one left the queue, or `waitingSince` if that is later.
        TimePoint movedAt;

        void added(TimePoint now);
        void taken(TimePoint now);
    };

    struct TeamState
    {
        // Work given to the team, in seconds as of a time; halves every WorkHalfLife.
        double givenWork = 0;
        TimePoint givenAsOf;
        std::array<Pace, 2> paces;
    };

    // Number of statements that are expected to be sent before another one: of its team, and of
    // all.
    struct Ahead
    {
        std::size_t own = 0;
        std::size_t all = 0;
    };

    struct GroupQueue
    {
        std::map<Rank, std::map<TeamId, Lines>> ranks;
        // Statements that can be in time, by arrival.
        Lines byArrival;
        std::array<Pace, 2> paces;
        // Teams with waiting statements or with work given recently.
        std::map<TeamId, TeamState> teams;
        // Statements taken in order since the oldest was last preferred.
        unsigned takenInOrder = 0;

        const Pace &paceOf(const WaitingStatement &statement) const
        {
            return this->paces.at(laneOf(statement));
        }
    };

    // Whether the newest of a priority goes first; decided once for a pass over the queue.
    using NewestFirst = std::map<unsigned, bool>;

    // What a pass over a group has found out.
    struct Pass
    {
        // Statements that are added meanwhile are not offered, so that the pass ends.
        std::uint64_t lastSequence = 0;
        std::array<bool, 2> hasCapacity{};
        std::set<std::pair<TeamId, std::size_t>> blockedTeams;
        // The last statement of each line that was offered and is still waiting.
        std::map<std::tuple<Rank, TeamId, std::size_t>, Urgency> offered;
        // The oldest statement was offered and could not be sent.
        bool oldestWaits = false;
    };

    struct Candidate
    {
        Urgency urgency;
        SessionNumber session = 0;
    };

    // Index into Lines and paces.
    static std::size_t laneOf(const WaitingStatement &statement) { return statement.needsPrimary; }
    Rank rankOf(const Entry &entry) const;
    Urgency urgencyOf(const Entry &entry) const;
    void insert(const Entry &entry);
    void erase(const Entry &entry);
    void countAdded(const WaitingStatement &statement, TimePoint now);
    void countRemoved(const WaitingStatement &statement);
    std::optional<QueueRefusalReason> place(Entry &entry, TimePoint now, bool isNew);
    std::optional<QueueRefusalReason> placeWithoutTeams(Entry &entry, TimePoint now);
    std::optional<QueueRefusalReason> placeLate(Entry &entry, TimePoint now);
    Duration expectedWait(const Entry &entry) const;
    Ahead ahead(const Entry &entry) const;
    std::optional<QueueRefusal> shed(const TeamId &newcomer);
    bool takesNewestFirst(unsigned priority, NewestFirst &decided, TimePoint now) const;
    void offerIn(const GroupId &group, TimePoint now, const QueueOffer &hooks,
                 NewestFirst &decided);
    std::optional<SessionNumber> next(const GroupQueue &queue, Pass &pass, NewestFirst &decided,
                                      const QueueOffer &hooks, TimePoint now) const;
    std::optional<SessionNumber> oldest(const GroupQueue &queue, const Pass &pass) const;
    static std::optional<Candidate> first(const Rank &rank, const TeamId &team, const Lines &lines,
                                          const Pass &pass, bool newestFirst);
    static std::optional<Candidate> firstOf(const Line &line, const Urgency *after,
                                            std::uint64_t lastSequence, bool newestFirst);
    static double givenWork(const GroupQueue &queue, const TeamId &team, TimePoint now);

    const PoolerSettings &settings;
    bool byTeam = false;
    std::uint64_t lastSequence = 0;
    std::unordered_map<SessionNumber, Entry> entries;
    // Number of entries with Entry::isLate.
    std::size_t lateEntries = 0;
    // A group stays when its queue is empty, since its paces are still needed.
    std::map<GroupId, GroupQueue> groups;
    // Only teams with waiting statements.
    std::map<TeamId, std::size_t> waitingByTeam;
    // Without teams: route priority and urgency of every statement that is not late.
    std::set<std::pair<unsigned, Urgency>> arrivals;
    // When each statement is examined.
    std::set<std::pair<TimePoint, SessionNumber>> checks;
};

} // namespace rhubarbweir
