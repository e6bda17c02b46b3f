// Checks every answer and the final state against what callers were promised.
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

// A value written under a key: counters hold the sum of their Adds, registers "KEY:NUMBER" with
// a number that rises with each Set, so that a value shows whose it is and how old.
struct KeyValue
{
    std::string key;
    WriteOperation operation = WriteOperation::Set;
    std::string value;
};

// How a request that changes data ended.
enum class Effect {
    Ran,
    // Answered NotRun or Failed.
    None,
    // Its outcome could not be learnt in time.
    Unresolved,
};

// Least number that a read may show, fixed when the read is sent.
struct ReadExpectation
{
    std::int64_t least = 0;
};

// Each count has to be 0 after a run, except `unresolved`.
struct Violations
{
    std::uint64_t confirmedLost = 0;
    std::uint64_t doubled = 0;
    std::uint64_t readYourWrites = 0;
    std::uint64_t crossed = 0;
    std::uint64_t limitExceeded = 0;
    // Reads that showed data older than their greatest age.
    std::uint64_t tooOld = 0;
    // Requests with no answer by their deadline and a grace.
    std::uint64_t silent = 0;
    // Requests that were answered NotRun or Failed and yet ran; part of `doubled`.
    std::uint64_t falseNotRun = 0;
    std::uint64_t mixedTransactions = 0;
    std::uint64_t unresolved = 0;
};

class Checker
{
public:
    // Adds `count` keys of `session` in `group`; every other one is a counter.
    void addKeys(const SessionId &session, const GroupId &group, std::size_t count);
    // Keys of `session` in `group`, in a fixed order.
    std::vector<std::string> keysOf(const SessionId &session, const GroupId &group) const;
    std::vector<std::pair<GroupId, std::string>> allKeysOf(const SessionId &session) const;

    // Whether a write of `key` is under way or its outcome is not known.
    bool isBusy(const std::string &key) const;
    // Plans the next write of a free key, which is busy until finishWrite().
    KeyValue beginWrite(const std::string &key);
    // `request` is the write itself, or the commit of its transaction.
    void finishWrite(const RequestKey &request, const GroupId &group,
                     const std::vector<KeyValue> &writes, Effect effect, TimePoint now);
    // A request that ended without effect while its operation is tried again under a new id.
    void noteNotRun(const RequestKey &request, const GroupId &group);

    ReadExpectation expectRead(const std::string &key, Consistency consistency, Duration maxAge,
                               TimePoint now) const;
    // Checks that `answer` is the one to `request`, also for writes; counts it as crossed if not.
    bool isOwnAnswer(const CallerRequest &request, const CallerAnswer &answer);
    void checkRead(const CallerRequest &request, const CallerAnswer &answer,
                   const ReadExpectation &expectation);
    void checkFinalRead(const std::string &key, const std::string &value);
    void noteAnswerToUnknownRequest() { ++this->counted.crossed; }
    void noteSilent() { ++this->counted.silent; }

    // Checks the logs in the databases' reports against all finished writes.
    // Groups without a primary's report are returned.
    std::vector<GroupId> checkReports(const std::vector<nlohmann::json> &reports);

    Violations violations() const;
    std::uint64_t confirmedWrites() const { return this->confirmed; }
    // One line for each of the first violations, for people.
    const std::vector<std::string> &details() const { return this->lines; }

private:
    struct KeyState
    {
        WriteOperation operation = WriteOperation::Set;
        bool busy = false;
        // Last number planned for a register.
        std::int64_t planned = 0;
        // Number of the last confirmed Set, or the count of confirmed Adds.
        std::int64_t confirmed = 0;
        std::int64_t unresolved = 0;
        // When each number was confirmed, oldest first; holds the newest BoundedHistory ones.
        std::deque<std::pair<TimePoint, std::int64_t>> history;
    };

    // Number shown by `value`; absent when the value is not one of `key`.
    std::optional<std::int64_t> numberIn(const std::string &key, const std::string &value) const;
    void checkLog(const nlohmann::json &report);
    void note(const std::string &line);

    std::map<std::string, KeyState> keys;
    std::map<std::pair<SessionId, GroupId>, std::vector<std::string>> keysBySession;
    // Requests by group, as answered.
    std::map<GroupId, std::set<RequestKey>> ran;
    std::map<GroupId, std::set<RequestKey>> notRun;
    Violations counted;
    // The same loss shows in final reads and in logs; the greater count is reported.
    std::uint64_t lostByReads = 0;
    std::uint64_t lostByLogs = 0;
    std::uint64_t doubledByReads = 0;
    std::uint64_t doubledByLogs = 0;
    std::uint64_t confirmed = 0;
    std::vector<std::string> lines;
};

} // namespace rhubarbweir
