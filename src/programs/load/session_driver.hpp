// A caller session: performs operations, retries them, moves between proxies and queries unknown
// outcomes. Its connections and timers keep it alive. Runs on one event loop.
#pragma once

#include "programs/load/checker.hpp"
#include "programs/load/load_settings.hpp"
#include "programs/load/measurements.hpp"
#include "programs/load/session_link.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rhubarbweir {

// State that all sessions of a run share; outlives them.
struct LoadContext
{
    LoadSettings settings;
    Workload workload;
    Checker checker;
    Measurements measurements;
    EventLoop &loop;
    WebSocketClient &client;
    // Outcome queries and final reads are not retried after this time.
    TimePoint settleDeadline = TimePoint::max();
};

class SessionDriver : public std::enable_shared_from_this<SessionDriver>
{
public:
    using DoneCallback = std::function<void()>;

    SessionDriver(LoadContext &loadContext, std::size_t number);

    // Opens the session and retries until it succeeds; `done` is called once it is open.
    void open(DoneCallback done);
    // Starts an operation; `done` is called when it has ended, whatever its outcome.
    void perform(const PlannedOperation &planned, DoneCallback done);
    // Reads every key of the session and checks its final value.
    void checkFinalValues(const DoneCallback &done);
    void close();

    bool isOpen() const { return !this->session.empty(); }
    // Number of operations and outcome queries that have not ended.
    std::size_t operationsInProgress() const { return this->operations; }

private:
    // A caller's operation: a read, a write, a transaction or an outcome query.
    struct Operation
    {
        PlannedOperation planned;
        TimePoint startedAt;
        TimePoint deadline;
        DoneCallback done;
        // Writes of a write operation or a transaction.
        std::vector<PlannedWrite> writes;
        // Key of a read.
        std::string key;
        bool isFinalRead = false;
        // For a transaction: request id of its Begin, number of statements sent, and the connection
        // that it is bound to.
        std::uint64_t transaction = 0;
        std::size_t sentStatements = 0;
        std::shared_ptr<SessionLink> link;
        // For an outcome query: the request in question, and the callback for the result.
        std::uint64_t queriedRequestId = 0;
        std::function<void(WriteEffect)> onResolved;
        std::uint32_t attempts = 0;
        // Id of the operation's last request.
        std::uint64_t lastRequestId = 0;
    };
    using OperationPtr = std::shared_ptr<Operation>;

    struct PendingRequest
    {
        CallerRequest request;
        OperationPtr operation;
        ReadExpectation expectation;
        std::shared_ptr<SessionLink> link;
        bool sent = false;
        TimePoint deadline;
    };

    // session_driver.cpp: operations.
    bool chooseWrites(Operation &operation);
    void startAttempt(const OperationPtr &operation);
    void continueTransaction(const OperationPtr &operation);
    void handleAnswer(const PendingRequest &entry, const CallerAnswer &answer);
    void handleReadAnswer(const PendingRequest &entry, const CallerAnswer &answer);
    void handleWriteAnswer(const PendingRequest &entry, const CallerAnswer &answer);
    void handleTransactionAnswer(const PendingRequest &entry, const CallerAnswer &answer);
    void abandonTransaction(const PendingRequest &entry);
    void handleOutcomeAnswer(const PendingRequest &entry, const CallerAnswer &answer);
    // Handles a missing answer: the connection was lost, or the grace period has ended.
    void handleNoAnswer(const PendingRequest &entry, Reason reason);
    void retryOrEnd(const OperationPtr &operation, Outcome outcome, Reason reason,
                    Duration retryAfter);
    void end(const OperationPtr &operation, Outcome outcome, Reason reason);
    void finishWrites(const OperationPtr &operation, std::uint64_t requestId, WriteEffect effect);
    void askOutcome(const OperationPtr &operation, std::uint64_t requestId);
    void finalRead(std::vector<std::pair<GroupId, std::string>> remaining,
                   const DoneCallback &done);

    // session_connections.cpp: connections and requests.
    CallerRequest requestFor(const Operation &operation, RequestKind kind);
    void send(const OperationPtr &operation, CallerRequest request, TimePoint deadline,
              std::shared_ptr<SessionLink> link = nullptr);
    void sendIfReady(std::uint64_t requestId);
    void expire(std::uint64_t requestId);
    void connect();
    void handleConnected(const std::shared_ptr<SessionLink> &link, const ConnectionPtr &connection);
    void handleConnectFailed(const std::shared_ptr<SessionLink> &link);
    void receive(const std::shared_ptr<SessionLink> &link, const Message &message);
    void handleSessionOpened(const std::shared_ptr<SessionLink> &link,
                             const SessionOpened &message);
    void handleConnectionLost(const std::shared_ptr<SessionLink> &link);
    // Sends new requests through another proxy; the old connection is closed after its last answer.
    void moveToOtherProxy();
    void closeIfDrained(const std::shared_ptr<SessionLink> &link);
    Duration backoff(std::uint32_t attempts);

    LoadContext &context;
    CallerId caller;
    SessionId session;
    SessionToken token;
    std::uint64_t lastRequestId = 0;
    std::size_t operations = 0;
    bool isClosing = false;
    std::uint32_t failedConnects = 0;
    std::size_t proxy = 0;
    // Connection for new requests; null before open() and after a loss.
    std::shared_ptr<SessionLink> currentLink;
    std::map<std::uint64_t, PendingRequest> pending;
    DoneCallback onOpened;
};

} // namespace rhubarbweir
