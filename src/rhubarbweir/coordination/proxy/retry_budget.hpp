// Bounds retries to a share of recent successes and spaces them out.
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
    // Takes one retry from the budget; false when it is used up.
    bool tryTake();

private:
    double share;
    // Between 0 and the burst limit.
    double available;
};

// Exponential with full jitter in its upper half; `attempt` counts from 0.
Duration jitteredBackoff(Duration base, Duration cap, std::uint32_t attempt,
                         std::mt19937_64 &random);

} // namespace rhubarbweir
