// How far a stand-in replica's reads trail what it received; changes by seed over time.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <random>

namespace rhubarbweir {

struct ApplyLagSettings
{
    Duration least = std::chrono::milliseconds(50);
    Duration greatest = std::chrono::milliseconds(2000);
    // How long one drawn lag holds.
    Duration holdFor = std::chrono::seconds(5);
    // Chance that a draw starts a spell, in which the lag is `spellLag` for `spellFor`.
    double spellShare = 0;
    Duration spellLag = std::chrono::seconds(30);
    Duration spellFor = std::chrono::seconds(30);
};

class ApplyLag
{
public:
    ApplyLag(ApplyLagSettings lagSettings, std::uint64_t seed);

    // The lag that holds at `now`; draws a new one when the last has ended.
    Duration at(TimePoint now);
    // When the lag of the last call of at() ends.
    TimePoint changesAt() const { return this->endsAt; }

private:
    void draw(TimePoint now);

    ApplyLagSettings settings;
    std::mt19937_64 random;
    Duration current{0};
    TimePoint endsAt{};
};

} // namespace rhubarbweir
