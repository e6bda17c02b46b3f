// rhubarb-load: generates load as callers do, measures latencies and checks consistency.
#include "programs/load/load_runner.hpp"

int main(int argc, char **argv)
{
    using namespace rhubarbweir;
    const LoadStart start = startLoadProgram(argc, argv);
    if (start.exit)
        return exitStatus(*start.exit);
    return exitStatus(LoadRunner(start.settings).run());
}
