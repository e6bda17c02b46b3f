// A whole load run: opens sessions, starts operations, settles, checks, reports.
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

    // Returns when the checks are done.
    ExitCode run();

private:
    void openSessions();
    void startLoad();
    // Closed loop: the session's next operation follows its last one.
    void continueSession(std::size_t number);
    // Open loop: operations arrive at the rate, whatever is still unanswered.
    void planArrival();
    double rateNow() const;
    // The sessions after those of the load each write to one group.
    void startProbes();
    void startSettling();
    void waitUntilIdle();
    void startFinalReads();
    void finish();
    RunResult checkReports();
    void showProgress() const;
    std::size_t busy() const;

    EventLoop loop;
    WebSocketClient client;
    LoadRun shared;
    std::vector<std::shared_ptr<SessionDriver>> sessions;
    std::size_t openSessionCount = 0;
    std::size_t sessionsToCheck = 0;
    TimePoint startedAt;
    TimePoint loadEndsAt = TimePoint::max();
    // When the next operation of an open loop arrives.
    TimePoint nextArrivalAt;
    ExitCode exitCode = ExitCode::Success;
};

} // namespace rhubarbweir
