// Maps a maximum staleness to the log position that sufficiently fresh data has to cover.
#pragma once

#include "rhubarbweir/state/log_position.hpp"
#include "rhubarbweir/state/time.hpp"

#include <deque>
#include <optional>

namespace rhubarbweir {

class FreshnessTracker
{
public:
    // Records that data covering `position` includes every write confirmed before `asOf`. Must be
    // called in ascending order of `asOf`.
    void record(TimePoint asOf, const LogPosition &position);
    // Empty when no recorded position is recent enough.
    std::optional<LogPosition> minimumFor(Duration maxAge, TimePoint now) const;

private:
    struct Sample
    {
        TimePoint asOf;
        LogPosition position;
    };

    // Oldest first; bounded.
    std::deque<Sample> samples;
};

} // namespace rhubarbweir
