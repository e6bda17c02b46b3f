// See wake_timer.hpp.
#include "rhubarbweir/transport/wake_timer.hpp"

#include "rhubarbweir/transport/event_loop.hpp"

#include <asio.hpp>

#include <utility>

namespace rhubarbweir {

struct WakeTimer::Parts
{
    Parts(asio::io_context &context, std::function<void()> ownersWork)
        : timer(context)
        , work(std::move(ownersWork))
    {
    }

    asio::steady_timer timer;
    std::function<void()> work;
    TimePoint armedFor = TimePoint::max();
};

WakeTimer::WakeTimer(EventLoop &loop, std::function<void()> work)
    : parts(std::make_unique<Parts>(loop.context(), std::move(work)))
{
}

WakeTimer::~WakeTimer() = default;

void WakeTimer::wakeAt(TimePoint deadline)
{
    if (deadline >= this->parts->armedFor)
        return;
    this->parts->armedFor = deadline;
    // Replaces an earlier wait.
    this->parts->timer.expires_after(deadline - EventLoop::now());
    this->parts->timer.async_wait([owner = this->parts.get()](const asio::error_code &error) {
        if (error)
            return;
        owner->armedFor = TimePoint::max();
        owner->work();
    });
}

} // namespace rhubarbweir
