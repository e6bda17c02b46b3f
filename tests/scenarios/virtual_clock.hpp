// Virtual time: work runs in the order of its deadlines, ties in the order of scheduling.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <functional>
#include <map>
#include <utility>

namespace rhubarbweir::testing {

class VirtualClock
{
public:
    TimePoint now() const { return this->current; }

    void at(TimePoint deadline, std::function<void()> work)
    {
        this->queue.emplace(std::max(deadline, this->current), std::move(work));
    }

    void after(Duration delay, std::function<void()> work)
    {
        this->at(this->current + delay, std::move(work));
    }

    // Runs everything that is due until `end`, which becomes the current time.
    void runUntil(TimePoint end)
    {
        while (!this->queue.empty() && this->queue.begin()->first <= end) {
            auto next = this->queue.extract(this->queue.begin());
            this->current = next.key();
            next.mapped()();
        }
        this->current = end;
    }

private:
    // Not the clock's epoch, so that a default TimePoint always lies in the past.
    TimePoint current{std::chrono::hours(1)};
    std::multimap<TimePoint, std::function<void()>> queue;
};

} // namespace rhubarbweir::testing
