// See wake_timer.hpp.
#include "rhubarbweir/transport/wake_timer.hpp"

#include "rhubarbweir/transport/event_loop.hpp"

#include <asio.hpp>

#include <utility>

namespace rhubarbweir {

struct WakeTimer::Impl
{
    Impl(asio::io_context &context, std::function<void()> wakeWork)
        : timer(context)
        , work(std::move(wakeWork))
    {
    }

    asio::steady_timer timer;
    std::function<void()> work;
    TimePoint pendingDeadline = TimePoint::max();
};

WakeTimer::WakeTimer(EventLoop &loop, std::function<void()> work)
    : impl(std::make_unique<Impl>(loop.context(), std::move(work)))
{
}

WakeTimer::~WakeTimer() = default;

void WakeTimer::wakeAt(TimePoint deadline)
{
    if (deadline >= this->impl->pendingDeadline)
        return;
    this->impl->pendingDeadline = deadline;
    // Cancels the pending wait, if any.
    this->impl->timer.expires_after(deadline - EventLoop::now());
    this->impl->timer.async_wait([owner = this->impl.get()](const asio::error_code &error) {
        if (error)
            return;
        owner->pendingDeadline = TimePoint::max();
        owner->work();
    });
}

} // namespace rhubarbweir
