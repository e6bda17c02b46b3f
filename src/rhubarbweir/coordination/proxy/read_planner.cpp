// See read_planner.hpp.
#include "rhubarbweir/coordination/proxy/read_planner.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

constexpr double MaxFallbackCredit = 4.0;

// The lowest position that covers both.
LogPosition leastUpperBound(const LogPosition &a, const LogPosition &b)
{
    return {std::max(a.term, b.term), std::max(a.position, b.position)};
}

} // namespace

ReadPlanner::ReadPlanner(const ProxySettings &givenSettings)
    : settings(givenSettings)
{
}

ReadPlan ReadPlanner::plan(const PendingRequest &pending, const GroupView &group,
                           const TargetPool &pool, bool hasWaitingWrites, TimePoint now) const
{
    ReadPlan plan;
    const auto minimum = this->minimumFor(pending, now);
    if (!minimum) {
        plan.needsRound = true;
        return plan;
    }
    plan.minimum = *minimum;
    const auto choice = this->selector.choose(group, pool, *minimum, now);
    plan.target = choice.replica;
    if (choice.anyCovers)
        return plan;
    const TimePoint catchUpDeadline = pending.arrivedAt + this->settings.replicaCatchUpLimit;
    if (choice.anyUsable && now < catchUpDeadline) {
        plan.replanAt = catchUpDeadline;
        return plan;
    }
    if (!this->primaryMayServe(pending, group, pool, hasWaitingWrites, now))
        return plan;
    plan.target = group.primary;
    plan.isFallback = true;
    // The primary of the term holds every confirmed write, so no minimum position applies.
    plan.minimum = LogPosition{};
    return plan;
}

std::optional<LogPosition> ReadPlanner::minimumFor(const PendingRequest &pending,
                                                   TimePoint now) const
{
    const CallerRequest &request = pending.request;
    const LogPosition seen = request.token.required(request.group);
    switch (request.consistency) {
    case Consistency::Session:
        return seen;
    case Consistency::Latest:
        if (!pending.index)
            return std::nullopt;
        return leastUpperBound(seen, *pending.index);
    case Consistency::Bounded:
        break;
    }
    const auto fresh = this->freshness.minimumFor(request.maxAge, now);
    if (!fresh)
        return std::nullopt;
    return leastUpperBound(seen, *fresh);
}

void ReadPlanner::roundCompleted(const ReadIndexRound &round)
{
    this->freshness.record(round.startedAt, round.index);
}

void ReadPlanner::readStarted(const ReadPlan &plan)
{
    if (!plan.isFallback) {
        this->selector.recordAssignment(*plan.target);
        return;
    }
    ++this->runningFallbacks;
    this->fallbackCredit = std::max(0.0, this->fallbackCredit - 1.0);
}

void ReadPlanner::fallbackEnded()
{
    if (this->runningFallbacks > 0)
        --this->runningFallbacks;
}

void ReadPlanner::writeStarted()
{
    const double share = this->settings.primaryReadShare;
    this->fallbackCredit =
        std::min(MaxFallbackCredit, this->fallbackCredit + share / (1.0 - share));
}

bool ReadPlanner::primaryMayServe(const PendingRequest &pending, const GroupView &group,
                                  const TargetPool &pool, bool hasWaitingWrites,
                                  TimePoint now) const
{
    // A session that observed a newer term must not read from a primary of an older term.
    if (pending.request.token.required(group.group).term > group.term)
        return false;
    if (!pool.hasServingPrimary(group) || !pool.canAcquire(group.primary, now))
        return false;
    const auto share = static_cast<std::uint32_t>(pool.slots().limit(group.primary)
                                                  * this->settings.primaryReadShare);
    if (this->runningFallbacks >= std::max<std::uint32_t>(1, share))
        return false;
    return !hasWaitingWrites || this->fallbackCredit >= 1.0;
}

} // namespace rhubarbweir
