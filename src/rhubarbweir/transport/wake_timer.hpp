// Timer that runs its owner's work at the earliest requested deadline.
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

    // Runs the work at `deadline`, unless an earlier deadline is already pending. The work runs
    // once and has to call wakeAt() again for its next deadline.
    void wakeAt(TimePoint deadline);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace rhubarbweir
