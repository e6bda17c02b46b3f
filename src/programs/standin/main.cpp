// rhubarb-standin: a minimal stand-in database for tests and demonstrations.
#include "programs/standin/standin_server.hpp"
#include "programs/support/abnormal_end.hpp"
#include "programs/support/command_line.hpp"
#include "programs/support/early_signal_hold.hpp"
#include "programs/support/standard_streams.hpp"
#include "programs/support/start_sequence.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <iostream>

namespace rhubarbweir {

namespace {

ExitCode serve(EventLoop &loop, const StandinProgramSettings &settings)
{
    const absl::Status logging = openEventLog(settings.log);
    if (!logging.ok()) {
        std::cerr << logging << "\n";
        return ExitCode::CannotCreate;
    }
    StandinServer server(loop, settings);
    StartSequence start(loop);
    start.add("port", [&server] { return server.listen(); });
    const absl::Status listening = start.run();
    if (absl::IsCancelled(listening))
        return ExitCode::Success;
    const absl::Status started = listening.ok() ? server.start() : listening;
    if (!started.ok()) {
        std::cerr << started << "\n";
        return ExitCode::Unavailable;
    }
    loop.onStopSignal([&loop](int) { loop.stop(); });
    loop.onReloadSignal(logReloadIgnored);
    loop.run();
    server.stop();
    return ExitCode::Success;
}

} // namespace

} // namespace rhubarbweir

int main(int argc, char **argv)
{
    using namespace rhubarbweir;
    reportAbnormalEnds("rhubarb-standin");
    secureStandardStreams();
    CommandDescription description;
    description.program = "rhubarb-standin";
    description.summary = "A minimal stand-in database for tests and demonstrations.";
    EventLoop loop;
    const ProgramStart start =
        startProgram(argc, argv, description, standinSettingsSchema(), &loop);
    if (start.exit)
        return exitStatus(*start.exit);
    return exitStatus(serve(loop, standinSettingsFrom(start.settings)));
}
