// Controls a load run: opens sessions, starts operations, waits for their outcomes, checks the
// final state and prints the report.
#pragma once

#include "programs/load/load_settings.hpp"
#include "programs/load/report.hpp"
#include "programs/load/session_driver.hpp"

#include <memory>
#include <vector>

namespace rhubarbweir {

class LoadRunner
{
public:
    explicit LoadRunner(const LoadSettings &loadSettings);

    // Returns after the checks and the report.
    ExitCode run();

private:
    void openSessions();
    void startLoad();
    // Closed loop: starts the session's next operation when the previous one has ended.
    void continueSession(std::size_t number);
    // Open loop: operations start at the configured rate, regardless of unanswered ones.
    void scheduleNextArrival();
    double currentRate() const;
    // Starts the probe sessions, which follow those of the load; each writes to one group.
    void startProbes();
    void startSettling();
    void waitUntilIdle();
    void startFinalReads();
    void finish();
    RunResult checkReports();
    void printProgress() const;
    std::size_t totalOperationsInProgress() const;

    EventLoop loop;
    WebSocketClient client;
    LoadContext context;
    std::vector<std::shared_ptr<SessionDriver>> sessions;
    std::size_t openSessionCount = 0;
    std::size_t sessionsToCheck = 0;
    TimePoint startedAt;
    TimePoint loadEndsAt = TimePoint::max();
    // Start of the next operation in an open loop.
    TimePoint nextArrivalAt;
    ExitCode exitCode = ExitCode::Success;
};

} // namespace rhubarbweir
