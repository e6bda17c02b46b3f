// See event_loop.hpp.
#include "rhubarbweir/transport/event_loop.hpp"

#include <asio.hpp>

#include <ctime>
#include <utility>

namespace rhubarbweir {

struct EventLoop::Parts
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
    asio::signal_set signals{context};
    asio::signal_set reloadSignals{context};
};

EventLoop::EventLoop()
    : parts(std::make_unique<Parts>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    this->parts->context.restart();
    this->parts->context.run();
}

void EventLoop::stop()
{
    this->parts->context.stop();
}

void EventLoop::post(std::function<void()> work)
{
    asio::post(this->parts->context, std::move(work));
}

void EventLoop::schedule(TimePoint deadline, std::function<void()> work)
{
    auto timer = std::make_shared<asio::steady_timer>(this->parts->context, deadline - now());
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

// Calls `handler` for every arrival of one of the signals.
void watch(asio::signal_set &signals, const std::function<void(int)> &handler)
{
    signals.async_wait([&signals, handler](const asio::error_code &error, int number) {
        if (error)
            return;
        handler(number);
        watch(signals, handler);
    });
}

} // namespace

void EventLoop::onStopSignal(const std::function<void(int)> &handler)
{
    this->parts->signals.clear();
    this->parts->signals.add(SIGTERM);
    this->parts->signals.add(SIGINT);
    watch(this->parts->signals, handler);
}

void EventLoop::onReloadSignal(std::function<void()> handler)
{
    this->parts->reloadSignals.clear();
    this->parts->reloadSignals.add(SIGHUP);
    watch(this->parts->reloadSignals, [handler = std::move(handler)](int) { handler(); });
}

TimePoint EventLoop::now()
{
    // Unlike the steady clock it goes on while the machine is suspended, so that a lease never
    // outlives its end.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

asio::io_context &EventLoop::context()
{
    return this->parts->context;
}

} // namespace rhubarbweir
