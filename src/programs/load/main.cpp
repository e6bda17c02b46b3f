// rhubarb-load: callers' load and measurement.
#include "programs/load/load_runner.hpp"

int main(int argc, char **argv)
{
    const rhubarbweir::LoadSettings settings = rhubarbweir::loadSettingsFromCommandLine(argc, argv);
    if (settings.exitCode != -1)
        return settings.exitCode;
    return rhubarbweir::LoadRunner(settings).run();
}
