// Test fixture: a SessionPooler in virtual time with fake targets of one group and scripted
// callers.
#pragma once

#include "rhubarbweir/coordination/sessions/session_pooler.hpp"

#include <absl/strings/str_cat.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbweir::fakes {

using std::chrono::milliseconds;

// A command that a target received on one connection.
struct SentCommand
{
    ConnectionId connection = 0;
    TargetId target;
    TargetCommand command;
    TimePoint at;
};

class PoolerFixture
{
public:
    static inline const GroupId Group{"g"};
    static inline const TargetId Primary{"t1"};
    static inline const TargetId ReplicaA{"t2"};
    static inline const TargetId ReplicaB{"t3"};

    explicit PoolerFixture(std::optional<Duration> revokeWithin = std::nullopt,
                           bool limitsTeams = false,
                           const std::function<void(PoolerSettings &)> &adjust = {})
        : pooler(makeSettings(revokeWithin, limitsTeams, adjust), this->makeHooks())
    {
        this->view.revision = 1;
        for (const TargetId &id : {Primary, ReplicaA, ReplicaB}) {
            RegisteredTarget target;
            target.target = id;
            target.group = Group;
            target.address = id.value + ":1";
            target.failureDomain = FailureDomainId("d-" + id.value);
            target.reportsPrimary = id == Primary;
            this->view.targets.push_back(target);
            this->positions[id] = LogPosition{1, 10};
        }
        this->view.authorities = {authority(1, Primary)};
        this->pooler.routesReceived(routes(1), this->now);
        this->pooler.viewReceived(this->view, this->now);
        this->extendLease(milliseconds(4000));
    }

    static PrimaryAuthority authority(std::uint64_t generation, const TargetId &primary)
    {
        PrimaryAuthority given;
        given.group = Group;
        given.generation = generation;
        given.primary = primary;
        return given;
    }

    static RouteTable routes(std::uint64_t version)
    {
        RouteTable table;
        table.version = version;
        table.groups[Group].maxConnections = 40;
        const auto add = [&table](const std::string &name, RouteConsistency consistency) {
            Route route;
            route.database = name;
            route.group = Group;
            route.consistency = consistency;
            route.timeout = milliseconds(1000);
            route.latencyObjective = milliseconds(400);
            route.maxAge = milliseconds(1500);
            table.routes[name] = route;
        };
        add("latest", RouteConsistency::Primary);
        add("bounded", RouteConsistency::BoundedAge);
        add("session", RouteConsistency::ReadYourWrites);
        return table;
    }

    void extendLease(Duration length)
    {
        this->pooler.leaseReceived(this->now + length, 1, 0, this->now);
    }

    // Delivers a newer view with the given authority.
    void changeAuthority(std::uint64_t generation, const TargetId &primary)
    {
        ++this->view.revision;
        this->view.authorities = {authority(generation, primary)};
        this->pooler.viewReceived(this->view, this->now);
    }

    SessionNumber open(const std::string &database, const KeyDigest &key = {})
    {
        const SessionNumber number = ++this->lastSession;
        this->lastOpening = this->pooler.sessionOpened(number, database, key, this->now);
        return this->lastOpening == SessionOpening::Opened ? number : 0;
    }

    void submit(SessionNumber session, TextStatementKind kind, const std::string &id,
                const std::string &name = "", const std::string &argument = "",
                bool readOnly = false)
    {
        TextStatement statement;
        statement.id = id;
        statement.kind = kind;
        statement.name = name;
        statement.argument = argument;
        statement.readOnly = readOnly;
        statement.text = absl::StrCat(std::string(nameOf(kind)), " ", id);
        this->pooler.statement(session, statement, this->now);
    }

    void advance(Duration time)
    {
        const TimePoint end = this->now + time;
        while (this->now < end) {
            this->now = std::min(end, this->now + milliseconds(5));
            this->pooler.advance(this->now);
        }
    }

    // Completes every connection attempt successfully.
    void openConnections()
    {
        while (!this->opening.empty()) {
            const auto [connection, target] = this->opening.front();
            this->opening.pop_front();
            this->pooler.targetOpened(connection, this->positions[target], this->now);
        }
    }

    // Opens connections to all targets and obtains a fresh position of the primary.
    void warmUp()
    {
        this->advance(milliseconds(200));
        this->openConnections();
        const SessionNumber session = this->open("latest");
        this->submit(session, TextStatementKind::Read, "warm");
        this->answerAll();
        this->pooler.sessionClosed(session, this->now);
        this->answers.clear();
        this->sent.clear();
    }

    // Answers the oldest unanswered command.
    void answerNext(std::optional<StatementFault> fault = std::nullopt)
    {
        const SentCommand next = this->unanswered.front();
        this->unanswered.pop_front();
        this->answer(next, fault);
    }

    void answerAll()
    {
        this->openConnections();
        while (!this->unanswered.empty()) {
            this->answerNext();
            this->openConnections();
        }
    }

