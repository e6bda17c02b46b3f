// See log_writer.hpp.
#include "programs/support/log_writer.hpp"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <poll.h>
#include <string>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>

namespace rhubarbweir {

namespace {

// Of the lines that wait, and again of those that are being written.
constexpr std::size_t MaxQueuedBytes = std::size_t{128} * 1024;
// Drops are told when this much of the queue is free, not for every gap that a slow reader makes.
constexpr std::size_t RoomToTellDrops = MaxQueuedBytes / 2;

std::uint64_t lineCount(std::string_view text)
{
    return static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n'));
}

// Keeps the handled signals from a thread that starts during its lifetime, so that they reach the
// other threads.
class SignalsBlocked
{
public:
    SignalsBlocked()
    {
        sigset_t blocked;
        sigemptyset(&blocked);
        for (const int handled : {SIGHUP, SIGINT, SIGTERM})
            sigaddset(&blocked, handled);
        pthread_sigmask(SIG_BLOCK, &blocked, &this->previous);
    }
    SignalsBlocked(const SignalsBlocked &) = delete;
    SignalsBlocked &operator=(const SignalsBlocked &) = delete;
    ~SignalsBlocked() { pthread_sigmask(SIG_SETMASK, &this->previous, nullptr); }

private:
    sigset_t previous{};
};

} // namespace

struct LogWriter::State
{
    explicit State(int output)
        : descriptor(output)
    {
        // The thread allocates nothing, so that it needs no memory pool of its own.
        this->queued.reserve(MaxQueuedBytes);
        this->writing.reserve(MaxQueuedBytes);
    }

    // Writes queued lines until the process ends.
    void run();
    // Returns the number of lines that could not be written.
    std::uint64_t write(std::string_view lines);

    const int descriptor;
    std::mutex mutex;
    std::condition_variable linesQueued;
    std::condition_variable allWritten;
    std::string queued;
    bool isWriting = false;
    bool hasThread = false;
    // Whether the last write lost lines.
    bool isFailing = false;
    std::uint64_t dropped = 0;
    std::uint64_t untoldDrops = 0;
    std::atomic<bool> hasUnwritten{false};
    // Only the thread uses these.
    std::string writing;
    // Last character of the output, which ends within a line if a write failed halfway.
    char lastWritten = '\n';
};

LogWriter::LogWriter(int descriptor)
    : state(std::make_shared<State>(descriptor))
{
}

LogWriter::~LogWriter() = default;

void LogWriter::append(std::string_view line)
{
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    if (this->state->queued.size() + line.size() > MaxQueuedBytes) {
        ++this->state->dropped;
        ++this->state->untoldDrops;
        return;
    }
    this->state->queued.append(line);
    this->state->hasUnwritten = true;
    if (!this->state->hasThread) {
        const SignalsBlocked signalsBlocked;
        try {
            std::thread([shared = this->state] { shared->run(); }).detach();
            this->state->hasThread = true;
        } catch (const std::system_error &) {
            // The limit of threads is reached. The next line tries again.
            return;
        }
    }
    if (!this->state->isWriting)
        this->state->linesQueued.notify_one();
}

void LogWriter::flush(std::chrono::milliseconds limit)
{
    std::unique_lock<std::mutex> lock(this->state->mutex);
    this->state->allWritten.wait_for(
        lock, limit, [this] { return this->state->queued.empty() && !this->state->isWriting; });
}

std::uint64_t LogWriter::droppedLines() const
{
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    return this->state->dropped;
}

std::uint64_t LogWriter::takeDropsToTell()
{
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    if (this->state->isFailing || this->state->queued.size() > MaxQueuedBytes - RoomToTellDrops)
        return 0;
    return std::exchange(this->state->untoldDrops, 0);
}

bool LogWriter::hasUnwrittenLines() const
{
    return this->state->hasUnwritten;
}

void LogWriter::State::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    for (;;) {
        this->linesQueued.wait(lock, [this] { return !this->queued.empty(); });
        this->queued.swap(this->writing);
        this->isWriting = true;
        lock.unlock();
        const std::uint64_t lost = this->write(this->writing);
        this->writing.clear();
        lock.lock();
        this->isWriting = false;
        this->isFailing = lost != 0;
        this->dropped += lost;
        this->untoldDrops += lost;
        if (this->queued.empty()) {
            this->hasUnwritten = false;
            this->allWritten.notify_all();
        }
    }
}

std::uint64_t LogWriter::State::write(std::string_view lines)
{
    bool needsNewline = this->lastWritten != '\n';
    while (!lines.empty()) {
        const std::string_view part = needsNewline ? std::string_view("\n") : lines;
        const ssize_t count = ::write(this->descriptor, part.data(), part.size());
        if (count > 0) {
            this->lastWritten = part[static_cast<std::size_t>(count) - 1];
            if (!std::exchange(needsNewline, false))
                lines.remove_prefix(static_cast<std::size_t>(count));
        } else if (count < 0 && errno == EAGAIN) {
            // Another process has made the shared output non-blocking.
            pollfd ready{this->descriptor, POLLOUT, 0};
            ::poll(&ready, 1, -1);
        } else if (count == 0 || errno != EINTR) {
            return lineCount(lines);
        }
    }
    return 0;
}

} // namespace rhubarbweir
