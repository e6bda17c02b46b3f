// See checker.hpp.
#include "programs/load/checker.hpp"

#include "rhubarbweir/protocol/internal/json_messages.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace rhubarbweir {

namespace {

constexpr std::size_t MaxHistoryEntries = 256;
constexpr std::size_t MaxDetails = 50;

std::string requestName(const RequestKey &request)
{
    return absl::StrCat(request.session.value, "#", request.request);
}

} // namespace

void Checker::addKeys(const SessionId &session, const GroupId &group, std::size_t count)
{
    std::vector<std::string> &names = this->keysBySession[{session, group}];
    for (std::size_t index = 0; index < count; ++index) {
        const std::string key = absl::StrCat(session.value, "/", group.value, "/", index);
        names.push_back(key);
        this->keys[key].operation = index % 2 == 0 ? WriteOperation::Add : WriteOperation::Set;
    }
}

std::vector<std::string> Checker::keysOf(const SessionId &session, const GroupId &group) const
{
    const auto found = this->keysBySession.find({session, group});
    return found == this->keysBySession.end() ? std::vector<std::string>() : found->second;
}

std::vector<std::pair<GroupId, std::string>> Checker::allKeysOf(const SessionId &session) const
{
    std::vector<std::pair<GroupId, std::string>> result;
    for (const auto &[owner, names] : this->keysBySession) {
        if (owner.first != session)
            continue;
        for (const std::string &key : names)
            result.emplace_back(owner.second, key);
    }
    return result;
}

bool Checker::isBusy(const std::string &key) const
{
    return this->keys.at(key).busy;
}

PlannedWrite Checker::beginWrite(const std::string &key)
{
    KeyState &state = this->keys.at(key);
    state.busy = true;
    if (state.operation == WriteOperation::Add)
        return PlannedWrite{key, WriteOperation::Add, "1"};
    ++state.planned;
    return PlannedWrite{key, WriteOperation::Set, absl::StrCat(key, ":", state.planned)};
}

void Checker::finishWrite(const RequestKey &request, const GroupId &group,
                          const std::vector<PlannedWrite> &writes, WriteEffect effect,
                          TimePoint now)
{
    if (effect == WriteEffect::Ran) {
        this->ranRequests[group].insert(request);
        ++this->confirmed;
    } else if (effect == WriteEffect::None) {
        this->recordNotRun(request, group);
    } else {
        ++this->counters.unresolved;
    }
    for (const PlannedWrite &write : writes) {
        KeyState &state = this->keys.at(write.key);
        // A key with an unresolved write stays busy and is not written again.
        state.busy = effect == WriteEffect::Unresolved;
        state.unresolved += effect == WriteEffect::Unresolved ? 1 : 0;
        if (effect != WriteEffect::Ran)
            continue;
        if (state.operation == WriteOperation::Add)
            ++state.confirmed;
        else
            state.confirmed = this->parseNumber(write.key, write.value).value_or(state.confirmed);
        state.history.emplace_back(now, state.confirmed);
        if (state.history.size() > MaxHistoryEntries)
            state.history.pop_front();
    }
}

void Checker::recordNotRun(const RequestKey &request, const GroupId &group)
{
    this->notRunRequests[group].insert(request);
}

ReadExpectation Checker::expectRead(const std::string &key, Consistency consistency,
                                    Duration maxAge, TimePoint now) const
{
    const KeyState &state = this->keys.at(key);
    if (consistency != Consistency::Bounded)
        return ReadExpectation{state.confirmed};
    ReadExpectation expectation;
    for (const auto &[confirmedAt, number] : state.history) {
        if (confirmedAt + maxAge <= now)
            expectation.minNumber = number;
    }
    return expectation;
}

bool Checker::checkAnswerMatches(const CallerRequest &request, const CallerAnswer &answer)
{
    const bool hasKey = request.kind == RequestKind::Read || request.kind == RequestKind::Write;
    const bool isOwn = answer.session == request.session && answer.requestId == request.requestId
                       && (answer.outcome != Outcome::Ok || !hasKey || answer.key == request.key);
    if (isOwn)
        return true;
    ++this->counters.crossed;
    this->addDetail(absl::StrCat("crossed: request ", requestName(keyOf(request)), " key ",
                                 request.key, " got session ", answer.session.value, " request ",
                                 answer.requestId, " key ", answer.key));
    return false;
}

void Checker::checkRead(const CallerRequest &request, const CallerAnswer &answer,
                        const ReadExpectation &expectation)
{
    const auto number = this->parseNumber(request.key, answer.value);
    if (!number) {
        ++this->counters.crossed;
        this->addDetail(absl::StrCat("crossed: value of ", request.key, " is ", answer.value));
        return;
    }
    if (*number >= expectation.minNumber)
        return;
    const bool isBounded = request.consistency == Consistency::Bounded;
    ++(isBounded ? this->counters.tooOld : this->counters.readYourWrites);
    this->addDetail(absl::StrCat(
        isBounded ? "too old: " : "stale: ", std::string(nameOf(request.consistency)), " read ",
        requestName(keyOf(request)), " of ", request.key, " from ", answer.servedBy.value, " at ",
        answer.position.term, "/", answer.position.position, " showed ", *number,
        ", confirmed was ", expectation.minNumber));
}

