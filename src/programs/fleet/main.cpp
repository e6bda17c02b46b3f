// rhubarb-fleet: a control instance of a pooler fleet.
#include "programs/fleet/fleet_program.hpp"
#include "programs/fleet/observer_program.hpp"
#include "programs/support/abnormal_end.hpp"
#include "programs/support/early_signal_hold.hpp"
#include "programs/support/event_log.hpp"
#include "programs/support/fleet_command_line.hpp"
#include "programs/support/standard_streams.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <cstdlib>

int main(int argc, char **argv)
{
    using namespace rhubarbweir;
    reportAbnormalEnds("rhubarb-fleet");
    secureStandardStreams();
    EventLoop loop;
    const FleetStart start = readFleetCommandLine(loop, argc, argv, "rhubarb-fleet");
    if (start.exit)
        return *start.exit;
    // An instance without a disk holds no state.
    return exitOf(start.settings.dataFolder.empty()
                      ? ObserverProgram(loop, start.settings, start.settingsPath).run()
                      : FleetProgram(loop, start.settings, start.settingsPath).run());
}
