// Scenario verbs for callers, proxies and one database group.
#pragma once

#include "fakes/proxy_fixture.hpp"
#include "scenarios/scenario_runner.hpp"

#include <map>
#include <memory>
#include <string>

namespace rhubarbweir::testing {

class TrafficScenario
{
public:
    // Runs the scenario in `file`. Errors: as for runScenarioFile.
    absl::Status run(const std::string &file);

private:
    // A caller's session on one proxy. A session that moved to another proxy has a second entry
    // with the same id.
    struct Session
    {
        CallerConnectionId connection = 0;
        std::string proxy;
        SessionId id;
        SessionToken token;
        bool toldToMove = false;
    };

    struct Request
    {
        std::string session;
        RequestKey key;
        std::vector<CallerAnswer> answers;
    };

    Verbs verbs();
    absl::Status setUp(const Step &step);
    absl::Status open(const Step &step);
    absl::Status send(const Step &step, RequestKind kind);
    absl::Status setHolders(const Step &step);
    absl::Status expect(const Step &step);
    absl::Status expectAnswer(const Step &step) const;
    absl::Status expectRuns(const Step &step) const;
    absl::Status expectStatements(const Step &step) const;
    void recordReply(CallerConnectionId connection, const CallerReply &reply);
    std::uint64_t countStatements(const std::string &proxy) const;
    std::uint64_t countRuns(const RequestKey &key) const;

    std::unique_ptr<fakes::ProxyFixture> fixture;
    // Virtual time of the start of the scenario.
    TimePoint start;
    std::map<std::string, Session> sessions;
    std::map<std::string, Request> requests;
    // Number of statements that a proxy had sent at its last step `record_statements`.
    std::map<std::string, std::uint64_t> recordedStatements;
    CallerConnectionId lastConnection = 0;
    std::uint64_t lastRequest = 0;
};

} // namespace rhubarbweir::testing
