// rhubarb-control: a control instance.
#include "programs/control/control_program.hpp"
#include "programs/support/command_line.hpp"
#include "programs/support/control_program_settings.hpp"
#include "programs/support/event_log.hpp"

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

ControlRunSettings runSettings(const ControlProgramSettings &given)
{
    ControlRunSettings settings;
    settings.control.instance = given.id;
    settings.control.address = given.listenAddress;
    settings.control.failureDomain = given.failureDomain;
    settings.control.leaseFor = given.leaseFor;
    settings.control.silentAfter = given.silentAfter;
    settings.quorum.self = {given.id, given.listenAddress, given.failureDomain};
    settings.quorum.initialVoters = quorumPeers(given.voters);
    settings.quorum.spares = quorumPeers(given.spares);
    settings.quorum.bootstrap = given.bootstrap;
    settings.quorum.heartbeat = given.heartbeatInterval;
    settings.quorum.electionTimeoutMin = given.electionTimeoutMin;
    settings.quorum.electionTimeoutMax = given.electionTimeoutMax;
    settings.quorum.replaceAfter = given.replaceAfter;
    settings.listenAddress = given.listenAddress;
    settings.dataFolder = given.dataFolder;
    settings.maxConnections = given.maxConnections;
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramStart start = startProgram(
        argc, argv,
        {"rhubarb-control", "Control instance: keeps the system's own state.", "", {}, ""},
        controlSettingsSchema());
    if (start.exit)
        return exitStatus(*start.exit);
    const ControlProgramSettings settings = controlSettingsFrom(start.settings);
    const absl::Status logging = openEventLog(settings.log);
    if (!logging.ok()) {
        std::cerr << logging << "\n";
        return exitStatus(ExitCode::CannotCreate);
    }
    ControlProgram program(runSettings(settings));
    const absl::Status status = program.run();
    if (status.ok())
        return exitStatus(ExitCode::Success);
    logEvent(LogLevel::Error, "start_failed", {{"cause", status.ToString()}});
    return exitStatus(ExitCode::Unavailable);
}
