// One timer that wakes its owner at the earliest deadline asked for.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <functional>
#include <memory>

namespace rhubarbweir {

class EventLoop;

class WakeTimer
{
public:
    WakeTimer(EventLoop &loop, std::function<void()> work);
    ~WakeTimer();
    WakeTimer(const WakeTimer &) = delete;
    WakeTimer &operator=(const WakeTimer &) = delete;

    // Runs the work at `deadline`, unless it is due earlier already. The work asks anew for its
    // next deadline.
    void wakeAt(TimePoint deadline);

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace rhubarbweir
