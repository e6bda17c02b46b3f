// Tests of sessions that are served by another pooler: choice of the holder, and both sides of a
// relayed session under lost links.
#include "rhubarbweir/coordination/sessions/holder_table.hpp"
#include "rhubarbweir/coordination/sessions/relay_entry.hpp"
#include "rhubarbweir/coordination/sessions/relay_holder.hpp"

#include <absl/strings/str_cat.h>
#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace rhubarbweir;
using std::chrono::milliseconds;

namespace {

const GroupId Group("g");
constexpr std::uint32_t Reserved = 4;

RouteTable tableWith(std::uint32_t maxConnections, std::size_t teams = 0)
{
    RouteTable table;
    table.version = 1;
    table.groups[Group].maxConnections = maxConnections;
    table.hasTeams = teams > 0;
    for (std::size_t index = 0; index < teams; ++index) {
        Team team;
        team.limit = TeamLimit{index == 0 ? 600.0 : 6.0, 6.0};
        table.teams[TeamId(absl::StrCat("team", index))] = team;
    }
    return table;
}

PoolerPeers peersOf(std::uint32_t count, std::uint32_t domains)
{
    PoolerPeers peers;
    peers.version = 1;
    peers.failureDomains = domains;
    for (std::uint32_t index = 0; index < count; ++index)
        peers.peers.push_back(
            {InstanceId(absl::StrCat("p", index)), absl::StrCat("10.0.0.", index)});
    return peers;
}

// Name of the pooler that serves the sessions of a pooler.
std::string holderOf(const std::string &self, const RouteTable &table, const TeamId &team,
                     const PoolerPeers &peers, std::uint32_t poolers,
                     const InstanceId &unreachable = {})
{
    HolderTable holders(InstanceId(self), Reserved);
    holders.setPeers(peers);
    const TimePoint now{};
    if (!unreachable.empty())
        holders.markUnreachable(unreachable, now + milliseconds(1));
    const PoolerPeer *holder = holders.holder(table, Group, team, poolers, now);
    return holder == nullptr ? self : holder->instance.value;
}

// Scarce connections of 8 groups.
RouteTable eightGroups(std::uint32_t maxConnections, std::size_t teams)
{
    RouteTable table = tableWith(maxConnections, teams);
    table.groups.clear();
    for (int index = 0; index < 8; ++index)
        table.groups[GroupId(absl::StrCat("g", index))].maxConnections = maxConnections;
    return table;
}

void setEqualLimits(RouteTable &table)
{
    for (auto &[id, team] : table.teams)
        team.limit = TeamLimit{6.0, 6.0};
}

// The largest team has more than a quarter of the load, half of the teams a hundredth of that.
void setSpreadLimits(RouteTable &table)
{
    int rank = 0;
    for (auto &[id, team] : table.teams)
        team.limit = TeamLimit{std::max(5.0, 599 / std::pow(++rank, 1.2)), 6.0};
}

PoolerPeers randomPeers(std::mt19937 &random, std::uint32_t count, std::uint32_t domains)
{
    PoolerPeers peers = peersOf(count, domains);
    for (PoolerPeer &peer : peers.peers)
        peer.instance = InstanceId(absl::StrCat("pooler-", random()));
    return peers;
}

PoolerPeers without(PoolerPeers peers, std::size_t index)
{
    ++peers.version;
    peers.peers.erase(peers.peers.begin() + static_cast<std::ptrdiff_t>(index));
    return peers;
}

// Names of the holders of all groups and teams, as one pooler chooses them.
using Placement = std::map<std::pair<GroupId, TeamId>, std::string>;

Placement placementOf(const InstanceId &self, const RouteTable &table, const PoolerPeers &peers,
                      std::uint32_t poolers)
{
    HolderTable holders(self, Reserved);
    holders.setPeers(peers);
    Placement placement;
    const auto place = [&](const GroupId &group, const TeamId &team) {
        const PoolerPeer *holder = holders.holder(table, group, team, poolers, TimePoint{});
        placement[{group, team}] = holder == nullptr ? self.value : holder->instance.value;
    };
    for (const auto &[group, limits] : table.groups) {
        if (!table.hasTeams)
            place(group, {});
        for (const auto &[team, settings] : table.teams)
            place(group, team);
    }
    return placement;
}

std::map<std::string, std::size_t> countByHolder(const Placement &placement)
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[pair, holder] : placement)
        ++counts[holder];
    return counts;
}

