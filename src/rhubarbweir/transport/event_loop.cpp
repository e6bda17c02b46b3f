// See event_loop.hpp.
#include "rhubarbweir/transport/event_loop.hpp"

#include <asio.hpp>
#include <initializer_list>

#include <csignal>
#include <ctime>
#include <utility>

namespace rhubarbweir {

namespace {

// Bounds runReady() where handlers always bring about the next one.
constexpr int MaxReadyHandlers = 1000;

} // namespace

struct EventLoop::Impl
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> workGuard{context.get_executor()};
    asio::signal_set stopSignals{context};
    asio::signal_set reloadSignals{context};
    // Empty until the signals are handled.
    std::function<void(int)> stopHandler;
    std::function<void(int)> reloadHandler;
};

namespace {

void setBlocked(bool isBlocked, std::initializer_list<int> signals)
{
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : signals)
        sigaddset(&set, signal);
    pthread_sigmask(isBlocked ? SIG_BLOCK : SIG_UNBLOCK, &set, nullptr);
}

// Calls the current handler whenever one of the signals arrives.
void handleSignals(asio::signal_set &signals, const std::function<void(int)> &current)
{
    signals.async_wait([&signals, &current](const asio::error_code &error, int number) {
        if (error)
            return;
        // A copy, because the handler may be replaced while it runs.
        const std::function<void(int)> handler = current;
        handler(number);
        handleSignals(signals, current);
    });
}

// The signals stay handled while a handler is replaced.
void installHandler(asio::signal_set &signals, std::initializer_list<int> numbers,
                    std::function<void(int)> &current, std::function<void(int)> handler)
{
    const bool isInstalled = static_cast<bool>(current);
    current = std::move(handler);
    if (isInstalled)
        return;
    for (const int number : numbers)
        signals.add(number);
    handleSignals(signals, current);
    setBlocked(false, numbers);
}

} // namespace

EventLoop::EventLoop()
    : impl(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop()
{
    // Removing a handler restores the default action, which ends the process.
    if (this->impl->stopHandler)
        setBlocked(true, {SIGTERM, SIGINT});
    if (this->impl->reloadHandler)
        setBlocked(true, {SIGHUP});
}

// The context is made ready for the next run after each run, so that a stop() before a run counts.
void EventLoop::run()
{
    this->impl->context.run();
    this->impl->context.restart();
}

void EventLoop::runReady()
{
    for (int handled = 0; handled < MaxReadyHandlers; ++handled) {
        if (this->impl->context.poll_one() == 0)
            break;
    }
    this->impl->context.restart();
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

void EventLoop::holdSignals()
{
    setBlocked(true, {SIGTERM, SIGINT, SIGHUP});
}

void EventLoop::onStopSignal(std::function<void(int)> handler)
{
    installHandler(this->impl->stopSignals, {SIGTERM, SIGINT}, this->impl->stopHandler,
                   std::move(handler));
}

void EventLoop::onReloadSignal(std::function<void()> handler)
{
    installHandler(this->impl->reloadSignals, {SIGHUP}, this->impl->reloadHandler,
                   [handler = std::move(handler)](int) { handler(); });
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
