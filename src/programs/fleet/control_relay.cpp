// See control_relay.hpp.
#include "programs/fleet/control_relay.hpp"

#include "platform/fleet_calls.hpp"
#include "programs/support/event_log.hpp"

#include <utility>
#include <variant>

namespace rhubarbweir {

namespace {

constexpr std::size_t MaxCallConnections = 64;
// Time for queued answers to leave before the process ends.
constexpr std::chrono::milliseconds FlushTime{100};

} // namespace

ControlRelay::ControlRelay(platform::ProcessSettings processSettings, std::string path)
    : settings(std::move(processSettings))
    , settingsPath(std::move(path))
    , calls(this->loop, this->settings.controlAddress, MaxCallConnections,
            [this](const HttpRequest &request, const HttpAnswer &answer) {
                this->served(request, answer);
            })
{
}

absl::Status ControlRelay::run()
{
    const absl::Status listening = this->calls.listen();
    if (!listening.ok())
        return listening;
    logEvent(LogLevel::Info, "relay_started",
             {{"address", this->settings.controlAddress},
              {"failure_domain", this->settings.failureDomain.value},
              {"seeds", static_cast<std::int64_t>(this->settings.seeds.size())}});
    this->loop.onStopSignal([this](int) {
        this->calls.stop();
        this->loop.schedule(EventLoop::now() + FlushTime, [this] { this->loop.stop(); });
    });
    this->loop.onReloadSignal([this] { this->reload(); });
    this->loop.run();
    logEvent(LogLevel::Info, "relay_stopped", {});
    return absl::OkStatus();
}

void ControlRelay::served(const HttpRequest &request, const HttpAnswer &answer)
{
    if (request.method == "GET" && request.target == MetricsPath) {
        answer(metricsResponse(this->metrics));
        return;
    }
    const platform::FleetCall call = platform::decodeCall(request);
    if (const auto *invalid = std::get_if<platform::InvalidCall>(&call)) {
        logEvent(LogLevel::Info, "call_refused",
                 {{"target", request.target}, {"cause", invalid->cause}});
        answer(platform::encodeRefused(invalid->cause));
    } else if (std::holds_alternative<platform::UnknownCall>(call)
               || std::holds_alternative<platform::AskReadiness>(call)) {
        answer(platform::encodeUnknown());
    } else {
        this->metrics.count("call_redirected");
        answer(this->redirect(request.target));
    }
}

HttpResponse ControlRelay::redirect(const std::string &target)
{
    if (this->settings.seeds.empty())
        return platform::encodeUnavailable();
    const std::string &seed = this->settings.seeds[this->nextSeed++ % this->settings.seeds.size()];
    return platform::encodeRedirect(seed, target);
}

void ControlRelay::reload()
{
    const auto next = platform::readProcessSettings(this->settingsPath);
    logEvent(LogLevel::Info, "settings_reloaded",
             {{"status", next.ok() ? "ok" : next.status().ToString()}});
    if (next.ok())
        this->settings.seeds = next->seeds;
}

} // namespace rhubarbweir