std::size_t largestCount(const Placement &placement)
{
    std::size_t largest = 0;
    for (const auto &[holder, count] : countByHolder(placement))
        largest = std::max(largest, count);
    return largest;
}

// Pairs that changed their holder, of those that `lost` does not hold in the first placement.
std::size_t movedCount(const Placement &before, const Placement &after, const InstanceId &lost)
{
    return static_cast<std::size_t>(
        std::count_if(before.begin(), before.end(), [&](const auto &entry) {
            return entry.second != lost.value && entry.second != after.at(entry.first);
        }));
}

constexpr int NameSets = 100;

TextStatement statementOf(TextStatementKind kind, const std::string &id)
{
    TextStatement statement;
    statement.kind = kind;
    statement.id = id;
    return statement;
}

} // namespace

Test(session_relay, every_pooler_serves_its_own_sessions_where_connections_suffice)
{
    const RouteTable table = tableWith(40);
    for (int index = 0; index < 10; ++index) {
        const std::string self = absl::StrCat("p", index);
        cr_assert_eq(holderOf(self, table, {}, peersOf(10, 3), 30), self);
    }
    HolderTable holders(InstanceId("p0"), Reserved);
    holders.setPeers(peersOf(10, 3));
    cr_assert(!holders.connections(table, Group, {}, 30));
}

Test(session_relay, shares_of_all_holders_stay_within_the_limit_of_a_target)
{
    for (const std::uint32_t limit : {46U, 68U, 98U, 173U}) {
        for (const std::uint32_t domains : {3U, 4U, 6U}) {
            const std::uint32_t poolers = 300;
            const std::uint32_t inDomain = poolers / domains;
            const RouteTable table = tableWith(limit);
            const PoolerPeers peers = peersOf(inDomain, domains);
            std::set<std::string> used;
            for (const PoolerPeer &peer : peers.peers)
                used.insert(holderOf(peer.instance.value, table, {}, peers, poolers));
            HolderTable holders(InstanceId("p0"), Reserved);
            holders.setPeers(peers);
            const std::uint32_t share = *holders.connections(table, Group, {}, poolers);
            cr_assert_leq(used.size() * domains * share, limit - Reserved);
        }
    }
}

Test(session_relay, poolers_of_a_domain_agree_on_the_holder_of_a_team)
{
    const RouteTable table = tableWith(111, 77);
    const PoolerPeers peers = peersOf(38, 3);
    std::set<std::string> allHolders;
    for (int team = 0; team < 77; ++team) {
        std::set<std::string> used;
        for (const PoolerPeer &peer : peers.peers)
            used.insert(holderOf(peer.instance.value, table, TeamId(absl::StrCat("team", team)),
                                 peers, 114));
        cr_assert_eq(used.size(), 1);
        allHolders.insert(*used.begin());
    }
    // Otherwise a few poolers would carry the load of the domain.
    cr_assert_geq(allHolders.size(), 25);
}

