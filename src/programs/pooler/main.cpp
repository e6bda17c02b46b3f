// rhubarb-pooler: serves callers' text sessions over pooled connections to targets.
#include "programs/pooler/pooler_program.hpp"
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
    reportAbnormalEnds("rhubarb-pooler");
    secureStandardStreams();
    EventLoop loop;
    const FleetStart start = readFleetCommandLine(loop, argc, argv, "rhubarb-pooler");
    if (start.exit)
        return *start.exit;
    PoolerProgram program(loop, start.settings, start.settingsPath);
    return exitOf(program.run());
}
