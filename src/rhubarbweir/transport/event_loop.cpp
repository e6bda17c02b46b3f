// See event_loop.hpp.
#include "rhubarbweir/transport/event_loop.hpp"

#include <asio.hpp>

#include <utility>

namespace rhubarbweir {

struct EventLoop::Parts
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
    asio::signal_set signals{context};
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
    auto timer = std::make_shared<asio::steady_timer>(this->parts->context, deadline);
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

void EventLoop::onStopSignal(std::function<void(int)> handler)
{
    asio::signal_set &signals = this->parts->signals;
    signals.clear();
    signals.add(SIGTERM);
    signals.add(SIGINT);
    signals.async_wait(
        [this, handler = std::move(handler)](const asio::error_code &error, int number) {
            if (error)
                return;
            handler(number);
            this->onStopSignal(handler);
        });
}

TimePoint EventLoop::now()
{
    return std::chrono::steady_clock::now();
}

asio::io_context &EventLoop::context()
{
    return this->parts->context;
}

} // namespace rhubarbweir
