// See budget_allocator.hpp.
#include "rhubarbweir/coordination/fleet/budget_allocator.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <utility>

namespace rhubarbweir {

namespace {

// Clocks of instances differ in rate by at most one part in this many.
constexpr int DriftDivisor = 100;
// One pooler may hold this many times its equal share, because load enters unevenly.
constexpr double ShareFactor = 8;
// Every pooler may hold this many tokens: one in use and one for the next operation.
constexpr std::uint32_t MinLargestHolding = 2;
// Tokens for operations that are only expected are granted from what exceeds this part of the
// capacity. The rest is for operations that wait. A larger part leaves teams at usual use too few
// tokens to outlast a change of the leader.
constexpr double ReservedPart = 0.15;
constexpr std::chrono::milliseconds SweepInterval{250};
// A run without tokens is forgotten after this.
constexpr std::chrono::seconds SilentRetention{15};
// A new leader starts with empty buckets, so that an empty one does not mean a team at its limit.
constexpr std::chrono::seconds StartTime{1};
constexpr std::chrono::seconds LogInterval{1};

Duration withDrift(Duration duration)
{
    return duration + duration / DriftDivisor;
}

} // namespace

BudgetAllocator::BudgetAllocator(const TeamLimitRules &limitRules, ExhaustedHook exhaustedHook)
    : rules(limitRules)
    , exhausted(std::move(exhaustedHook))
{
}

void BudgetAllocator::beginLeadership()
{
    ++this->epoch;
    this->started = false;
    this->hasLimits = false;
    this->buckets.clear();
    this->poolers.clear();
    this->unreported.clear();
}

void BudgetAllocator::start(const std::vector<ProxyRun> &registered, TimePoint now)
{
    this->started = true;
    this->startedAt = now;
    this->unreported.insert(registered.begin(), registered.end());
    this->unreportedUntil = this->endOfTokens(now);
    this->unreportedAmong = this->fewestPoolers(now);
}

TimePoint BudgetAllocator::endOfTokens(TimePoint grantedAt) const
{
    return grantedAt + withDrift(this->rules.tokenLifetime);
}

void BudgetAllocator::setPoolers(std::size_t count, TimePoint now)
{
    if (count == this->poolerCount)
        return;
    this->formerCounts.emplace_back(now, std::max<std::size_t>(1, this->poolerCount));
    this->poolerCount = count;
    while (!this->formerCounts.empty()
           && now >= this->endOfTokens(this->formerCounts.front().first))
        this->formerCounts.pop_front();
}

std::size_t BudgetAllocator::fewestPoolers(TimePoint now) const
{
    std::size_t fewest = std::max<std::size_t>(1, this->poolerCount);
    for (const auto &[endedAt, count] : this->formerCounts) {
        if (now < this->endOfTokens(endedAt))
            fewest = std::min(fewest, count);
    }
    return fewest;
}

// In any window run at most the capacity and what the window refills. The margin covers a window
// that is longer on the leader's clock, and the part of a token that a bucket holds.
double BudgetAllocator::capacityOf(const TeamLimit &limit) const
{
    const double perWindow =
        limit.operationsPerSecond * std::chrono::duration<double>(this->rules.window).count();
    const double margin = 1 + perWindow / DriftDivisor;
    return std::max(0.0, limit.burst + this->rules.overshoot * (perWindow + limit.burst)
                             + this->rules.slack - margin);
}

std::uint32_t BudgetAllocator::largestHolding(const Bucket &bucket, std::size_t count) const
{
    const double share = std::max<double>(MinLargestHolding, ShareFactor * bucket.capacity
                                                                 / std::max<std::size_t>(1, count));
    return static_cast<std::uint32_t>(std::min({share, bucket.capacity, 1e9}));
}

double BudgetAllocator::assumedAtPoolers(const Bucket &bucket, TimePoint now) const
{
    if (now >= this->unreportedUntil || this->unreported.empty())
        return 0;
    const std::uint32_t each = this->largestHolding(bucket, this->unreportedAmong);
    const double rest =
        std::max(0.0, bucket.capacity - static_cast<double>(bucket.formerlyAtReported));
    return std::min(rest, static_cast<double>(this->unreported.size()) * each);
}

BudgetAllocator::Bucket *BudgetAllocator::bucketOf(const TeamId &team)
{
    const auto found = this->buckets.find(team);
    return found == this->buckets.end() ? nullptr : &found->second;
}

void BudgetAllocator::limitToCapacity(Bucket &bucket, TimePoint now) const
{
    const double room = bucket.capacity - static_cast<double>(bucket.atPoolers)
                        - this->assumedAtPoolers(bucket, now);
    bucket.tokens = std::min(bucket.tokens, std::max(0.0, room));
}

// Refills as if continuously: to be called before the tokens at poolers change, as a full bucket
// refills no further.
void BudgetAllocator::refill(Bucket &bucket, TimePoint now) const
{
    if (bucket.refilledAt < this->unreportedUntil && this->unreportedUntil < now) {
        // The tokens assumed at poolers count to the end.
        this->refillUntil(bucket, this->unreportedUntil - Duration(1));
    }
    this->refillUntil(bucket, now);
}

void BudgetAllocator::refillAll(TimePoint now)
{
    for (auto &[team, bucket] : this->buckets)
        this->refill(bucket, now);
}

void BudgetAllocator::refillUntil(Bucket &bucket, TimePoint now) const
{
    if (now > bucket.refilledAt) {
        const std::chrono::duration<double> elapsed = now - bucket.refilledAt;
        bucket.tokens += bucket.limit.operationsPerSecond * elapsed.count();
        bucket.refilledAt = now;
    }
    this->limitToCapacity(bucket, now);
}

void BudgetAllocator::setLimits(const std::map<TeamId, TeamLimit> &limits, TimePoint now)
{
    const bool isFirst = !std::exchange(this->hasLimits, true);
    for (auto &[team, bucket] : this->buckets) {
        if (bucket.isLimited && limits.count(team) == 0) {
            bucket.isLimited = false;
            bucket.unlimitedSince = now;
        }
    }
    for (const auto &[team, limit] : limits) {
        const auto [found, isNew] = this->buckets.try_emplace(team);
        Bucket &bucket = found->second;
        if (isNew) {
            bucket.refilledAt = now;
            // The operations of a team that was unlimited so far do not count. The first limits
            // under this leader may continue those of its predecessor.
            bucket.tokens = isFirst ? 0 : limit.burst;
        } else {
            this->refill(bucket, now);
        }
        bucket.limit = limit;
        bucket.isLimited = true;
        bucket.capacity = this->capacityOf(limit);
        this->limitToCapacity(bucket, now);
    }
    for (auto entry = this->buckets.begin(); entry != this->buckets.end();) {
        const Bucket &bucket = entry->second;
        const bool isOver = !bucket.isLimited && bucket.atPoolers == 0
                            && now >= bucket.unlimitedSince + this->rules.window;
        entry = isOver ? this->buckets.erase(entry) : std::next(entry);
    }
}

// Counts the tokens of the holding as spent.
void BudgetAllocator::release(const TeamId &team, Holding &holding, TimePoint now)
{
    if (holding.tokens == 0)
        return;
    if (Bucket *bucket = this->bucketOf(team)) {
        this->refill(*bucket, now);
        bucket->atPoolers -= holding.tokens;
    }
    holding.tokens = 0;
}

void BudgetAllocator::expire(const TeamId &team, Holding &holding, TimePoint now)
{
    if (now >= holding.endsAt)
        this->release(team, holding, now);
}

// A report lists all tokens that the run may still spend, as it accepts no earlier answer any more.
// What was outstanding, is not held and was not spent is unspent. Tokens whose lifetime has passed
// have been counted as spent; what the report says of them returns nothing to the bucket.
void BudgetAllocator::recordUse(Pooler &pooler, bool isFirstReport, const TeamTokenUse &use,
                                TimePoint now)
{
    Bucket *bucket = this->bucketOf(use.team);
    if (bucket == nullptr)
        return;
    this->refill(*bucket, now);
    Holding &holding = pooler.holdings[use.team];
    if (isFirstReport) {
        // Granted by a former leader.
        holding.tokens = std::min(use.held, this->largestHolding(*bucket, 1));
        holding.endsAt = this->endOfTokens(now);
        bucket->atPoolers += holding.tokens;
        if (now < this->unreportedUntil)
            bucket->formerlyAtReported += std::uint64_t{holding.tokens} + use.spentUncounted;
    } else {
        this->expire(use.team, holding, now);
        const std::uint64_t spent = use.spent - std::min(use.spent, holding.spent);
        const std::uint32_t kept = std::min(use.held, holding.tokens);
        const std::uint32_t gone = holding.tokens - kept;
        bucket->atPoolers -= gone;
        bucket->tokens += static_cast<double>(gone - std::min<std::uint64_t>(gone, spent));
        holding.tokens = kept;
    }
    holding.spent = use.spent;
    this->limitToCapacity(*bucket, now);
}

// A whole report lists every team that the run holds tokens of. Others count as spent.
void BudgetAllocator::releaseUnlisted(Pooler &pooler, const TokenReport &report, TimePoint now)
{
    std::set<TeamId> listed;
    for (const TeamTokenUse &use : report.teams)
        listed.insert(use.team);
    for (auto &[team, holding] : pooler.holdings) {
        if (listed.count(team) == 0)
            this->release(team, holding, now);
    }
}

// The report of a run proves that earlier runs of the same pooler have ended.
void BudgetAllocator::recordEndOfFormerRuns(const ProxyRun &run, TimePoint now)
{
    const auto first = this->unreported.lower_bound(ProxyRun{run.proxy, 0});
    auto last = first;
    while (last != this->unreported.end() && last->proxy == run.proxy)
        ++last;
    if (first == last)
        return;
    this->refillAll(now);
    this->unreported.erase(first, last);
}

TeamTokenGrant BudgetAllocator::grant(Pooler &pooler, const TeamTokenUse &use, TimePoint now)
{
    TeamTokenGrant granted;
    granted.team = use.team;
    Bucket *bucket = this->bucketOf(use.team);
    if (bucket == nullptr || !bucket->isLimited)
        return granted;
    Holding &holding = pooler.holdings[use.team];
    const std::uint32_t largest = this->largestHolding(*bucket, this->poolerCount);
    const std::uint32_t room = largest - std::min(largest, holding.tokens);
    const auto available = [](double tokens) {
        return static_cast<std::uint32_t>(std::floor(std::max(0.0, tokens)));
    };
    const std::uint32_t asked = std::min(use.waiting, room);
    granted.tokens = std::min(asked, available(bucket->tokens));
    const bool isSettled =
        now >= this->startedAt + StartTime && this->assumedAtPoolers(*bucket, now) == 0;
    granted.exhausted = granted.tokens < asked && isSettled;
    if (granted.exhausted)
        this->reportExhausted(use.team, *bucket, now);
    const double free = bucket->tokens - granted.tokens - ReservedPart * bucket->capacity;
    granted.tokens += std::min({use.wanted, room - granted.tokens, available(free)});
    if (granted.tokens == 0)
        return granted;
    bucket->tokens -= granted.tokens;
    bucket->atPoolers += granted.tokens;
    holding.tokens += granted.tokens;
    holding.endsAt = this->endOfTokens(now);
    return granted;
}

void BudgetAllocator::reportExhausted(const TeamId &team, Bucket &bucket, TimePoint now)
{
    if (now < bucket.nextLogAt)
        return;
    bucket.nextLogAt = now + LogInterval;
    this->exhausted(team, {{"team", team.value},
                           {"rate_per_s", absl::StrCat(bucket.limit.operationsPerSecond)},
                           {"burst", absl::StrCat(bucket.limit.burst)},
                           {"at_poolers", absl::StrCat(bucket.atPoolers)},
                           {"capacity", absl::StrCat(bucket.capacity)}});
}

TokenAnswer BudgetAllocator::answer(const ProxyRun &run, const TokenReport &report, TimePoint now)
{
    TokenAnswer answer;
    answer.sequence = report.sequence;
    answer.epoch = this->epoch;
    answer.lifetime = this->rules.tokenLifetime;
    const auto known = this->poolers.find(run);
    const bool isFirstReport = known == this->poolers.end();
    const bool isWhole = report.epoch == 0;
    if (!isWhole && (report.epoch != this->epoch || isFirstReport)) {
        answer.needsWholeReport = true;
        return answer;
    }
    // A late report must not replace a newer one.
    if (!isFirstReport && report.sequence <= known->second.sequence)
        return answer;
    Pooler &pooler = this->poolers[run];
    pooler.sequence = report.sequence;
    pooler.heardAt = now;
    this->recordEndOfFormerRuns(run, now);
    if (isWhole)
        this->releaseUnlisted(pooler, report, now);
    const TeamTokenUse *previous = nullptr;
    for (const TeamTokenUse &use : report.teams) {
        // Only a malformed report lists a team twice.
        if (previous != nullptr && !(previous->team < use.team))
            continue;
        previous = &use;
        this->recordUse(pooler, isFirstReport, use, now);
        const TeamTokenGrant granted = this->grant(pooler, use, now);
        if (granted.tokens != 0 || granted.exhausted)
            answer.grants.push_back(granted);
    }
    return answer;
}

void BudgetAllocator::advance(TimePoint now)
{
    if (now < this->sweepAt)
        return;
    this->sweepAt = now + SweepInterval;
    for (auto entry = this->poolers.begin(); entry != this->poolers.end();) {
        Pooler &pooler = entry->second;
        bool isEmpty = true;
        for (auto held = pooler.holdings.begin(); held != pooler.holdings.end();) {
            this->expire(held->first, held->second, now);
            isEmpty = isEmpty && held->second.tokens == 0;
            held = held->second.tokens == 0 ? pooler.holdings.erase(held) : std::next(held);
        }
        const bool isOver = isEmpty && now >= pooler.heardAt + SilentRetention;
        entry = isOver ? this->poolers.erase(entry) : std::next(entry);
    }
}

std::map<TeamId, BudgetAllocator::TeamStatus> BudgetAllocator::status() const
{
    std::map<TeamId, TeamStatus> all;
    for (const auto &[team, bucket] : this->buckets) {
        if (bucket.isLimited)
            all[team] = {bucket.tokens, bucket.atPoolers, bucket.capacity};
    }
    return all;
}

} // namespace rhubarbweir
