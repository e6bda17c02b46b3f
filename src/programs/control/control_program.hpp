// A control instance with a network thread, a disk thread and a control thread. Only the control
// thread accesses the quorum log and the control node.
#pragma once

#include "programs/control/control_server.hpp"
#include "programs/control/disk_writer.hpp"
#include "programs/control/quorum_links.hpp"
#include "rhubarbweir/coordination/control/control_node.hpp"
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/wake_timer.hpp"

#include <atomic>
#include <thread>

namespace rhubarbweir {

struct ControlRunSettings
{
    ControlSettings control;
    QuorumSettings quorum;
    std::string listenAddress;
    std::string dataFolder;
    std::size_t maxConnections = 4096;
};

class ControlProgram
{
public:
    ControlProgram(EventLoop &loop, ControlRunSettings settings);
    ~ControlProgram();
    ControlProgram(const ControlProgram &) = delete;
    ControlProgram &operator=(const ControlProgram &) = delete;

    // Waits for what the start needs, and runs until a stop signal was handled.
    // Errors: those of a StartSequence, Unavailable after a failed disk.
    absl::Status run();

private:
    QuorumPort quorumPort();
    QuorumHooks quorumHooks();
    ControlHooks controlHooks();
    ControlServerHooks serverHooks();
    void handleMessage(ConnectionId connection, const Message &message);
    void handleControlMessage(ConnectionId connection, const Message &message);
    void persist(const PersistBatch &batch);
    void exitAfterDiskFailure();
    void stopRequested();
    void closeAndStop();
    HttpReply get(const std::string &path) const;
    // Notifies the node of a change of leadership and schedules the next advance().
    void updateLeadershipAndTimer();
    std::vector<VoterStatus> voterStatuses() const;

    ControlRunSettings settings;
    EventLoop &networkLoop;
    EventLoop controlLoop;
    WakeTimer timer;
    DiskWriter disk;
    ControlServer server;
    QuorumLinks links;
    ControlNode node;
    QuorumLog quorum;
    // Other control instances, by the connection that they opened.
    std::map<ConnectionId, InstanceId> peers;
    // Leadership that the node was last notified of.
    bool wasLeader = false;
    bool hasLeft = false;
    InstanceId lastLeader;
    // Written by the control thread, read by the network thread for health checks.
    std::atomic<bool> knowsLeader{false};
    // A sync failed. Written by the control thread.
    std::atomic<bool> failed{false};
    bool stopping = false;
    bool closing = false;
    std::thread controlThread;
};

} // namespace rhubarbweir