void Checker::checkFinalRead(const std::string &key, const std::string &value)
{
    const KeyState &state = this->keys.at(key);
    const auto number = this->parseNumber(key, value);
    if (!number) {
        ++this->counters.crossed;
        this->addDetail(absl::StrCat("crossed: final value of ", key, " is ", value));
        return;
    }
    if (*number < state.confirmed) {
        const bool isCounter = state.operation == WriteOperation::Add;
        this->lostByReads += isCounter ? state.confirmed - *number : 1;
        this->addDetail(absl::StrCat("lost: final value of ", key, " is ", *number, ", confirmed ",
                                     state.confirmed));
        return;
    }
    // A register may exceed the confirmed number only if an unresolved Set may have written it.
    const std::int64_t maxNumber = state.operation == WriteOperation::Add
                                       ? state.confirmed + state.unresolved
                                       : (state.unresolved > 0 ? state.planned : state.confirmed);
    if (*number > maxNumber) {
        this->doubledByReads += *number - maxNumber;
        this->addDetail(absl::StrCat("doubled: final value of ", key, " is ", *number,
                                     ", at most expected ", maxNumber));
    }
}

std::vector<GroupId> Checker::checkReports(const std::vector<nlohmann::json> &reports)
{
    std::map<GroupId, const nlohmann::json *> primaries;
    for (const nlohmann::json &report : reports) {
        this->counters.limitExceeded += report.at("limit_exceeded").get<std::uint64_t>();
        this->counters.mixedTransactions += report.at("mixed_transactions").get<std::uint64_t>();
        if (report.at("role").get<TargetRole>() != TargetRole::Primary)
            continue;
        const nlohmann::json *&newest = primaries[report.at("group").get<GroupId>()];
        if (!newest || newest->at("term") < report.at("term"))
            newest = &report;
    }
    std::vector<GroupId> missing;
    for (const auto &[group, requests] : this->ranRequests) {
        if (!primaries.count(group))
            missing.push_back(group);
    }
    for (const auto &[group, report] : primaries)
        this->checkLog(*report);
    return missing;
}

void Checker::checkLog(const nlohmann::json &report)
{
    const auto group = report.at("group").get<GroupId>();
    std::map<RequestKey, std::uint64_t> runs;
    for (const nlohmann::json &entry : report.at("entries")) {
        const auto kind = entry.at("kind").get<LogEntryKind>();
        if (kind != LogEntryKind::Write && kind != LogEntryKind::Transaction)
            continue;
        for (const auto &request : entry.at("requests").get<std::vector<RequestKey>>())
            ++runs[request];
    }
    for (const auto &[request, count] : runs) {
        if (count > 1) {
            this->doubledByLogs += count - 1;
            this->addDetail(
                absl::StrCat("doubled: ", requestName(request), " ran ", count, " times"));
        }
    }
    for (const RequestKey &request : this->ranRequests[group]) {
        if (!runs.count(request)) {
            ++this->lostByLogs;
            this->addDetail(absl::StrCat("lost: ", requestName(request), " is not in the log"));
        }
    }
    for (const RequestKey &request : this->notRunRequests[group]) {
        if (runs.count(request)) {
            ++this->counters.notRunButRan;
            this->addDetail(absl::StrCat("doubled: ", requestName(request), " ran after NotRun"));
        }
    }
}

Violations Checker::violations() const
{
    Violations result = this->counters;
    result.confirmedLost = std::max(this->lostByReads, this->lostByLogs);
    result.doubled =
        std::max(this->doubledByReads, this->doubledByLogs + this->counters.notRunButRan);
    return result;
}

std::optional<std::int64_t> Checker::parseNumber(const std::string &key,
                                                 const std::string &value) const
{
    if (value.empty())
        return 0;
    std::int64_t number = 0;
    const auto found = this->keys.find(key);
    if (found->second.operation == WriteOperation::Add)
        return absl::SimpleAtoi(value, &number) ? std::make_optional(number) : std::nullopt;
    const std::string prefix = key + ":";
    const bool isOwn = value.compare(0, prefix.size(), prefix) == 0
                       && absl::SimpleAtoi(value.substr(prefix.size()), &number);
    return isOwn ? std::make_optional(number) : std::nullopt;
}

void Checker::addDetail(const std::string &line)
{
    if (this->detailLines.size() < MaxDetails)
        this->detailLines.push_back(line);
}

} // namespace rhubarbweir
