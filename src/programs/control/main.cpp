// rhubarb-control: a control instance.
#include "programs/control/control_program.hpp"
#include "programs/support/abnormal_end.hpp"
#include "programs/support/command_line.hpp"
#include "programs/support/control_program_settings.hpp"
#include "programs/support/early_signal_hold.hpp"
#include "programs/support/event_log.hpp"
#include "programs/support/standard_streams.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <iostream>

namespace {

using namespace rhubarbweir;

std::vector<QuorumPeer> quorumPeers(const std::vector<ControlMember> &members)
{
    std::vector<QuorumPeer> peers;
    peers.reserve(members.size());
    for (const ControlMember &member : members)
        peers.push_back({member.id, member.address, member.failureDomain});
    return peers;
}

ControlRunSettings runSettings(const ControlProgramSettings &programSettings)
{
    ControlRunSettings settings;
    settings.control.instance = programSettings.id;
    settings.control.address = programSettings.listenAddress;
    settings.control.failureDomain = programSettings.failureDomain;
    settings.control.leaseFor = programSettings.leaseFor;
    settings.control.silentAfter = programSettings.silentAfter;
    settings.quorum.self = {programSettings.id, programSettings.listenAddress,
                            programSettings.failureDomain};
    settings.quorum.initialVoters = quorumPeers(programSettings.voters);
    settings.quorum.spares = quorumPeers(programSettings.spares);
    settings.quorum.bootstrap = programSettings.bootstrap;
    settings.quorum.heartbeat = programSettings.heartbeatInterval;
    settings.quorum.electionTimeoutMin = programSettings.electionTimeoutMin;
    settings.quorum.electionTimeoutMax = programSettings.electionTimeoutMax;
    settings.quorum.replaceAfter = programSettings.replaceAfter;
    settings.listenAddress = programSettings.listenAddress;
    settings.dataFolder = programSettings.dataFolder;
    settings.maxConnections = programSettings.maxConnections;
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    reportAbnormalEnds("rhubarb-control");
    secureStandardStreams();
    EventLoop loop;
    const ProgramStart start =
        startProgram(argc, argv,
                     {"rhubarb-control",
                      "Control instance: keeps the configuration and state of the cluster.",
                      "",
                      {},
                      ""},
                     controlSettingsSchema(), &loop);
    if (start.exit)
        return exitStatus(*start.exit);
    const ControlProgramSettings settings = controlSettingsFrom(start.settings);
    const absl::Status logging = openEventLog(settings.log);
    if (!logging.ok()) {
        std::cerr << logging << "\n";
        return exitStatus(ExitCode::CannotCreate);
    }
    ControlProgram program(loop, runSettings(settings));
    const absl::Status status = program.run();
    if (status.ok() || absl::IsCancelled(status))
        return exitStatus(ExitCode::Success);
    logEvent(LogLevel::Error, "start_failed", {{"cause", status.ToString()}});
    return exitStatus(ExitCode::Unavailable);
}
