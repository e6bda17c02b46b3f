// Limits on the operations of teams over the whole fleet. An operation is a statement outside a
// transaction, or a whole transaction.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <chrono>

namespace rhubarbweir {

// Limit of one team: a token bucket.
struct TeamLimit
{
    double operationsPerSecond = 0;
    double burst = 0;

    friend bool operator==(const TeamLimit &a, const TeamLimit &b)
    {
        return a.operationsPerSecond == b.operationsPerSecond && a.burst == b.burst;
    }
};

// How strictly all limits are kept: in any window at most
// (operationsPerSecond * window + burst) * (1 + overshoot) + slack operations run.
struct TeamLimitRules
{
    Duration window = std::chrono::seconds(5);
    double overshoot = 0;
    double slack = 0;
    // A token that a pooler holds may be spent for this long after the pooler asked for it.
    Duration tokenLifetime = std::chrono::seconds(3);
};

} // namespace rhubarbweir
