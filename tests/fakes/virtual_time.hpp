// Virtual clock with an event queue: events run in order of time, events of equal time in the order
// in which they were scheduled.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <functional>
#include <map>
#include <utility>

namespace rhubarbweir::fakes {

class VirtualTime
{
public:
    TimePoint now() const { return this->current; }

    void at(TimePoint when, std::function<void()> work)
    {
        this->events.emplace(std::pair(std::max(when, this->current), ++this->scheduledCount),
                             std::move(work));
    }

    void after(Duration delay, std::function<void()> work)
    {
        this->at(this->current + delay, std::move(work));
    }

    void runUntil(TimePoint end)
    {
        while (!this->events.empty() && this->events.begin()->first.first <= end) {
            const auto first = this->events.begin();
            this->current = first->first.first;
            const auto work = std::move(first->second);
            this->events.erase(first);
            work();
        }
        this->current = end;
    }

    void runFor(Duration length) { this->runUntil(this->current + length); }

private:
    TimePoint current = TimePoint() + std::chrono::seconds(1000);
    std::uint64_t scheduledCount = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events;
};

} // namespace rhubarbweir::fakes