// Guards against a placement of all teams in a fleet where it would take seconds: teams are then
// spread by score alone, on which all poolers agree as well.
Test(session_relay, teams_of_a_large_fleet_are_spread_by_score)
{
    RouteTable table = eightGroups(111, 200);
    const PoolerPeers peers = peersOf(100, 3);
    const Placement first = placementOf(InstanceId("p1"), table, peers, 300);
    const Placement other = placementOf(InstanceId("p2"), table, peers, 300);
    cr_assert(first == other);
    std::map<std::string, std::size_t> pairs;
    for (const auto &[pair, holder] : first)
        ++pairs[holder];
    cr_assert_eq(pairs.size(), 100);
    for (const auto &[holder, count] : pairs)
        cr_assert_leq(count, 2 * first.size() / 100);
    std::size_t moved = 0;
    for (const auto &[pair, holder] : placementOf(InstanceId("p1"), table, without(peers, 7), 300))
        moved += holder != first.at(pair) && first.at(pair) != "p7" ? 1 : 0;
    cr_assert_eq(moved, 0);
}

Test(session_relay, an_unreachable_holder_moves_no_other_sessions)
{
    const RouteTable table = tableWith(111, 77);
    const PoolerPeers peers = peersOf(38, 3);
    const std::string lost = holderOf("p1", table, TeamId("team5"), peers, 114);
    for (int index = 0; index < 77; ++index) {
        const TeamId team(absl::StrCat("team", index));
        const std::string before = holderOf("p1", table, team, peers, 114);
        const std::string after = holderOf("p1", table, team, peers, 114, InstanceId(lost));
        if (before == lost && lost != "p1")
            cr_assert_neq(after, lost);
        else
            cr_assert_eq(after, before);
    }
}

// Guards against a pooler with several groups beside others with none: it is late with all of them.
Test(session_relay, groups_are_spread_evenly_over_the_poolers_of_a_domain)
{
    std::mt19937 random(1);
    const RouteTable table = eightGroups(46, 0);
    for (int set = 0; set < NameSets; ++set) {
        for (const std::uint32_t inDomain : {12U, 12U, 12U, 12U, 11U, 11U}) {
            const PoolerPeers peers = randomPeers(random, inDomain, 6);
            cr_assert_leq(largestCount(placementOf(peers.peers[0].instance, table, peers, 70)), 1);
        }
    }
}

// Guards against the same where each team has a holder: 616 pairs on 38 poolers.
Test(session_relay, teams_are_spread_evenly_over_the_poolers_of_a_domain)
{
    std::mt19937 random(2);
    RouteTable table = eightGroups(111, 77);
    setEqualLimits(table);
    for (int set = 0; set < NameSets; ++set) {
        const PoolerPeers peers = randomPeers(random, 38, 3);
        cr_assert_leq(largestCount(placementOf(peers.peers[0].instance, table, peers, 114)), 17);
    }
}

// Guards against equal numbers of pairs where one team has more than half of the load: the poolers
// that hold it would be late for other teams.
Test(session_relay, holders_of_a_team_with_a_high_limit_hold_no_other_team)
{
    std::mt19937 random(3);
    const RouteTable table = eightGroups(111, 77);
    for (int set = 0; set < NameSets; ++set) {
        const PoolerPeers peers = randomPeers(random, 38, 3);
        const Placement placement = placementOf(peers.peers[0].instance, table, peers, 114);
        const auto counts = countByHolder(placement);
        for (const auto &[pair, holder] : placement) {
            if (pair.second == TeamId("team0"))
                cr_assert_eq(counts.at(holder), 1);
        }
        // 608 pairs of the other teams on 30 poolers.
        cr_assert_leq(largestCount(placement), 21);
    }
}

// Guards against a lost pooler that moves sessions of other holders: moved sessions are closed.
Test(session_relay, a_pooler_that_leaves_moves_at_most_a_quarter_of_the_other_teams)
{
    std::mt19937 random(4);
    RouteTable table = eightGroups(111, 77);
    for (int set = 0; set < NameSets; ++set) {
        if (set % 2 == 0)
            setEqualLimits(table);
        else
            setSpreadLimits(table);
        const PoolerPeers peers = randomPeers(random, 38, 3);
        const InstanceId self = peers.peers[0].instance;
        const Placement before = placementOf(self, table, peers, 114);
        for (std::size_t leaving = 1 + random() % 4; leaving < 38; leaving += 4) {
            const InstanceId lost = peers.peers[leaving].instance;
            const Placement after = placementOf(self, table, without(peers, leaving), 113);
            const std::size_t others = before.size() - countByHolder(before)[lost.value];
            cr_assert_leq(movedCount(before, after, lost) * 4, others);
        }
    }
}

