// One caller session: sends operations, retries, follows moves, asks for unknown outcomes.
// Keeps itself alive by its connections and timers. Runs on one event loop.
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

// What all sessions of a run share; outlives them.
struct LoadRun
{
    LoadSettings settings;
    Workload workload;
    Checker checker;
    Measurements measurements;
    EventLoop &loop;
    WebSocketClient &client;
    // Outcome queries and final reads are given up then.
    TimePoint settleBy = TimePoint::max();
};

class SessionDriver : public std::enable_shared_from_this<SessionDriver>
{
public:
    using Done = std::function<void()>;

    SessionDriver(LoadRun &loadRun, std::size_t number);

    // Opens the session; keeps trying. `done` runs once it is open.
    void open(Done done);
    // Starts one operation; `done` runs when it has ended, with any outcome.
    void perform(const PlannedOperation &planned, Done done);
    // Reads every key of the session and checks the final values.
    void checkFinally(const Done &done);
    void close();

    bool isOpen() const { return !this->session.empty(); }
    // Operations and outcome queries that have not ended.
    std::size_t busyWith() const { return this->operations; }

private:
    // One operation of a caller: a read, a write, or a whole transaction.
    struct Operation
    {
        PlannedOperation planned;
        TimePoint startedAt;
        TimePoint deadline;
        Done done;
        // Writes, with the values to confirm.
        std::vector<KeyValue> writes;
        // Key of a read.
        std::string key;
        bool isFinalRead = false;
        // Of a transaction: id of its begin, statements sent, and the connection it is pinned to.
        std::uint64_t transaction = 0;
        std::size_t sentStatements = 0;
        std::shared_ptr<SessionLink> link;
        // Of an outcome query: the request asked about, and what to do with the answer.
        std::uint64_t asked = 0;
        std::function<void(Effect)> resolved;
        std::uint32_t attempts = 0;
        // Id of the newest request of this operation.
        std::uint64_t lastRequestId = 0;
    };
    using OperationPtr = std::shared_ptr<Operation>;

    struct Pending
    {
        CallerRequest request;
        OperationPtr operation;
        ReadExpectation expectation;
        std::shared_ptr<SessionLink> link;
        bool sent = false;
        TimePoint deadline;
    };

    // session_driver.cpp: what the session does.
    bool chooseWrites(Operation &operation);
    void startAttempt(const OperationPtr &operation);
    void continueTransaction(const OperationPtr &operation);
    void answered(const Pending &entry, const CallerAnswer &answer);
    void readAnswered(const Pending &entry, const CallerAnswer &answer);
    void writeAnswered(const Pending &entry, const CallerAnswer &answer);
    void transactionAnswered(const Pending &entry, const CallerAnswer &answer);
    void abandonTransaction(const Pending &entry);
    void outcomeAnswered(const Pending &entry, const CallerAnswer &answer);
    // No answer came: the connection ended, or the deadline and the grace passed.
    void unanswered(const Pending &entry, Reason reason);
    void retryOrEnd(const OperationPtr &operation, Outcome outcome, Reason reason,
                    Duration retryAfter);
    void end(const OperationPtr &operation, Outcome outcome, Reason reason);
    void endWrites(const OperationPtr &operation, std::uint64_t requestId, Effect effect);
    void askOutcome(const OperationPtr &operation, std::uint64_t requestId);
    void finalRead(std::vector<std::pair<GroupId, std::string>> left, const Done &done);

    // session_connections.cpp: how its requests travel.
    CallerRequest requestFor(const Operation &operation, RequestKind kind);
    void send(const OperationPtr &operation, CallerRequest request, TimePoint deadline,
              std::shared_ptr<SessionLink> link = nullptr);
    void transmit(std::uint64_t requestId);
    void expire(std::uint64_t requestId);
    void connect();
    void connected(const std::shared_ptr<SessionLink> &link, const ConnectionPtr &connection);
    void connectFailed(const std::shared_ptr<SessionLink> &link);
    void receive(const std::shared_ptr<SessionLink> &link, const Message &message);
    void opened(const std::shared_ptr<SessionLink> &link, const SessionOpened &message);
    void lost(const std::shared_ptr<SessionLink> &link);
    // New requests go through another proxy; the old connection ends with its last answer.
    void moveToOtherProxy();
    void retireIfIdle(const std::shared_ptr<SessionLink> &link);
    Duration backoff(std::uint32_t attempts);

    LoadRun &run;
    CallerId caller;
    SessionId session;
    SessionToken token;
    std::uint64_t lastRequestId = 0;
    std::size_t operations = 0;
    bool isClosing = false;
    std::uint32_t failedConnects = 0;
    std::size_t proxy = 0;
    // Where new requests go; null before open().
    std::shared_ptr<SessionLink> current;
    std::map<std::uint64_t, Pending> pending;
    Done onOpened;
};

} // namespace rhubarbweir
