// See freshness_tracker.hpp.
#include "rhubarbweir/coordination/proxy/freshness_tracker.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

constexpr std::size_t MaxSamples = 1024;

} // namespace

void FreshnessTracker::record(TimePoint asOf, const LogPosition &position)
{

    this->samples.push_back({asOf, position});
    if (this->samples.size() > MaxSamples)
        this->samples.pop_front();
}

std::optional<LogPosition> FreshnessTracker::minimumFor(Duration maxAge, TimePoint now) const
{
    const TimePoint oldest = now - maxAge;
    const auto found =
        std::lower_bound(this->samples.begin(), this->samples.end(), oldest,
                         [](const Sample &sample, TimePoint at) { return sample.asOf < at; });
    if (found == this->samples.end())
        return std::nullopt;
    return found->position;
}

} // namespace rhubarbweir