// Guards against the same without teams. With one group a pooler, a single loss may move up to
// three of seven groups, so the bound holds for all losses together and for 95 in 100 alone.
Test(session_relay, a_pooler_that_leaves_moves_at_most_a_quarter_of_the_other_groups)
{
    std::mt19937 random(5);
    const RouteTable table = eightGroups(46, 0);
    std::size_t moved = 0;
    std::size_t others = 0;
    std::size_t losses = 0;
    std::size_t lossesAboveQuarter = 0;
    for (int set = 0; set < NameSets; ++set) {
        const PoolerPeers peers = randomPeers(random, 11 + set % 2, 6);
        const InstanceId self = peers.peers[0].instance;
        const Placement before = placementOf(self, table, peers, 70);
        for (std::size_t leaving = 1; leaving < peers.peers.size(); ++leaving) {
            const InstanceId lost = peers.peers[leaving].instance;
            const Placement after = placementOf(self, table, without(peers, leaving), 69);
            const std::size_t rest = before.size() - countByHolder(before)[lost.value];
            const std::size_t movedNow = movedCount(before, after, lost);
            moved += movedNow;
            others += rest;
            ++losses;
            lossesAboveQuarter += movedNow * 4 > rest ? 1 : 0;
        }
    }
    cr_assert_leq(moved * 4, others);
    cr_assert_leq(lossesAboveQuarter * 20, losses);
}

// Guards against poolers that relay to each other in vain while their lists differ or are ordered
// differently.
Test(session_relay, poolers_whose_lists_differ_by_one_agree_on_most_holders)
{
    std::mt19937 random(6);
    for (int set = 0; set < NameSets; ++set) {
        const bool hasTeams = set % 2 == 0;
        const RouteTable table = hasTeams ? eightGroups(111, 77) : eightGroups(46, 0);
        PoolerPeers peers = randomPeers(random, hasTeams ? 38 : 11, hasTeams ? 3 : 6);
        const InstanceId self = peers.peers[0].instance;
        const InstanceId other = peers.peers[1].instance;
        const Placement own = placementOf(self, table, peers, 114);
        const Placement later = placementOf(other, table, without(peers, 2), 114);
        cr_assert_leq(movedCount(own, later, {}) * 2, own.size());
        std::shuffle(peers.peers.begin(), peers.peers.end(), random);
        cr_assert(placementOf(other, table, peers, 114) == own);
        // A pooler that is not listed yet goes by the list as well.
        cr_assert(placementOf(InstanceId("new"), table, peers, 114) == own);
    }
}

namespace {

// An entry whose messages are recorded.
class EntryFixture
{
public:
    EntryFixture()
        : entry(1000, this->makeHooks())
    {
    }

    RelayEntryHooks makeHooks()
    {
        RelayEntryHooks hooks;
        hooks.send = [this](const PoolerPeer &to, const RelayMessage &message) {
            this->sent.emplace_back(to.instance, message);
        };
        hooks.drop = [this](const InstanceId &peer) {
            this->dropped.insert(peer);
        };
        hooks.answer = [this](SessionNumber, const StatementAnswer &answer) {
            this->answers.push_back(answer);
        };
        hooks.closeSession = [this](SessionNumber session) {
            this->closed.insert(session);
        };
        hooks.bindElsewhere = [this](const RelayedSession &,
                                     const std::vector<TextStatement> &statements, bool) {
            this->returned = statements;
        };
        hooks.unreachable = [this](const InstanceId &peer, TimePoint) {
            this->unreachable.insert(peer);
        };
        hooks.event = [](std::string_view, const PoolerEventFields &) {
        };
        return hooks;
    }

