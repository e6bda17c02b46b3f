// Time as the control log carries it: it advances only with committed commands, so that every
// instance sees the same time at the same index.
#pragma once

#include "rhubarbweir/state/time.hpp"

namespace rhubarbweir {

// Runs only while a leader holds office; lifetimes counted by it are therefore lower bounds.
struct LogClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<LogClock, Duration>;
    static constexpr bool is_steady = true;
};

using LogTime = LogClock::time_point;

} // namespace rhubarbweir
