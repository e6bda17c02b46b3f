// Checks every answer and the final state of the databases against the consistency guarantees.
#pragma once

#include "rhubarbweir/coordination/proxy/caller_messages.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbweir {

// A write that is planned for a key. A counter holds the sum of its Adds. A register holds
// "KEY:NUMBER", where the number increases with each Set, so that a value identifies its key and
// its age.
struct PlannedWrite
{
    std::string key;
    WriteOperation operation = WriteOperation::Set;
    std::string value;
};

// Whether a request that changes data took effect.
enum class WriteEffect {
    Ran,
    // Answered NotRun or Failed.
    None,
    // The outcome was still unknown at the end of the run.
    Unresolved,
};

// Lowest number that a read may return, determined when the read is sent.
struct ReadExpectation
{
    std::int64_t minNumber = 0;
};

// Violations of the guarantees. Each count has to be 0 after a run, except `unresolved`.
struct Violations
{
    // Confirmed writes that are missing from the final values or the log.
    std::uint64_t confirmedLost = 0;
    // Writes that took effect more than once.
    std::uint64_t doubled = 0;
    // Session and latest reads that missed a write confirmed before they were sent.
    std::uint64_t readYourWrites = 0;
    // Answers that belong to another session, request or key.
    std::uint64_t crossed = 0;
    // Times that a database had more connections or slots in use than its limits allow.
    std::uint64_t limitExceeded = 0;
    // Bounded reads that returned data older than their maximum age.
    std::uint64_t tooOld = 0;
    // Requests without an answer at the end of the grace period after their deadline.
    std::uint64_t silent = 0;
    // Requests that were answered NotRun or Failed but took effect; also counted in `doubled`.
    std::uint64_t notRunButRan = 0;
    // Statements that a database received on a connection with a different open transaction.
    std::uint64_t mixedTransactions = 0;
    // Writes whose outcome is unknown at the end of the run.
    std::uint64_t unresolved = 0;
};

class Checker
{
public:
    // Adds `count` keys of `session` in `group`, alternating counters and registers.
    void addKeys(const SessionId &session, const GroupId &group, std::size_t count);
    // Keys of `session` in `group`, in the order in which they were added.
    std::vector<std::string> keysOf(const SessionId &session, const GroupId &group) const;
    std::vector<std::pair<GroupId, std::string>> allKeysOf(const SessionId &session) const;

    // Whether a write of `key` is in progress or its outcome is unknown.
    bool isBusy(const std::string &key) const;
    // Plans the next write of a key that is not busy; the key is busy until finishWrite().
    PlannedWrite beginWrite(const std::string &key);
    // Records the effect of `request`: a single write, or the commit of a transaction.
    void finishWrite(const RequestKey &request, const GroupId &group,
                     const std::vector<PlannedWrite> &writes, WriteEffect effect, TimePoint now);
    // Records a request without effect whose operation is retried under a new request id.
    void recordNotRun(const RequestKey &request, const GroupId &group);

    // Determines what a read of `key` that is sent at `now` has to return.
    ReadExpectation expectRead(const std::string &key, Consistency consistency, Duration maxAge,
                               TimePoint now) const;
    // Whether `answer` belongs to `request`, a read or a write; counts it as crossed if not.
    bool checkAnswerMatches(const CallerRequest &request, const CallerAnswer &answer);
    void checkRead(const CallerRequest &request, const CallerAnswer &answer,
                   const ReadExpectation &expectation);
    void checkFinalRead(const std::string &key, const std::string &value);
    void recordAnswerToUnknownRequest() { ++this->counters.crossed; }
    void recordMissingAnswer() { ++this->counters.silent; }

    // Checks the logs in the databases' reports against all finished writes.
    // Returns the groups with confirmed writes but without a primary's report.
    std::vector<GroupId> checkReports(const std::vector<nlohmann::json> &reports);

    Violations violations() const;
    std::uint64_t confirmedWrites() const { return this->confirmed; }
    // Descriptions of the first violations, one line each.
    const std::vector<std::string> &details() const { return this->detailLines; }

private:
    struct KeyState
    {
        WriteOperation operation = WriteOperation::Set;
        bool busy = false;
        // Number of a register's last planned Set.
        std::int64_t planned = 0;
        // Number of the last confirmed Set, or the count of confirmed Adds.
        std::int64_t confirmed = 0;
        std::int64_t unresolved = 0;
        // Confirmation times of the newest MaxHistoryEntries numbers, oldest first.
        std::deque<std::pair<TimePoint, std::int64_t>> history;
    };

    // The number in `value`; nullopt if the value was not written under `key`.
    std::optional<std::int64_t> parseNumber(const std::string &key, const std::string &value) const;
    void checkLog(const nlohmann::json &report);
    void addDetail(const std::string &line);

    std::map<std::string, KeyState> keys;
    std::map<std::pair<SessionId, GroupId>, std::vector<std::string>> keysBySession;
    // Requests by group, according to their answers.
    std::map<GroupId, std::set<RequestKey>> ranRequests;
    std::map<GroupId, std::set<RequestKey>> notRunRequests;
    Violations counters;
    // The same violation can be found in final reads and in logs; the greater count is reported.
    std::uint64_t lostByReads = 0;
    std::uint64_t lostByLogs = 0;
    std::uint64_t doubledByReads = 0;
    std::uint64_t doubledByLogs = 0;
    std::uint64_t confirmed = 0;
    std::vector<std::string> detailLines;
};

} // namespace rhubarbweir