    void open() { this->entry.open({1, "db", {}}, this->holder, this->now); }
    void submit(TextStatementKind kind, const std::string &id)
    {
        this->entry.statement(1, statementOf(kind, id), milliseconds(800), this->now);
    }
    void answer(TransactionState state = TransactionState::None)
    {
        RelayAnswer message;
        message.relay = 1001;
        message.answer.state = state;
        this->entry.answered(this->holder.instance, message, this->now);
    }
    void lose(bool wasConnected)
    {
        this->entry.peerLost(this->holder.instance, wasConnected, this->now);
    }
    void advance(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(50)) {
            this->now += milliseconds(50);
            this->entry.advance(this->now);
        }
    }

    TimePoint now = TimePoint(std::chrono::seconds(1000));
    PoolerPeer holder{InstanceId("h"), "10.0.0.1:1"};
    std::vector<std::pair<InstanceId, RelayMessage>> sent;
    std::set<InstanceId> dropped;
    std::set<InstanceId> unreachable;
    std::vector<StatementAnswer> answers;
    std::set<SessionNumber> closed;
    std::vector<TextStatement> returned;
    RelayEntry entry;
};

} // namespace

Test(session_relay, a_write_on_a_lost_link_is_in_doubt_and_a_read_is_aborted)
{
    EntryFixture write;
    write.open();
    write.submit(TextStatementKind::Write, "w");
    write.lose(true);
    cr_assert_eq(write.answers.size(), 1);
    cr_assert(write.answers[0].fault == StatementFault::InDoubt);
    cr_assert_eq(write.closed.count(1), 1);

    EntryFixture read;
    read.open();
    read.submit(TextStatementKind::Read, "r");
    read.lose(true);
    cr_assert(read.answers.at(0).fault == StatementFault::Aborted);
}

Test(session_relay, nothing_is_promised_for_statements_sent_together_with_a_commit)
{
    EntryFixture fixture;
    fixture.open();
    fixture.submit(TextStatementKind::Begin, "b");
    fixture.answer(TransactionState::Open);
    fixture.submit(TextStatementKind::Write, "w");
    fixture.submit(TextStatementKind::Commit, "c");
    fixture.lose(true);
    cr_assert_eq(fixture.answers.size(), 3);
    cr_assert(fixture.answers[1].fault == StatementFault::InDoubt);
    cr_assert(fixture.answers[2].fault == StatementFault::InDoubt);
}

Test(session_relay, statements_of_a_link_that_never_opened_are_given_to_another_holder)
{
    EntryFixture fixture;
    fixture.open();
    fixture.submit(TextStatementKind::Write, "w");
    fixture.lose(false);
    cr_assert(fixture.answers.empty());
    cr_assert_eq(fixture.returned.size(), 1);
    cr_assert_eq(fixture.returned[0].id, "w");
    cr_assert_eq(fixture.unreachable.count(InstanceId("h")), 1);
}

Test(session_relay, a_session_that_rests_in_a_transaction_is_told_of_the_loss_by_its_next_statement)
{
    EntryFixture fixture;
    fixture.open();
    fixture.submit(TextStatementKind::Begin, "b");
    fixture.answer(TransactionState::Open);
    fixture.lose(true);
    cr_assert(fixture.closed.empty());
    fixture.submit(TextStatementKind::Commit, "c");
    // The commit was never handed over, so the promise is true.
    cr_assert(fixture.answers.back().fault == StatementFault::Aborted);
    cr_assert_eq(fixture.closed.count(1), 1);
}

