// A small stand-in database: terms, a replicated log, asynchronous replicas, transactions,
// slots and connections. Pure logic: the caller hands in messages and the time.
#pragma once

#include "programs/standin/apply_lag.hpp"
#include "programs/standin/replicated_log.hpp"
#include "programs/standin/replication.hpp"
#include "programs/standin/usage.hpp"
#include "rhubarbweir/protocol/message.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbweir {

struct DatabaseSettings
{
    TargetId target;
    GroupId group;
    UsageLimits limits;
    // Connections above this are refused.
    std::uint32_t hardConnectionLimit = 1000;
    // Mean time that a statement runs.
    Duration serviceTime = std::chrono::milliseconds(2);
    bool exponentialService = false;
    // Time from OpenConnection to ConnectionOpened.
    Duration connectionSetup = std::chrono::milliseconds(10);
    // Longest time that a read waits for its least position.
    Duration behindWait = std::chrono::milliseconds(20);
    // Network delay of a replication message.
    Duration replicationDelay = std::chrono::milliseconds(2);
    ApplyLagSettings applyLag;
    std::uint64_t seed = 1;
};

// What a database has to keep across a restart of its process, in order.
struct JournalRecord
{
    // Set when the adopted term changed.
    std::optional<std::uint64_t> adoptedTerm;
    // Set when the log was cut after this position.
    std::optional<std::uint64_t> truncatedAfter;
    std::optional<LogEntry> appended;
};

struct DatabaseHooks
{
    // To the connection of a proxy.
    std::function<void(std::uint64_t connection, const Message &)> send;
    // To another database of the group; may be lost.
    std::function<void(const TargetId &, const Message &)> sendToMember;
    std::function<void(const JournalRecord &)> persist;
};

class Database
{
public:
    Database(DatabaseSettings databaseSettings, DatabaseHooks databaseHooks);

    // Restores one record of the journal; call before anything else.
    void restore(const JournalRecord &record);

    // Connections are numbered by the caller.
    void receive(std::uint64_t connection, const OpenConnection &open, TimePoint now);
    void receive(std::uint64_t connection, const Statement &statement, TimePoint now);
    void connectionClosed(std::uint64_t connection);

    TargetFenced receive(const FenceTarget &fence, TimePoint now);
    TargetPromoted receive(const PromoteTarget &promote, TimePoint now);
    void receive(const FollowPrimary &follow, TimePoint now);

    void receive(const ReplicateEntries &entries, TimePoint now);
    void receive(const ReplicateAnswer &answer, TimePoint now);

    // There is a new connection to another database of the group.
    void memberConnected(const TargetId &member, TimePoint now);

    // Runs everything that is due.
    void advance(TimePoint now);
    // When advance() has something to do; TimePoint::max() when nothing is planned.
    TimePoint nextDeadline() const;

    TargetStatus status(std::uint64_t probeId = 0) const;
    const Usage &usage() const { return this->use; }
    const ReplicatedLog &log() const { return this->replicated; }
    bool isPrimary() const { return this->role == TargetRole::Primary; }
    std::uint64_t adoptedTerm() const { return this->term; }
    // Statements that reached a connection whose open transaction was another's.
    std::uint64_t mixedTransactions() const { return this->mixed; }
    // Numbers of the connections that a change of the status is pushed on: one of each holder.
    std::vector<std::uint64_t> statusConnections() const;

private:
    // Statements of one open transaction; they run at its commit.
    struct Transaction
    {
        RequestKey begin;
        std::vector<Statement> statements;
    };

    struct Connection
    {
        InstanceId holder;
        std::uint64_t generation = 0;
        bool opened = false;
        // Closed by the other side while statements still run.
        bool closed = false;
        std::uint32_t running = 0;
        std::optional<Transaction> transaction;
    };

    struct Running
    {
        std::uint64_t connection = 0;
        Statement statement;
        // Whether it holds a slot of its own; statements of a transaction use the transaction's.
        bool ownsSlot = true;
    };

    // A read whose least position is not applied yet.
    struct WaitingRead
    {
        Running read;
        TimePoint giveUpAt;
    };

    // What statements make of the applied state.
    struct Evaluation
    {
        bool valid = true;
        std::vector<KeyChange> changes;
    };

    StatementResult check(const Connection &connection, const Statement &statement) const;
    void start(const Running &entry, TimePoint now);
    void finish(const Running &entry);
    void run(Connection &connection, const Statement &statement, StatementReply &reply);
    void read(const Connection &connection, const Statement &statement,
              StatementReply &reply) const;
    void write(Connection &connection, const Statement &statement, StatementReply &reply);
    void commit(Connection &connection, const Statement &statement, StatementReply &reply);
    void askOutcome(const Statement &statement, StatementReply &reply);
    // Fills in the first result of a request that is in the log; false when it is not.
    bool answerFromLog(const RequestKey &request, StatementReply &reply) const;
    Evaluation evaluate(const std::vector<Statement> &statements) const;
    std::string valueIn(const Evaluation &evaluation, const std::string &key) const;

    void sendReply(std::uint64_t connection, const Statement &statement, StatementReply reply);
    void refuse(std::uint64_t connection, const Statement &statement, StatementResult result);
    void release(std::uint64_t connection, const Running &entry);
    void endTransaction(Connection &connection);
    void forgetIfGone(std::uint64_t connection);

    void adopt(std::uint64_t newTerm);
    LogPosition append(LogEntryKind kind, std::vector<RequestKey> requests,
                       std::vector<KeyChange> changes);
    void accept(const ReplicateEntries &message, TimePoint now);
    void noteReceived(const ExtendResult &result, TimePoint now);
    void applyDue(TimePoint now);
    void retryWaitingReads(TimePoint now);
    void replicate(TimePoint now);
    Duration drawServiceTime();

    DatabaseSettings settings;
    DatabaseHooks hooks;
    std::mt19937_64 random;
    ApplyLag applyLag;
    Usage use;
    ReplicatedLog replicated;
    ReplicaProgress progress;

    // Never decreases.
    std::uint64_t term = 0;
    TargetRole role = TargetRole::Replica;
    std::uint64_t mixed = 0;

    // A connection stays until it is closed and nothing runs on it.
    std::map<std::uint64_t, Connection> connections;
    std::multimap<TimePoint, std::uint64_t> openings;
    std::multimap<TimePoint, Running> running;
    std::deque<WaitingRead> waiting;
    // Replication messages under way, in order of arrival.
    std::deque<std::pair<TimePoint, ReplicateEntries>> arriving;
    // When each entry after the applied one was received, in order.
    std::deque<TimePoint> receivedAt;
    // When the first of them is due under the current lag.
    TimePoint nextApplyAt{};
};

} // namespace rhubarbweir
