// Time types. The core never reads a clock: every call is handed the current time.
#pragma once

#include <chrono>

namespace rhubarbweir {

// A point on one instance's monotonic clock; never sent to another process.
using TimePoint = std::chrono::steady_clock::time_point;
// A length of time; only messages and settings hold one, state holds deadlines.
using Duration = std::chrono::microseconds;

} // namespace rhubarbweir