Test(session_relay, a_holder_that_returns_no_ping_is_dropped_before_the_time_limit_of_the_statement)
{
    EntryFixture fixture;
    fixture.open();
    fixture.submit(TextStatementKind::Read, "r");
    fixture.advance(milliseconds(1250));
    cr_assert_eq(fixture.dropped.count(InstanceId("h")), 1);
    cr_assert(fixture.answers.at(0).fault == StatementFault::Aborted);
}

Test(session_relay, a_holder_that_returns_pings_keeps_a_slow_statement)
{
    EntryFixture fixture;
    fixture.open();
    fixture.submit(TextStatementKind::Read, "r");
    for (int count = 0; count < 12; ++count) {
        fixture.advance(milliseconds(100));
        fixture.entry.ponged(InstanceId("h"), fixture.now);
    }
    cr_assert(fixture.dropped.empty());
    cr_assert(fixture.answers.empty());
    fixture.answer();
    cr_assert(!fixture.answers.at(0).fault);
}

namespace {

// Two holders that run statements, and links that break at any message.
class RelayNetwork
{
public:
    explicit RelayNetwork(unsigned seed)
        : random(seed)
        , entry(1000, this->entryHooks())
    {
        for (int index = 0; index < 2; ++index)
            this->holders.emplace_back(std::make_unique<RelayHolder>(this->holderHooks(index)));
    }

    // Plays statements of a few sessions, then delivers what is left.
    void play()
    {
        for (int step = 0; step < 400; ++step) {
            this->now += milliseconds(this->random() % 30);
            const unsigned action = this->random() % 10;
            if (action < 4)
                this->submit();
            else if (action < 9)
                this->deliver();
            else if (this->random() % 4 == 0)
                this->breakLink(static_cast<int>(this->random() % 2));
            this->entry.advance(this->now);
        }
        while (!this->messages.empty())
            this->deliver();
    }

private:
    struct InFlight
    {
        int holder = 0;
        bool toHolder = false;
        RelayMessage message;
    };

    void submit()
    {
        const SessionNumber session = 1 + this->random() % 4;
        if (this->closed.count(session) != 0) {
            this->closed.erase(session);
            this->awaited[session].clear();
        }
        if (!this->entry.holds(session))
            this->bind({session, "db", {}});
        const bool isWrite = this->random() % 2 == 0;
        const std::string id = absl::StrCat("s", session, "-", ++this->lastStatement);
        this->writes[id] = isWrite;
        this->awaited[session].push_back(id);
        this->entry.statement(
            session, statementOf(isWrite ? TextStatementKind::Write : TextStatementKind::Read, id),
            milliseconds(800), this->now);
    }

    void bind(const RelayedSession &session)
    {
        const int holder = static_cast<int>(this->random() % 2);
        this->entry.open(session, {InstanceId(absl::StrCat("h", holder)), "address"}, this->now);
    }

    void deliver()
    {
        if (this->messages.empty())
            return;
        const InFlight next = this->messages.front();
        this->messages.pop_front();
        const InstanceId entryId("entry");
        const InstanceId holderId(absl::StrCat("h", next.holder));
        RelayHolder &holder = *this->holders.at(static_cast<std::size_t>(next.holder));
        if (const auto *open = std::get_if<RelayOpen>(&next.message))
            holder.open(entryId, *open);
        else if (const auto *statement = std::get_if<RelayStatement>(&next.message))
            holder.statement(entryId, *statement);
        else if (const auto *close = std::get_if<RelayClose>(&next.message))
            holder.close(entryId, *close);
        else if (const auto *answer = std::get_if<RelayAnswer>(&next.message))
            this->entry.answered(holderId, *answer, this->now);
        else if (const auto *ended = std::get_if<RelayEnded>(&next.message))
            this->entry.ended(holderId, *ended, this->now);
    }

