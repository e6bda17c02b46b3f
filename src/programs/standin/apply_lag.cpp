// See apply_lag.hpp.
#include "programs/standin/apply_lag.hpp"

#include <cmath>

namespace rhubarbweir {

ApplyLag::ApplyLag(ApplyLagSettings lagSettings, std::uint64_t seed)
    : settings(lagSettings)
    , random(seed)
{
}

Duration ApplyLag::at(TimePoint now)
{
    if (now >= this->endsAt)
        this->draw(now);
    return this->current;
}

void ApplyLag::draw(TimePoint now)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    if (uniform(this->random) < this->settings.spellShare) {
        this->current = this->settings.spellLag;
        this->endsAt = now + this->settings.spellFor;
        return;
    }
    // Log-uniform, so that each order of magnitude is equally likely.
    const double lowerBound = std::log(1.0 + static_cast<double>(this->settings.shortest.count()));
    const double upperBound = std::log(1.0 + static_cast<double>(this->settings.longest.count()));
    const double drawn =
        std::exp(lowerBound + (upperBound - lowerBound) * uniform(this->random)) - 1.0;
    this->current = Duration(std::llround(drawn));
    this->endsAt = now + this->settings.holdFor;
}

} // namespace rhubarbweir
