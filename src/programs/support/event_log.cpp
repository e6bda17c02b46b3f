// See event_log.hpp.
#include "programs/support/event_log.hpp"

#include "programs/support/abnormal_end.hpp"
#include "programs/support/log_writer.hpp"

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <memory>
#include <mutex>
#include <unistd.h>

namespace rhubarbweir {

namespace {

constexpr mode_t LogFileMode = 0644;
// How long an exit waits for lines that are still queued.
constexpr std::chrono::milliseconds ExitFlushTimeout{200};
// How long a fatal signal waits for them, and how often it looks.
constexpr std::chrono::milliseconds SignalFlushTimeout{100};
constexpr std::chrono::milliseconds SignalFlushInterval{2};

std::string instanceName;
std::atomic<std::int64_t> lastClock{0};
// Null before the log is opened. Never freed, as signal handlers and the writer's thread use it
// until the process ends.
std::atomic<LogWriter *> writer{nullptr};

class WriterSink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit WriterSink(LogWriter &output)
        : target(output)
    {
    }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        spdlog::memory_buf_t line;
        this->formatter_->format(message, line);
        this->target.append({line.data(), line.size()});
    }
    void flush_() override { }

private:
    LogWriter &target;
};

spdlog::level::level_enum spdlogLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        break;
    }
    return spdlog::level::err;
}

// Errors: InvalidArgument when the file cannot be opened.
absl::StatusOr<int> openOutput(const EventLogSettings &settings)
{
    if (settings.file.empty())
        return settings.toStandardOutput ? STDOUT_FILENO : STDERR_FILENO;
    std::error_code ignored;
    std::filesystem::create_directories(std::filesystem::path(settings.file).parent_path(),
                                        ignored);
    const int descriptor =
        ::open(settings.file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogFileMode);
    if (descriptor < 0)
        return absl::InvalidArgumentError(
            absl::StrCat("cannot open the log file ", settings.file, ": ", std::strerror(errno)));
    return descriptor;
}

// Called in a signal handler.
void waitForWriter()
{
    const LogWriter *current = writer;
    const timespec interval{
        0, std::chrono::duration_cast<std::chrono::nanoseconds>(SignalFlushInterval).count()};
    for (auto waited = SignalFlushInterval; waited <= SignalFlushTimeout;
         waited += SignalFlushInterval) {
        if (current == nullptr || !current->hasUnwrittenLines())
            return;
        nanosleep(&interval, nullptr);
    }
}

std::string quotedValue(const std::string &value)
{
    const bool needsNoQuotes =
        !value.empty() && value.find_first_of(" =\"\n\\") == std::string::npos;
    if (needsNoQuotes)
        return value;
    return absl::StrCat(
        "\"", absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}}), "\"");
}

// Returns microseconds since 1970, or the previous value plus one if the wall clock did not
// advance.
std::int64_t nextClock()
{
    const auto wall = std::chrono::duration_cast<std::chrono::microseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    std::int64_t previous = lastClock.load();
    std::int64_t next = 0;
    do {
        next = std::max<std::int64_t>(wall, previous + 1);
    } while (!lastClock.compare_exchange_weak(previous, next));
    return next;
}

void writeLine(LogLevel level, std::string_view event, const std::vector<EventField> &fields)
{
    std::string line = absl::StrCat("clock=", nextClock(), " instance=", quotedValue(instanceName),
                                    " event=", std::string(event));
    for (const EventField &field : fields)
        absl::StrAppend(&line, " ", field.key, "=", quotedValue(field.value));
    spdlog::default_logger_raw()->log(spdlogLevel(level), line);
}

} // namespace

absl::Status openEventLog(const EventLogSettings &settings)
{
    setEventLogInstance(settings.instance);
    const absl::StatusOr<int> output = openOutput(settings);
    if (!output.ok())
        return output.status();
    writer = new LogWriter(*output);
    std::atexit([] { writer.load()->flush(ExitFlushTimeout); });
    setLogFlush(waitForWriter);
    auto logger = std::make_shared<spdlog::logger>("events", std::make_shared<WriterSink>(*writer));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%f%z %v");
    logger->set_level(spdlogLevel(settings.level));
    spdlog::set_default_logger(std::move(logger));
    return absl::OkStatus();
}

void setEventLogInstance(const std::string &instance)
{
    instanceName = instance;
    setReportedInstance(instance);
}

void logEvent(LogLevel level, std::string_view event, const std::vector<EventField> &fields)
{
    setLastEvent(event);
    LogWriter *const current = writer;
    if (const std::uint64_t count = current != nullptr ? current->takeDropsToTell() : 0; count != 0)
        writeLine(LogLevel::Error, "log_lines_dropped",
                  {{"count", static_cast<std::int64_t>(count)}});
    writeLine(level, event, fields);
}

std::uint64_t droppedLogLines()
{
    const LogWriter *const current = writer;
    return current != nullptr ? current->droppedLines() : 0;
}

void logReloadIgnored()
{
    logEvent(LogLevel::Info, "reload_ignored",
             {{"cause", "the settings are read at the start only"}});
}

void logConnectionFault(CloseReason reason, const std::string &peer, const std::string &detail)
{
    logEvent(LogLevel::Warning, "connection_rejected",
             {{"reason", nameOf(reason)}, {"peer", peer}, {"detail", detail}});
}

} // namespace rhubarbweir
