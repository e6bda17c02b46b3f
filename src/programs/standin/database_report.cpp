// See database_report.hpp.
#include "programs/standin/database_report.hpp"

#include "rhubarbweir/protocol/internal/json_messages.hpp"

#include <map>

namespace rhubarbweir {

namespace {

bool runsRequests(const LogEntry &entry)
{
    return entry.kind == LogEntryKind::Write || entry.kind == LogEntryKind::Transaction;
}

// Requests that stand in more than one entry that ran them.
std::vector<RequestKey> doubledIn(const ReplicatedLog &log)
{
    std::map<RequestKey, int> runs;
    for (const LogEntry &entry : log.entries()) {
        if (!runsRequests(entry))
            continue;
        for (const RequestKey &request : entry.requests)
            ++runs[request];
    }
    std::vector<RequestKey> result;
    for (const auto &[request, count] : runs) {
        if (count > 1)
            result.push_back(request);
    }
    return result;
}

} // namespace

nlohmann::json reportOf(const Database &database)
{
    const TargetStatus status = database.status();
    nlohmann::json report;
    report["target"] = status.target;
    report["group"] = status.group;
    report["role"] = status.role;
    report["term"] = status.adoptedTerm;
    report["received"] = status.received;
    report["applied"] = status.applied;
    report["limit_exceeded"] = database.usage().limitExceeded();
    report["max_connections"] = database.usage().maxConnections();
    report["max_slots"] = database.usage().maxSlots();
    report["mixed_transactions"] = database.mixedTransactions();
    report["doubled"] = doubledIn(database.log());
    report["entries"] = nlohmann::json::array();
    for (const LogEntry &entry : database.log().entries()) {
        report["entries"].push_back({{"term", entry.at.term},
                                     {"position", entry.at.position},
                                     {"kind", entry.kind},
                                     {"requests", entry.requests}});
    }
    return report;
}

} // namespace rhubarbweir