    // What is on its way to the holder may still arrive; what comes back is lost.
    void breakLink(int holder)
    {
        std::deque<InFlight> kept;
        const bool losesRequests = this->random() % 2 == 0;
        for (const InFlight &each : this->messages) {
            if (each.holder != holder || (each.toHolder && !losesRequests))
                kept.push_back(each);
        }
        this->messages = std::move(kept);
        this->entry.peerLost(InstanceId(absl::StrCat("h", holder)), true, this->now);
        if (losesRequests)
            this->holders.at(static_cast<std::size_t>(holder))->entryLost(InstanceId("entry"));
    }

    RelayEntryHooks entryHooks()
    {
        RelayEntryHooks hooks;
        hooks.send = [this](const PoolerPeer &holder, const RelayMessage &message) {
            this->messages.push_back({holder.instance.value == "h0" ? 0 : 1, true, message});
        };
        hooks.drop = [this](const InstanceId &holder) {
            const int index = holder.value == "h0" ? 0 : 1;
            this->holders.at(static_cast<std::size_t>(index))->entryLost(InstanceId("entry"));
        };
        hooks.answer = [this](SessionNumber session, const StatementAnswer &answer) {
            this->check(session, answer);
        };
        hooks.closeSession = [this](SessionNumber session) {
            this->closed.insert(session);
        };
        hooks.bindElsewhere = [this](const RelayedSession &session,
                                     std::vector<TextStatement> statements, bool) {
            this->bind(session);
            for (TextStatement &statement : statements)
                this->entry.statement(session.number, std::move(statement), milliseconds(800),
                                      this->now);
        };
        hooks.unreachable = [](const InstanceId &, TimePoint) {
        };
        hooks.event = [](std::string_view, const PoolerEventFields &) {
        };
        return hooks;
    }

    RelayHolderHooks holderHooks(int index)
    {
        RelayHolderHooks hooks;
        hooks.send = [this, index](const InstanceId &, const RelayMessage &message) {
            this->messages.push_back({index, false, message});
        };
        hooks.accepts = [this] {
            return this->random() % 8 != 0;
        };
        hooks.opened = [](SessionNumber, const std::string &, const KeyDigest &) {
            return SessionOpening::Opened;
        };
        hooks.statement = [this, index](SessionNumber session, const TextStatement &statement) {
            cr_assert_eq(++this->runs[statement.id], 1, "%s ran twice", statement.id.c_str());
            cr_assert(this->promised.count(statement.id) == 0 || !this->writes[statement.id],
                      "%s ran after a promise", statement.id.c_str());
            StatementAnswer answer;
            answer.signature = statement.id;
            this->holders.at(static_cast<std::size_t>(index))->answer(session, answer);
        };
        hooks.closed = [](SessionNumber) {
        };
        return hooks;
    }

    void check(SessionNumber session, const StatementAnswer &answer)
    {
        std::deque<std::string> &awaiting = this->awaited[session];
        cr_assert(!awaiting.empty(), "an answer that nobody awaits");
        const std::string id = awaiting.front();
        awaiting.pop_front();
        if (!answer.fault) {
            cr_assert_eq(answer.signature, id, "the answer of another statement");
            return;
        }
        if (*answer.fault == StatementFault::InDoubt)
            return;
        this->promised.insert(id);
        cr_assert(!this->writes[id] || this->runs[id] == 0, "%s ran, but was promised not to",
                  id.c_str());
    }

    std::mt19937 random;
    TimePoint now = TimePoint(std::chrono::seconds(1000));
    std::deque<InFlight> messages;
    std::vector<std::unique_ptr<RelayHolder>> holders;
    std::map<std::string, bool> writes;
    std::map<std::string, int> runs;
    std::set<std::string> promised;
    std::map<SessionNumber, std::deque<std::string>> awaited;
    std::set<SessionNumber> closed;
    int lastStatement = 0;
    RelayEntry entry;
};

} // namespace

Test(session_relay, lost_links_run_nothing_twice_and_break_no_promise)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        RelayNetwork network(seed);
        network.play();
    }
}
