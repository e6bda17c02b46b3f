// rhubarb-fleet: a control instance of a pooler fleet.
#include "programs/fleet/control_relay.hpp"
#include "programs/fleet/fleet_program.hpp"
#include "programs/support/event_log.hpp"
#include "programs/support/fleet_command_line.hpp"

#include <cstdlib>

int main(int argc, char **argv)
{
    using namespace rhubarbweir;
    const auto start = readFleetCommandLine(argc, argv, "rhubarb-fleet");
    if (!start)
        return EXIT_FAILURE;
    const absl::Status status = start->settings.dataFolder.empty()
                                    ? ControlRelay(start->settings, start->settingsPath).run()
                                    : FleetProgram(start->settings, start->settingsPath).run();
    if (!status.ok())
        logEvent(LogLevel::Error, "start_failed", {{"cause", status.ToString()}});
    return status.ok() ? EXIT_SUCCESS : EXIT_FAILURE;
}
