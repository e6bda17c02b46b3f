// See read_planner.hpp.
#include "rhubarbweir/coordination/proxy/read_planner.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

constexpr double MaxCredit = 4.0;

// A position whose cover covers both.
LogPosition coverOfBoth(const LogPosition &a, const LogPosition &b)
{
    return {std::max(a.term, b.term), std::max(a.position, b.position)};
}

} // namespace

ReadPlanner::ReadPlanner(const ProxySettings &givenSettings)
    : settings(givenSettings)
{
}

ReadPlan ReadPlanner::plan(const HolderWork &work, const GroupView &group, const TargetPool &pool,
                           bool writesWait, TimePoint now) const
{
    ReadPlan plan;
    const auto minimum = this->minimumFor(work, now);
    if (!minimum) {
        plan.needsRound = true;
        return plan;
    }
    plan.minimum = *minimum;
    const auto choice = this->selector.choose(group, pool, *minimum, now);
    plan.target = choice.replica;
    if (choice.anyCovers)
        return plan;
    const TimePoint patienceEnd = work.arrivedAt + this->settings.replicaPatience;
    if (choice.anyUsable && now < patienceEnd) {
        plan.againAt = patienceEnd;
        return plan;
    }
    if (!this->primaryMayServe(work, group, pool, writesWait, now))
        return plan;
    plan.target = group.primary;
    plan.isFallback = true;
    // The primary of the term holds every confirmed write, whatever its position.
    plan.minimum = LogPosition{};
    return plan;
}

std::optional<LogPosition> ReadPlanner::minimumFor(const HolderWork &work, TimePoint now) const
{
    const CallerRequest &request = work.request;
    const LogPosition seen = request.token.required(request.group);
    switch (request.consistency) {
    case Consistency::Session:
        return seen;
    case Consistency::Latest:
        if (!work.index)
            return std::nullopt;
        return coverOfBoth(seen, *work.index);
    case Consistency::Bounded:
        break;
    }
    const auto fresh = this->freshness.minimumFor(request.maxAge, now);
    if (!fresh)
        return std::nullopt;
    return coverOfBoth(seen, *fresh);
}

void ReadPlanner::roundCompleted(const ReadIndexRound &round)
{
    this->freshness.record(round.startedAt, round.index);
}

void ReadPlanner::started(const ReadPlan &plan)
{
    if (!plan.isFallback) {
        this->selector.served(*plan.target);
        return;
    }
    ++this->fallbacks;
    this->credit = std::max(0.0, this->credit - 1.0);
}

void ReadPlanner::fallbackEnded()
{
    if (this->fallbacks > 0)
        --this->fallbacks;
}

void ReadPlanner::writeStarted()
{
    const double share = this->settings.primaryReadShare;
    this->credit = std::min(MaxCredit, this->credit + share / (1.0 - share));
}

bool ReadPlanner::primaryMayServe(const HolderWork &work, const GroupView &group,
                                  const TargetPool &pool, bool writesWait, TimePoint now) const
{
    // A session that saw a newer term must not be answered from an older one.
    if (work.request.token.required(group.group).term > group.term)
        return false;
    if (!pool.hasServingPrimary(group) || !pool.canAcquire(group.primary, now))
        return false;
    const auto share = static_cast<std::uint32_t>(pool.slots().limit(group.primary)
                                                  * this->settings.primaryReadShare);
    if (this->fallbacks >= std::max<std::uint32_t>(1, share))
        return false;
    return !writesWait || this->credit >= 1.0;
}

} // namespace rhubarbweir
