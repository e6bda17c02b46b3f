// Turns a greatest age into a log position that data of that age or younger has to cover.
#pragma once

#include "rhubarbweir/state/log_position.hpp"
#include "rhubarbweir/state/time.hpp"

#include <deque>
#include <optional>

namespace rhubarbweir {

class FreshnessTracker
{
public:
    // Data that covers `position` shows every write confirmed before `asOf`. Called in the order
    // of `asOf`.
    void record(TimePoint asOf, const LogPosition &position);
    // Empty when nothing recorded is young enough.
    std::optional<LogPosition> minimumFor(Duration maxAge, TimePoint now) const;

private:
    struct Sample
    {
        TimePoint asOf;
        LogPosition position;
    };

    // Oldest first, bounded.
    std::deque<Sample> samples;
};

} // namespace rhubarbweir
