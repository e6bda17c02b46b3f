// Limits retries to a share of recent successes, and computes backoff delays.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <random>

namespace rhubarbweir {

class RetryBudget
{
public:
    explicit RetryBudget(double sharePerSuccess);

    void succeeded();
    // Takes one retry from the budget; false if the budget is exhausted.
    bool tryTake();

private:
    double share;
    // Between 0 and BurstLimit.
    double available;
};

// Exponential backoff with equal jitter: uniform between half and all of the exponential delay,
// which is at most `cap`. `attempt` counts from 0.
Duration jitteredBackoff(Duration base, Duration cap, std::uint32_t attempt,
                         std::mt19937_64 &random);

} // namespace rhubarbweir
