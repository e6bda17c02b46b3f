// Writes the lines of a log on a thread of its own, so that output that is slow, full, gone or not
// read never blocks its callers. Memory is bounded: lines that do not fit are dropped and counted.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

namespace rhubarbweir {

class LogWriter
{
public:
    // The descriptor must stay open until the process ends, as a blocked write may outlive this
    // object.
    explicit LogWriter(int descriptor);
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;
    ~LogWriter();

    // Queues a line, which includes its newline. Thread-safe.
    void append(std::string_view line);
    // Waits until the queued lines are written or lost, for at most `limit`. Thread-safe.
    void flush(std::chrono::milliseconds limit);
    // Lines that were dropped or could not be written. Thread-safe.
    std::uint64_t droppedLines() const;
    // Returns the number of lines dropped since the last such call once the queue has room and the
    // output takes lines again; 0 otherwise. Thread-safe.
    std::uint64_t takeDropsToTell();
    // Whether a line is not written yet. May be called in a signal handler.
    bool hasUnwrittenLines() const;

private:
    struct State;

    // Shared with the thread, which is never joined.
    std::shared_ptr<State> state;
};

} // namespace rhubarbweir
