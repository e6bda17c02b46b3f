// See seed_reader.hpp.
#include "programs/support/seed_reader.hpp"

#include "programs/support/event_log.hpp"
#include "programs/support/internal_addresses.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <absl/strings/str_join.h>

#include <chrono>
#include <utility>

namespace rhubarbweir {

namespace {

constexpr std::chrono::seconds ReadInterval{2};
// Minimum time between reads that signals ask for.
constexpr std::chrono::milliseconds MinReloadInterval{100};
// Delay of the next read of a file that is missing or invalid.
constexpr std::chrono::milliseconds RetryInterval{500};

} // namespace

SeedReader::SeedReader(EventLoop &eventLoop, const platform::ProcessSettings &settings,
                       std::string settingsPath, Hooks readerHooks)
    : loop(eventLoop)
    , path(std::move(settingsPath))
    , seeds(settings.seeds)
    , hooks(std::move(readerHooks))
{
}

void SeedReader::start()
{
    this->loop.every(ReadInterval, [this] {
        if (!this->hooks.hasNoLeader())
            return;
        const auto next = platform::readProcessSettings(this->path);
        if (next.ok())
            this->apply(*next);
    });
}

void SeedReader::reload()
{
    ++this->requests;
    if (EventLoop::now() >= this->earliestRead)
        this->read();
    else
        this->scheduleRead(this->earliestRead);
}

void SeedReader::scheduleRead(TimePoint deadline)
{
    if (std::exchange(this->isReadScheduled, true))
        return;
    this->loop.schedule(deadline, [this] {
        this->isReadScheduled = false;
        if (this->requests != 0 || this->lastReadFailed)
            this->read();
    });
}

void SeedReader::read()
{
    const std::int64_t covered = std::exchange(this->requests, 0);
    const auto next = platform::readProcessSettings(this->path);
    // A repeated failure is not news.
    if (covered != 0 || next.ok())
        logEvent(LogLevel::Info, "settings_reloaded",
                 {{"status", next.ok() ? "ok" : next.status().ToString()}, {"signals", covered}});
    this->earliestRead = EventLoop::now() + MinReloadInterval;
    this->lastReadFailed = !next.ok();
    if (next.ok())
        this->apply(*next);
    else
        this->scheduleRead(EventLoop::now() + RetryInterval);
}

void SeedReader::apply(const platform::ProcessSettings &next)
{
    if (next.seeds == this->seeds)
        return;
    this->seeds = next.seeds;
    logEvent(LogLevel::Info, "seeds_changed", {{"seeds", absl::StrJoin(this->seeds, ",")}});
    this->hooks.changed(internalAddresses(next));
}

} // namespace rhubarbweir
