// See retry_budget.hpp.
#include "rhubarbweir/coordination/proxy/retry_budget.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// Maximum number of retries without a success in between.
constexpr double BurstLimit = 32.0;
constexpr std::uint32_t MaxDoublings = 20;

} // namespace

RetryBudget::RetryBudget(double sharePerSuccess)
    : share(sharePerSuccess)
    , available(BurstLimit)
{
}

void RetryBudget::succeeded()
{
    this->available = std::min(BurstLimit, this->available + this->share);
}

bool RetryBudget::tryTake()
{
    if (this->available < 1.0)
        return false;
    this->available -= 1.0;
    return true;
}

Duration jitteredBackoff(Duration base, Duration cap, std::uint32_t attempt,
                         std::mt19937_64 &random)
{
    const std::int64_t factor = std::int64_t{1} << std::min(attempt, MaxDoublings);
    const std::int64_t full = std::min(cap.count(), base.count() * factor);
    const std::int64_t half = full / 2;
    const auto spread = static_cast<std::uint64_t>(full - half + 1);
    return Duration(half + static_cast<std::int64_t>(random() % spread));
}

} // namespace rhubarbweir
