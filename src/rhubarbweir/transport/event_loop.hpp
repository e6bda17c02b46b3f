// Event loop of one thread for posted work, timers and sockets. Only post() and stop() may be
// called from other threads.
#pragma once

#include "rhubarbweir/state/time.hpp"
#include "rhubarbweir/transport/buffer_budget.hpp"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace rhubarbweir {

class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Runs until stop() is called, and not at all if it was called since the last run. May be
    // called again after that.
    void run();
    // Runs only what is ready, without waiting.
    void runReady();
    // Thread-safe.
    void stop();
    // Runs `work` on the loop's thread. Thread-safe.
    void post(std::function<void()> work);
    // Runs `work` at `deadline`. Cannot be cancelled: `work` has to check whether it is still
    // needed.
    void schedule(TimePoint deadline, std::function<void()> work);
    // Runs `work` repeatedly, `interval` after each previous run, until the loop stops.
    void every(Duration interval, std::function<void()> work);
    // Holds SIGTERM, SIGINT and SIGHUP back in this thread, and in those that it starts, until
    // their handlers are installed on this thread. Has to be called before other threads are
    // started.
    static void holdSignals();
    // Calls `handler` with the signal number on SIGTERM and SIGINT. Replaces a previous handler.
    void onStopSignal(std::function<void(int)> handler);
    // Calls `handler` on SIGHUP. Replaces a previous handler.
    void onReloadSignal(std::function<void()> handler);

    static TimePoint now();
    asio::io_context &context();
    // Of the connections of this loop.
    const std::shared_ptr<BufferBudget> &bufferBudget() const { return this->buffers; }

private:
    struct Impl;
    std::shared_ptr<BufferBudget> buffers = std::make_shared<BufferBudget>();
    std::unique_ptr<Impl> impl;
};

} // namespace rhubarbweir
