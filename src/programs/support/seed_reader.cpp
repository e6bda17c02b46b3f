// See seed_reader.hpp.
#include "programs/support/seed_reader.hpp"

#include "programs/support/event_log.hpp"
#include "programs/support/internal_addresses.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <absl/strings/str_join.h>

#include <utility>

namespace rhubarbweir {

namespace {

constexpr std::chrono::seconds ReadInterval{2};

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
    const auto next = platform::readProcessSettings(this->path);
    logEvent(LogLevel::Info, "settings_reloaded",
             {{"status", next.ok() ? "ok" : next.status().ToString()}});
    if (next.ok())
        this->apply(*next);
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
