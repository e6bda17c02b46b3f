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
    // Uniform in the logarithm: short lags are as common as long ones.
    const double least = std::log(1.0 + static_cast<double>(this->settings.least.count()));
    const double greatest = std::log(1.0 + static_cast<double>(this->settings.greatest.count()));
    const double drawn = std::exp(least + (greatest - least) * uniform(this->random)) - 1.0;
    this->current = Duration(std::llround(drawn));
    this->endsAt = now + this->settings.holdFor;
}

} // namespace rhubarbweir
