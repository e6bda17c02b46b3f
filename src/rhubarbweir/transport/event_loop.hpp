// One thread's event loop: posted work, timers and sockets. Nothing in it is shared between
// threads except post() and stop().
#pragma once

#include "rhubarbweir/state/time.hpp"

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

    // Runs until stop(); a second run() after stop() is allowed.
    void run();
    // Callable from any thread.
    void stop();
    // Runs `work` on the loop's thread; callable from any thread.
    void post(std::function<void()> work);
    // Runs `work` at `deadline`. There is no way to cancel: the work checks whether it is due.
    void schedule(TimePoint deadline, std::function<void()> work);
    // Runs `work` every `interval` from now on, until the loop ends.
    void every(Duration interval, std::function<void()> work);
    // Calls `handler` with the signal's number on SIGTERM and SIGINT.
    void onStopSignal(const std::function<void(int)> &handler);
    // Calls `handler` on SIGHUP.
    void onReloadSignal(std::function<void()> handler);

    static TimePoint now();
    asio::io_context &context();

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace rhubarbweir
