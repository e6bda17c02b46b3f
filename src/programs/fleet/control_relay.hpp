// A control process without a disk: it holds no state and no vote, and sends each call on to an
// instance that does.
#pragma once

#include "platform/process_settings.hpp"
#include "programs/support/metrics_book.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/http.hpp"

#include <string>

namespace rhubarbweir {

class ControlRelay
{
public:
    ControlRelay(platform::ProcessSettings settings, std::string settingsPath);

    // Runs until a stop signal was served.
    // Errors: those of listening.
    absl::Status run();

private:
    void served(const HttpRequest &request, const HttpAnswer &answer);
    HttpResponse redirect(const std::string &target);
    void reload();

    platform::ProcessSettings settings;
    std::string settingsPath;
    EventLoop loop;
    MetricsBook metrics;
    HttpListener calls;
    // Seed that gets the next call: one that is down gets a part of them only.
    std::size_t nextSeed = 0;
};

} // namespace rhubarbweir
