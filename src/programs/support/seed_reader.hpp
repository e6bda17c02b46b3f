// Keeps a process informed of the seeds in its settings file, which may change without a signal.
#pragma once

#include "platform/process_settings.hpp"

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
    // Reads the file.
    void reload();

private:
    void apply(const platform::ProcessSettings &next);

    EventLoop &loop;
    std::string path;
    std::vector<std::string> seeds;
    Hooks hooks;
};

} // namespace rhubarbweir
