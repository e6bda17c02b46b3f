// See event_loop.hpp.
#include "rhubarbweir/transport/event_loop.hpp"

#include <asio.hpp>

#include <ctime>
#include <utility>

namespace rhubarbweir {

struct EventLoop::Impl
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> workGuard{context.get_executor()};
    asio::signal_set stopSignals{context};
    asio::signal_set reloadSignals{context};
};

EventLoop::EventLoop()
    : impl(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    this->impl->context.restart();
    this->impl->context.run();
}

void EventLoop::stop()
{
    this->impl->context.stop();
}

void EventLoop::post(std::function<void()> work)
{
    asio::post(this->impl->context, std::move(work));
}

void EventLoop::schedule(TimePoint deadline, std::function<void()> work)
{
    auto timer = std::make_shared<asio::steady_timer>(this->impl->context, deadline - now());
    timer->async_wait([timer, work = std::move(work)](const asio::error_code &error) {
        if (!error)
            work();
    });
}

void EventLoop::every(Duration interval, std::function<void()> work)
{
    this->schedule(now() + interval, [this, interval, work = std::move(work)] {
        work();
        this->every(interval, work);
    });
}

namespace {

// Calls `handler` whenever one of the signals arrives.
void handleSignals(asio::signal_set &signals, const std::function<void(int)> &handler)
{
    signals.async_wait([&signals, handler](const asio::error_code &error, int number) {
        if (error)
            return;
        handler(number);
        handleSignals(signals, handler);
    });
}

} // namespace

void EventLoop::onStopSignal(const std::function<void(int)> &handler)
{
    this->impl->stopSignals.clear();
    this->impl->stopSignals.add(SIGTERM);
    this->impl->stopSignals.add(SIGINT);
    handleSignals(this->impl->stopSignals, handler);
}

void EventLoop::onReloadSignal(std::function<void()> handler)
{
    this->impl->reloadSignals.clear();
    this->impl->reloadSignals.add(SIGHUP);
    handleSignals(this->impl->reloadSignals, [handler = std::move(handler)](int) { handler(); });
}

TimePoint EventLoop::now()
{
    // Unlike the steady clock, CLOCK_BOOTTIME keeps running while the machine is suspended.
    // Otherwise a lease would still seem valid after its end.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

asio::io_context &EventLoop::context()
{
    return this->impl->context;
}

} // namespace rhubarbweir
