// Time types. The core never reads a clock; the current time is passed into every call.
#pragma once

#include <chrono>

namespace rhubarbweir {

// Point in time of one instance's monotonic clock. Never sent to another process.
using TimePoint = std::chrono::steady_clock::time_point;
// Only messages and settings contain durations; state contains deadlines instead.
using Duration = std::chrono::microseconds;

} // namespace rhubarbweir