    void answer(const SentCommand &command, std::optional<StatementFault> fault)
    {
        StatementAnswer answer;
        answer.fault = fault;
        bool &isOpen = this->inTransaction[command.connection];
        const TargetCommandKind kind = command.command.kind;
        const bool begins =
            kind == TargetCommandKind::Begin || kind == TargetCommandKind::BeginReadOnly;
        if (begins && !fault)
            isOpen = true;
        const bool ends =
            kind == TargetCommandKind::Rollback || command.command.text.rfind("commit", 0) == 0;
        if (ends && !fault)
            isOpen = false;
        answer.state = isOpen ? TransactionState::Open : TransactionState::None;
        answer.signature = "s-" + command.target.value;
        answer.position = this->positions[command.target];
        this->pooler.targetAnswered(command.connection, answer, this->now);
    }

    void closeConnection(ConnectionId connection, TargetFailure failure = TargetFailure::Reset)
    {
        this->removeConnection(connection);
        this->pooler.targetClosed(connection, failure, this->now);
    }

    // Commands sent for callers' statements, in order.
    std::vector<SentCommand> statements() const
    {
        std::vector<SentCommand> found;
        for (const SentCommand &each : this->sent) {
            if (!each.command.id.empty())
                found.push_back(each);
        }
        return found;
    }

    const StatementAnswer &lastAnswer(SessionNumber session) const
    {
        return this->answers.at(session).back();
    }
    std::size_t answerCount(SessionNumber session) const
    {
        const auto found = this->answers.find(session);
        return found == this->answers.end() ? 0 : found->second.size();
    }

    TimePoint now = TimePoint(std::chrono::seconds(1000));
    FleetView view;
    std::map<TargetId, LogPosition> positions;
    std::deque<std::pair<ConnectionId, TargetId>> opening;
    std::vector<SentCommand> sent;
    std::deque<SentCommand> unanswered;
    std::map<SessionNumber, std::vector<StatementAnswer>> answers;
    std::set<SessionNumber> closedSessions;
    std::map<ConnectionId, TargetId> targetOf;
    std::map<ConnectionId, TeamId> teamOf;
    SessionOpening lastOpening = SessionOpening::Opened;
    std::set<ConnectionId> closedConnections;
    std::map<std::string, std::size_t> eventCounts;
    std::map<ConnectionId, bool> inTransaction;
    SessionNumber lastSession = 0;
    // Calls of PoolerHooks::tokensNeeded.
    std::size_t tokenRequests = 0;
    // Called for every command sent, before it is recorded.
    std::function<void(const SentCommand &)> onSent;
    SessionPooler pooler;

private:
    static PoolerSettings makeSettings(std::optional<Duration> revokeWithin, bool limitsTeams,
                                       const std::function<void(PoolerSettings &)> &adjust)
    {
        PoolerSettings settings;
        settings.limitsTeams = limitsTeams;
        settings.revokeWithin = revokeWithin;
        settings.failureDomain = FailureDomainId("d-t2");
        if (adjust)
            adjust(settings);
        return settings;
    }

    void removeConnection(ConnectionId connection)
    {
        this->closedConnections.insert(connection);
        for (auto entry = this->unanswered.begin(); entry != this->unanswered.end();)
            entry = entry->connection == connection ? this->unanswered.erase(entry) : entry + 1;
        for (auto entry = this->opening.begin(); entry != this->opening.end();)
            entry = entry->first == connection ? this->opening.erase(entry) : entry + 1;
    }

    PoolerHooks makeHooks()
    {
        PoolerHooks hooks;
        hooks.answer = [this](SessionNumber session, const StatementAnswer &answer) {
            this->answers[session].push_back(answer);
        };
        hooks.closeSession = [this](SessionNumber session) {
            this->closedSessions.insert(session);
        };
        hooks.stateChanged = [](SessionNumber, std::size_t) {
        };
        hooks.openTarget = [this](ConnectionId connection, const RegisteredTarget &target,
                                  const TeamId &team) {
            this->opening.emplace_back(connection, target.target);
            this->teamOf[connection] = team;
            this->targetOf[connection] = target.target;
        };
        hooks.heldConnections = [](const GroupId &, const TeamId &) {
            return std::nullopt;
        };
        hooks.sendToTarget = [this](ConnectionId connection,
                                    const std::vector<TargetCommand> &commands) {
            for (const TargetCommand &command : commands) {
                const SentCommand each{connection, this->targetOf[connection], command, this->now};
                if (this->onSent)
                    this->onSent(each);
                this->sent.push_back(each);
                this->unanswered.push_back(each);
            }
        };
        hooks.closeTarget = [this](ConnectionId connection) {
            this->removeConnection(connection);
        };
        hooks.observationsChanged = [] {
        };
        hooks.tokensNeeded = [this] {
            ++this->tokenRequests;
        };
        hooks.finished = [](RouteConsistency, std::optional<StatementFault>, Duration) {
        };
        hooks.event = [this](std::string_view event, const PoolerEventFields &, bool) {
            ++this->eventCounts[std::string(event)];
        };
        return hooks;
    }
};

} // namespace rhubarbweir::fakes
