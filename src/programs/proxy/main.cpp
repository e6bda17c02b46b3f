// rhubarb-proxy: a proxy instance.
#include "programs/proxy/proxy_program.hpp"
#include "programs/support/abnormal_end.hpp"
#include "programs/support/command_line.hpp"
#include "programs/support/early_signal_hold.hpp"
#include "programs/support/event_log.hpp"
#include "programs/support/proxy_program_settings.hpp"
#include "programs/support/standard_streams.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <chrono>
#include <iostream>

namespace {

using namespace rhubarbweir;

ProxyRunSettings runSettings(const ProxyProgramSettings &programSettings)
{
    ProxyRunSettings settings;
    settings.proxy.instance = programSettings.id;
    settings.proxy.address = programSettings.advertisedAddress;
    settings.proxy.failureDomain = programSettings.failureDomain;
    // Microseconds since 1970, so that each start has a new incarnation.
    settings.proxy.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    settings.proxy.inFlightLimit = programSettings.inFlightLimit;
    settings.proxy.probeInterval = programSettings.probeInterval;
    settings.proxy.silentAfter = programSettings.silentAfter;
    settings.proxy.transactionLimit = programSettings.transactionLimit;
    settings.listenAddress = programSettings.listenAddress;
    settings.controlAddresses = programSettings.controlAddresses;
    settings.maxConnections = programSettings.maxCallers;
    settings.renewInterval = programSettings.renewInterval;
    settings.drainLimit = programSettings.drainLimit;
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    reportAbnormalEnds("rhubarb-proxy");
    secureStandardStreams();
    EventLoop loop;
    const ProgramStart start = startProgram(
        argc, argv,
        {"rhubarb-proxy", "Proxy instance: forwards requests of callers to targets.", "", {}, ""},
        proxySettingsSchema(), &loop);
    if (start.exit)
        return exitStatus(*start.exit);
    const ProxyProgramSettings settings = proxySettingsFrom(start.settings);
    const absl::Status logging = openEventLog(settings.log);
    if (!logging.ok()) {
        std::cerr << logging << "\n";
        return exitStatus(ExitCode::CannotCreate);
    }
    ProxyProgram program(loop, runSettings(settings));
    const absl::Status status = program.run();
    if (status.ok() || absl::IsCancelled(status))
        return exitStatus(ExitCode::Success);
    logEvent(LogLevel::Error, "start_failed", {{"cause", status.ToString()}});
    return exitStatus(ExitCode::Unavailable);
}
