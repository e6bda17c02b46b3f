// A minimal replicated database for tests: terms, a replicated log, asynchronous replicas,
// transactions, slots and connections. Performs no I/O: the caller passes messages and the time.
#pragma once

#include "programs/standin/apply_lag.hpp"
#include "programs/standin/replicated_log.hpp"
#include "programs/standin/replication.hpp"
#include "programs/standin/resource_usage.hpp"
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
    // Connections beyond this number are refused.
    std::uint32_t hardConnectionLimit = 1000;
    // Mean execution time of a statement.
    Duration serviceTime = std::chrono::milliseconds(2);
    // Whether execution times are exponentially distributed instead of constant.
    bool exponentialService = false;
    // Time from OpenConnection to ConnectionOpened.
    Duration connectionSetup = std::chrono::milliseconds(10);
    // Maximum time that a read waits until its minimum position is applied.
    Duration behindWait = std::chrono::milliseconds(20);
    // Delay of each received replication message, which simulates the network.
    Duration replicationDelay = std::chrono::milliseconds(2);
    ApplyLagSettings applyLag;
    std::uint64_t seed = 1;
};

// A change that a database has to persist across a restart of its process. Records are replayed in
// order.
struct JournalRecord
{
    // Set if the adopted term changed.
    std::optional<std::uint64_t> adoptedTerm;
    // Set if the log was truncated after this position.
    std::optional<std::uint64_t> truncatedAfter;
    std::optional<LogEntry> appended;
};

struct DatabaseHooks
{
    // Sends a message on a proxy's connection.
    std::function<void(std::uint64_t connection, const Message &)> send;
    // Sends a message to another database of the group; it may be lost.
    std::function<void(const TargetId &, const Message &)> sendToMember;
    std::function<void(const JournalRecord &)> persist;
};

class Database
{
public:
    Database(DatabaseSettings databaseSettings, DatabaseHooks databaseHooks);

    // Replays a journal record; to be called before any other function.
    void restore(const JournalRecord &record);

    // The caller of these functions assigns the connection numbers.
    void receive(std::uint64_t connection, const OpenConnection &open, TimePoint now);
    void receive(std::uint64_t connection, const Statement &statement, TimePoint now);
    void connectionClosed(std::uint64_t connection);

    TargetFenced receive(const FenceTarget &fence, TimePoint now);
    TargetPromoted receive(const PromoteTarget &promote, TimePoint now);
    void receive(const FollowPrimary &follow, TimePoint now);

    void receive(const ReplicateEntries &entries, TimePoint now);
    void receive(const ReplicateAnswer &answer, TimePoint now);

    // A new connection to another database of the group was established.
    void memberConnected(const TargetId &member, TimePoint now);

    // Performs all work that is due at `now`.
    void advance(TimePoint now);
    // When advance() has to be called next; TimePoint::max() if nothing is scheduled.
    TimePoint nextDeadline() const;

    TargetStatus status(std::uint64_t probeId = 0) const;
    const ResourceUsage &usage() const { return this->resourceUsage; }
    const ReplicatedLog &log() const { return this->replicatedLog; }
    bool isPrimary() const { return this->role == TargetRole::Primary; }
    std::uint64_t adoptedTerm() const { return this->term; }
    // Number of statements received on a connection with a different open transaction.
    std::uint64_t mixedTransactions() const { return this->mixedTransactionCount; }
    // Numbers of the connections on which status changes are pushed: one for each holder.
    std::vector<std::uint64_t> statusConnections() const;

private:
    // An open transaction; its statements take effect at the commit.
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
        // Closed by the peer while statements are still running.
        bool closed = false;
        std::uint32_t running = 0;
        std::optional<Transaction> transaction;
    };

    struct RunningStatement
    {
        std::uint64_t connection = 0;
        Statement statement;
        // Whether it has its own slot; statements of a transaction share the transaction's slot.
        bool ownsSlot = true;
    };

    // A read whose minimum position is not applied yet.
    struct WaitingRead
    {
        RunningStatement read;
        TimePoint giveUpAt;
    };

    // Changes that statements make to the applied state; invalid if an Add meets a non-number.
    struct Evaluation
    {
        bool valid = true;
        std::vector<KeyChange> changes;
    };

    StatementResult validate(const Connection &connection, const Statement &statement) const;
    void start(const RunningStatement &entry, TimePoint now);
    void finish(const RunningStatement &entry);
    void run(Connection &connection, const Statement &statement, StatementReply &reply);
    void read(const Connection &connection, const Statement &statement,
              StatementReply &reply) const;
    void write(Connection &connection, const Statement &statement, StatementReply &reply);
    void commit(Connection &connection, const Statement &statement, StatementReply &reply);
    void askOutcome(const Statement &statement, StatementReply &reply);
    // Fills in the first result of a request that is in the log; returns false if it is not.
    bool answerFromLog(const RequestKey &request, StatementReply &reply) const;
    Evaluation evaluate(const std::vector<Statement> &statements) const;
    std::string valueIn(const Evaluation &evaluation, const std::string &key) const;

    void sendReply(std::uint64_t connection, const Statement &statement, StatementReply reply);
    void refuse(std::uint64_t connection, const Statement &statement, StatementResult result);
    void release(std::uint64_t connection, const RunningStatement &entry);
    void endTransaction(Connection &connection);
    void eraseIfClosed(std::uint64_t connection);

    void adoptTerm(std::uint64_t newTerm);
    LogPosition append(LogEntryKind kind, std::vector<RequestKey> requests,
                       std::vector<KeyChange> changes);
    void appendFromPrimary(const ReplicateEntries &message, TimePoint now);
    void recordReceived(const ExtendResult &result, TimePoint now);
    void applyDue(TimePoint now);
    void retryWaitingReads(TimePoint now);
    void replicate(TimePoint now);
    Duration drawServiceTime();

    DatabaseSettings settings;
    DatabaseHooks hooks;
    std::mt19937_64 random;
    ApplyLag applyLag;
    ResourceUsage resourceUsage;
    ReplicatedLog replicatedLog;
    ReplicaProgress replicaProgress;

    // Never decreases.
    std::uint64_t term = 0;
    TargetRole role = TargetRole::Replica;
    std::uint64_t mixedTransactionCount = 0;

    // A connection is erased once it is closed and no statement runs on it.
    std::map<std::uint64_t, Connection> connections;
    // Connections that are being set up, by the time at which they are open.
    std::multimap<TimePoint, std::uint64_t> openings;
    // Running statements by the time at which they finish.
    std::multimap<TimePoint, RunningStatement> running;
    std::deque<WaitingRead> waitingReads;
    // Delayed replication messages, in order of arrival.
    std::deque<std::pair<TimePoint, ReplicateEntries>> arriving;
    // Receive times of the entries after the last applied one, in log order.
    std::deque<TimePoint> receivedAt;
    // When the first of them is to be applied with the current lag.
    TimePoint nextApplyAt{};
};

} // namespace rhubarbweir
