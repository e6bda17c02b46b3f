// Verbs for scenarios of a few proxies before one group of databases.
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
    // Errors: the first failing step, with file and line.
    absl::Status run(const std::string &file);

private:
    // A caller's session on one proxy; another one with the same id when it moved.
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
    void received(CallerConnectionId connection, const CallerReply &reply);
    std::uint64_t statementsFrom(const std::string &proxy) const;
    std::uint64_t runsOf(const RequestKey &key) const;

    std::unique_ptr<fakes::ProxyFixture> fixture;
    // Virtual time at which the scenario's times start.
    TimePoint start;
    std::map<std::string, Session> sessions;
    std::map<std::string, Request> requests;
    // Statements that each proxy had sent at the step `remember`.
    std::map<std::string, std::uint64_t> remembered;
    CallerConnectionId lastConnection = 0;
    std::uint64_t lastRequest = 0;
};

} // namespace rhubarbweir::testing
