// See abnormal_end.hpp.
#include "programs/support/abnormal_end.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <exception>
#include <poll.h>
#include <unistd.h>

namespace rhubarbweir {

namespace {

// Signals whose default action ends the process. SIGKILL cannot be handled.
constexpr std::array ReportedSignals = {SIGSEGV, SIGBUS,  SIGFPE, SIGILL, SIGABRT,
                                        SIGXCPU, SIGQUIT, SIGHUP, SIGINT, SIGTERM};
// Signals of writes that fail. Without them the write returns EFBIG or EPIPE.
constexpr std::array IgnoredSignals = {SIGXFSZ, SIGPIPE};
// Enough for the handler below, also when the stack of the main thread has overflowed.
constexpr std::size_t HandlerStackBytes = std::size_t{64} * 1024;
constexpr std::chrono::milliseconds WriteTimeout{100};
constexpr std::size_t MaxQuotedLength = 256;

// A text of bounded length that a signal handler may read. A reader that interrupts the writer may
// see a mix of two texts.
class ReportedText
{
public:
    void set(std::string_view text)
    {
        const std::size_t length = std::min(text.size(), this->letters.size() - 1);
        std::copy_n(text.begin(), length, this->letters.begin());
        this->letters[length] = '\0';
    }
    std::string_view view() const { return {this->letters.data(), strlen(this->letters.data())}; }

private:
    std::array<char, 64> letters{};
};

ReportedText programName;
ReportedText instanceName;
ReportedText lastEvent;
std::atomic<bool> isReported{false};
std::atomic<void (*)()> logFlush{nullptr};

// A line that is built without allocating memory.
class FixedLine
{
public:
    FixedLine &operator<<(std::string_view text)
    {
        const std::size_t length = std::min(text.size(), this->letters.size() - this->used);
        std::copy_n(text.begin(), length, this->letters.begin() + this->used);
        this->used += length;
        return *this;
    }
    FixedLine &operator<<(std::int64_t number)
    {
        std::array<char, 24> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
        return *this << std::string_view(digits.data(),
                                         static_cast<std::size_t>(end - digits.data()));
    }
    // Adds a value in quotes, as the event log writes it; a long text is cut off.
    FixedLine &quoted(std::string_view text)
    {
        *this << "\"";
        for (const char letter : text.substr(0, MaxQuotedLength)) {
            if (letter == '"' || letter == '\\')
                *this << "\\";
            *this << (letter == '\n' ? std::string_view("\\n") : std::string_view(&letter, 1));
        }
        return *this << "\"";
    }
    void write() const
    {
        if (void (*const flush)() = logFlush)
            flush();
        // Standard error that nobody reads must not keep the process from its end.
        pollfd ready{STDERR_FILENO, POLLOUT, 0};
        if (::poll(&ready, 1, static_cast<int>(WriteTimeout.count())) <= 0)
            return;
        // Nothing can be done if standard error is closed.
        [[maybe_unused]] const ssize_t written =
            ::write(STDERR_FILENO, this->letters.data(), this->used);
    }

private:
    std::array<char, 1024> letters{};
    std::size_t used = 0;
};

FixedLine endLine()
{
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    FixedLine line;
    line << "clock=" << std::int64_t{time.tv_sec} * 1000000 + time.tv_nsec / 1000
         << " instance=" << instanceName.view()
         << " event=process_ended program=" << programName.view();
    return line;
}

void reportSignal(int signal)
{
    if (!isReported.exchange(true)) {
        FixedLine line = endLine();
        line << " cause=signal signal=" << std::int64_t{signal}
             << " last_event=" << lastEvent.view() << "\n";
        line.write();
    }
    // The handler is installed with SA_RESETHAND, so this is the default action.
    std::raise(signal);
}

void reportException()
{
    FixedLine line = endLine();
    line << " cause=exception detail=";
    try {
        if (const std::exception_ptr uncaught = std::current_exception())
            std::rethrow_exception(uncaught);
        line.quoted("none");
    } catch (const std::exception &error) {
        line.quoted(error.what());
    } catch (...) {
        line.quoted("of an unknown type");
    }
    line << " last_event=" << lastEvent.view() << "\n";
    isReported = true;
    line.write();
    std::abort();
}

void useHandlerStack()
{
    static std::array<char, HandlerStackBytes> bytes;
    stack_t stack{};
    stack.ss_sp = bytes.data();
    stack.ss_size = bytes.size();
    sigaltstack(&stack, nullptr);
}

} // namespace

void reportAbnormalEnds(std::string_view program)
{
    programName.set(program);
    std::set_terminate(reportException);
    useHandlerStack();
    struct sigaction action = {};
    action.sa_handler = reportSignal;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK | SA_NODEFER);
    sigemptyset(&action.sa_mask);
    for (const int signal : ReportedSignals)
        sigaction(signal, &action, nullptr);
    for (const int signal : IgnoredSignals)
        std::signal(signal, SIG_IGN);
}

void setReportedInstance(std::string_view instance)
{
    instanceName.set(instance);
}

void setLastEvent(std::string_view event)
{
    lastEvent.set(event);
}

void setLogFlush(void (*flush)())
{
    logFlush = flush;
}

} // namespace rhubarbweir
