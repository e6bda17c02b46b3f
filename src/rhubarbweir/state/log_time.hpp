// Time as the control log carries it: it advances only with committed commands, so that every
// instance sees the same time at the same index.
#pragma once

#include "rhubarbweir/state/time.hpp"

namespace rhubarbweir {

// Runs only while a leader holds office; lifetimes counted by it are therefore lower bounds.
struct LogClock;

using LogTime = std::chrono::time_point<LogClock, Duration>;

} // namespace rhubarbweir
