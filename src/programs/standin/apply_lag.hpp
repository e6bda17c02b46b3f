// Delay between receiving and applying a log entry on a stand-in replica. The lag is drawn at
// random, from a seeded generator, and drawn again after some time.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <random>

namespace rhubarbweir {

struct ApplyLagSettings
{
    Duration shortest = std::chrono::milliseconds(50);
    Duration longest = std::chrono::milliseconds(2000);
    // Time until the next draw.
    Duration holdFor = std::chrono::seconds(5);
    // Probability that a draw starts a spell, a period of `spellFor` with the lag `spellLag`.
    double spellShare = 0;
    Duration spellLag = std::chrono::seconds(30);
    Duration spellFor = std::chrono::seconds(30);
};

class ApplyLag
{
public:
    ApplyLag(ApplyLagSettings lagSettings, std::uint64_t seed);

    // The lag at `now`; draws a new one if the last one has expired.
    Duration at(TimePoint now);
    // When the lag that at() returned last expires.
    TimePoint changesAt() const { return this->endsAt; }

private:
    void draw(TimePoint now);

    ApplyLagSettings settings;
    std::mt19937_64 random;
    Duration current{0};
    TimePoint endsAt{};
};

} // namespace rhubarbweir
