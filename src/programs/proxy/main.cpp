// rhubarb-proxy: an entry instance.
#include "programs/proxy/proxy_program.hpp"
#include "programs/support/command_line.hpp"
#include "programs/support/event_log.hpp"
#include "programs/support/proxy_program_settings.hpp"

#include <chrono>
#include <iostream>

namespace {

using namespace rhubarbweir;

ProxyRunSettings runSettings(const ProxyProgramSettings &given)
{
    ProxyRunSettings settings;
    settings.proxy.instance = given.id;
    settings.proxy.address = given.advertisedAddress;
    settings.proxy.failureDomain = given.failureDomain;
    // Microseconds since 1970: new for each start.
    settings.proxy.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    settings.proxy.inFlightLimit = given.inFlightLimit;
    settings.proxy.probeInterval = given.probeInterval;
    settings.proxy.silentAfter = given.silentAfter;
    settings.proxy.transactionLimit = given.transactionLimit;
    settings.listenAddress = given.listenAddress;
    settings.controlAddresses = given.controlAddresses;
    settings.maxConnections = given.maxCallers;
    settings.renewInterval = given.renewInterval;
    settings.drainLimit = given.drainLimit;
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramStart start = startProgram(
        argc, argv,
        {"rhubarb-proxy", "Entry instance: serves callers before the targets.", "", {}, ""},
        proxySettingsSchema());
    if (start.exit)
        return exitStatus(*start.exit);
    const ProxyProgramSettings settings = proxySettingsFrom(start.settings);
    const absl::Status logging = openEventLog(settings.log);
    if (!logging.ok()) {
        std::cerr << logging << "\n";
        return exitStatus(ExitCode::CannotCreate);
    }
    ProxyProgram program(runSettings(settings));
    const absl::Status status = program.run();
    if (status.ok())
        return exitStatus(ExitCode::Success);
    logEvent(LogLevel::Error, "start_failed", {{"cause", status.ToString()}});
    return exitStatus(ExitCode::Unavailable);
}
