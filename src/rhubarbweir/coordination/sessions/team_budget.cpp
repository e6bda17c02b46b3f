// See team_budget.hpp.
#include "rhubarbweir/coordination/sessions/team_budget.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace rhubarbweir {

namespace {

// Requests that wait for no renewal are sent no more often than this. The interval doubles while
// answers grant nothing, so that all poolers together do not flood a leader that has just started.
constexpr std::chrono::milliseconds RequestInterval{20};
constexpr std::chrono::milliseconds MaxRequestInterval{80};
// Operations of a team at its limit are refused for this long.
constexpr std::chrono::milliseconds RefusalTime{200};
// An answer that takes longer is not awaited any more. Two renewals.
constexpr std::chrono::milliseconds AnswerTimeout{1000};
// A leader that has not answered for this long is lost. About three renewals.
constexpr std::chrono::milliseconds LeaderTimeout{1500};
// An operation without a token leaves this many times its usual work of its objective, as it may
// still have to wait for a connection.
constexpr int WorkTimes = 2;
// Where the work is not known, or long, an operation waits for this part of its objective.
constexpr int ObjectiveDivisor = 3;
// Time constant of the smoothed rates. A few operations long at poolers that get about one per
// second.
constexpr double RateSeconds = 3;
// Tokens for expected operations last this long: one renewal, and most of a change of the leader.
// More tokens at poolers would keep the bucket from filling.
constexpr double ExpectedSeconds = 1.2;
// A team of which no operation arrived for this long keeps no token for its next operation.
constexpr std::chrono::seconds KeepTime{10};
// Idle tokens that end before the next renewal, or soon after it, are exchanged for new ones.
constexpr std::chrono::milliseconds ExchangeTime{600};
// Tokens whose deadlines are closer than this share the earlier one.
constexpr std::chrono::milliseconds SlotLength{250};

} // namespace

void TeamBudget::expire(Account &account, TimePoint now)
{
    while (!account.slots.empty() && now >= account.slots.front().deadline) {
        // The operations that took them still run or wait.
        account.spent += account.slots.front().taken;
        account.slots.pop_front();
        ++account.changes;
    }
}

std::uint32_t TeamBudget::heldBy(const Account &account)
{
    std::uint32_t sum = 0;
    for (const Slot &slot : account.slots)
        sum += slot.free + slot.taken;
    return sum;
}

TeamBudget::Account &TeamBudget::accountOf(const TeamId &team)
{
    const auto [found, isNew] = this->accounts.try_emplace(team);
    if (isNew)
        found->second.spent = this->largestSpent;
    return found->second;
}

std::uint32_t TeamBudget::held(const TeamId &team, TimePoint now)
{
    const auto found = this->accounts.find(team);
    if (found == this->accounts.end())
        return 0;
    expire(found->second, now);
    return heldBy(found->second);
}

void TeamBudget::arrived(const TeamId &team)
{
    ++this->accountOf(team).arrivals;
}

std::optional<TimePoint> TeamBudget::take(const TeamId &team, TimePoint now)
{
    Account &account = this->accountOf(team);
    expire(account, now);
    for (Slot &slot : account.slots) {
        if (slot.free == 0)
            continue;
        --slot.free;
        ++slot.taken;
        ++account.changes;
        return slot.deadline;
    }
    return std::nullopt;
}

TokenShortage TeamBudget::shortage(const TeamId &team, TimePoint now) const
{
    const auto found = this->accounts.find(team);
    if (found != this->accounts.end() && now < found->second.exhaustedUntil)
        return TokenShortage::Exhausted;
    return this->lastAnswerAt && now >= *this->lastAnswerAt + LeaderTimeout
               ? TokenShortage::WithoutLeader
               : TokenShortage::Awaited;
}

Duration TeamBudget::longestWait(Duration objective, Duration work)
{
    const Duration least = objective / ObjectiveDivisor;
    return work == Duration::zero() ? least : std::max(least, objective - WorkTimes * work);
}

void TeamBudget::settle(const TeamId &team, TimePoint token, bool hasRun, TimePoint now)
{
    Account &account = this->accountOf(team);
    expire(account, now);
    for (Slot &slot : account.slots) {
        if (slot.deadline != token || slot.taken == 0)
            continue;
        --slot.taken;
        ++account.changes;
        if (hasRun) {
            ++account.spent;
            ++slot.spent;
        } else {
            ++slot.free;
        }
        return;
    }
}

void TeamBudget::setWaiting(const TeamId &team, std::size_t count)
{
    Account &account = this->accountOf(team);
    this->waitingCount -= account.waiting;
    account.waiting = static_cast<std::uint32_t>(count);
    this->waitingCount += account.waiting;
}

bool TeamBudget::mayReport(TimePoint now) const
{
    return !this->sentAt || now >= *this->sentAt + AnswerTimeout;
}

