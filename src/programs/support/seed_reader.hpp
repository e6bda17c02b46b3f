// Keeps a process informed of the seeds in its settings file, which may change without a signal.
#pragma once

#include "platform/process_settings.hpp"
#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rhubarbweir {

class EventLoop;

class SeedReader
{
public:
    struct Hooks
    {
        // Whether the process knows no leader, so that its seeds may be out of date.
        std::function<bool()> hasNoLeader;
        // Internal addresses of the seeds, when they changed.
        std::function<void(const std::vector<std::string> &)> changed;
    };

    SeedReader(EventLoop &loop, const platform::ProcessSettings &settings, std::string path,
               Hooks hooks);

    // From now on reads the file periodically while no leader is known.
    void start();
    // Reads the file now, or soon if it was just read. One read covers all calls before it. A file
    // that is missing or invalid, as it is while it is being written, changes nothing and is read
    // again until it is valid.
    void reload();

private:
    void scheduleRead(TimePoint deadline);
    void read();
    void apply(const platform::ProcessSettings &next);

    EventLoop &loop;
    std::string path;
    std::vector<std::string> seeds;
    Hooks hooks;
    // Calls of reload() since the last read.
    std::int64_t requests = 0;
    TimePoint earliestRead{};
    bool isReadScheduled = false;
    bool lastReadFailed = false;
};

} // namespace rhubarbweir
