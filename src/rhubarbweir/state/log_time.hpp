// Time recorded in the control log. It advances only with committed commands, so every instance
// has the same time at the same log index.
#pragma once

#include "rhubarbweir/state/time.hpp"

namespace rhubarbweir {

// Does not advance while there is no leader, so durations measured with it are lower bounds of the
// elapsed time.
struct LogClock;

using LogTime = std::chrono::time_point<LogClock, Duration>;

} // namespace rhubarbweir