void TeamBudget::updateRates(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - this->ratesUpdatedAt).count();
    const double kept = std::exp(-std::max(0.0, elapsed) / RateSeconds);
    for (auto &[team, account] : this->accounts) {
        if (account.arrivals != 0)
            account.arrivedAt = now;
        account.rate = account.rate * kept + account.arrivals / RateSeconds;
        account.arrivals = 0;
    }
    this->ratesUpdatedAt = now;
}

// Gives up idle tokens that end soon. The leader takes them for unspent, whereas tokens that have
// ended count as spent. A leader that does not know them could not return them to the bucket.
void TeamBudget::returnIdle(Account &account, TimePoint now) const
{
    for (Slot &slot : account.slots) {
        if (this->epoch == 0 || now < slot.deadline - ExchangeTime || slot.free == 0)
            continue;
        slot.free = 0;
        ++account.changes;
    }
}

TokenReport TeamBudget::report(TimePoint now)
{
    this->updateRates(now);
    TokenReport report;
    report.sequence = ++this->sequence;
    report.epoch = this->epoch;
    for (auto entry = this->accounts.begin(); entry != this->accounts.end();) {
        Account &account = entry->second;
        expire(account, now);
        this->returnIdle(account, now);
        TeamTokenUse use;
        use.team = entry->first;
        use.spent = account.spent;
        use.held = heldBy(account);
        use.waiting = account.waiting;
        std::uint32_t free = 0;
        for (Slot &slot : account.slots) {
            free += slot.free;
            if (this->epoch == 0)
                use.spentUncounted += slot.spent;
            slot.spentInFlight = std::exchange(slot.spent, 0);
        }
        const bool isUsed = now < account.arrivedAt + KeepTime;
        const double mean = account.rate * ExpectedSeconds;
        // The mean number of operations and its standard deviation.
        const auto expected =
            isUsed ? static_cast<std::uint32_t>(std::ceil(mean + std::sqrt(mean))) : 0U;
        use.wanted = expected - std::min(expected, free);
        const bool isNews = account.changes != account.known || use.waiting != 0 || use.wanted != 0
                            || (this->epoch == 0 && (use.held != 0 || use.spentUncounted != 0));
        if (isNews) {
            // Until the answer arrives, the leader may have granted what is not known here.
            account.reported = ++account.changes;
            report.teams.push_back(use);
        } else if (use.held == 0 && !isUsed && now >= account.exhaustedUntil) {
            this->largestSpent = std::max(this->largestSpent, account.spent);
            entry = this->accounts.erase(entry);
            continue;
        }
        ++entry;
    }
    this->sentAt = now;
    this->nextRequestAt = now + this->requestInterval;
    return report;
}

TimePoint TeamBudget::requestDueAt() const
{
    if (this->waitingCount == 0 || !this->isSupported)
        return TimePoint::max();
    return this->sentAt ? std::max(this->nextRequestAt, *this->sentAt + AnswerTimeout)
                        : this->nextRequestAt;
}

void TeamBudget::requestNotSent(TimePoint now)
{
    this->nextRequestAt = now + MaxRequestInterval;
}

std::vector<TeamId> TeamBudget::answered(const TokenAnswer &answer, TimePoint now)
{
    std::vector<TeamId> affected;
    if (!this->sentAt || answer.sequence != this->sequence)
        return affected;
    const TimePoint deadline = *this->sentAt + answer.lifetime;
    this->sentAt.reset();
    this->isSupported = true;
    this->lastAnswerAt = now;
    this->epoch = answer.needsWholeReport ? 0 : answer.epoch;
    if (answer.needsWholeReport)
        return affected;
    for (auto &[team, account] : this->accounts)
        account.known = account.reported;
    bool isGranted = false;
    for (const TeamTokenGrant &grant : answer.grants) {
        Account &account = this->accountOf(grant.team);
        isGranted = isGranted || grant.tokens != 0;
        if (grant.tokens != 0 && now < deadline) {
            if (!account.slots.empty() && deadline < account.slots.back().deadline + SlotLength)
                account.slots.back().free += grant.tokens;
            else
                account.slots.push_back({deadline, grant.tokens});
        } else if (grant.tokens != 0) {
            ++account.changes;
        }
        if (grant.exhausted)
            account.exhaustedUntil = now + RefusalTime;
        affected.push_back(grant.team);
    }
    const Duration longer = std::min<Duration>(this->requestInterval * 2, MaxRequestInterval);
    this->requestInterval = isGranted || this->waitingCount == 0 ? RequestInterval : longer;
    this->nextRequestAt = std::max(this->nextRequestAt, now);
    return affected;
}

void TeamBudget::refused()
{
    for (auto &[team, account] : this->accounts) {
        for (Slot &slot : account.slots)
            slot.spent += std::exchange(slot.spentInFlight, 0);
    }
    this->disconnected();
}

void TeamBudget::disconnected()
{
    for (auto &[team, account] : this->accounts) {
        for (Slot &slot : account.slots)
            slot.spentInFlight = 0;
    }
    this->sentAt.reset();
    this->epoch = 0;
    this->isSupported = false;
    this->requestInterval = RequestInterval;
}

} // namespace rhubarbweir
