// rhubarb-fleet: a control instance of a pooler fleet.
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
    FleetProgram program(start->settings, start->settingsPath);
    const absl::Status status = program.run();
    if (!status.ok())
        logEvent(LogLevel::Error, "start_failed", {{"cause", status.ToString()}});
    return status.ok() ? EXIT_SUCCESS : EXIT_FAILURE;
}
