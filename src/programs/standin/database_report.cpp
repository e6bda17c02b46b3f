// See database_report.hpp.
#include "programs/standin/database_report.hpp"

#include "rhubarbweir/protocol/internal/json_messages.hpp"

namespace rhubarbweir {

namespace {

std::string encodeEntry(const LogEntry &entry)
{
    const nlohmann::json encoded{{"term", entry.at.term},
                                 {"position", entry.at.position},
                                 {"kind", entry.kind},
                                 {"requests", entry.requests}};
    return encoded.dump();
}

} // namespace

nlohmann::json countersJson(const Database &database)
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
    report["doubled"] = nlohmann::json::array();
    for (const auto &[request, extraRuns] : database.log().repeatedRequests())
        report["doubled"].push_back(request);
    return report;
}

std::string DatabaseReport::text(const Database &database)
{
    const std::vector<LogEntry> &entries = database.log().entries();
    // Logs with an equal term and position at one entry are equal up to that entry.
    while (!this->encoded.empty()
           && (this->encoded.size() > entries.size()
               || this->encoded.back().at != entries[this->encoded.size() - 1].at))
        this->encoded.pop_back();
    while (this->encoded.size() < entries.size()) {
        const LogEntry &entry = entries[this->encoded.size()];
        this->encoded.push_back(EncodedEntry{entry.at, encodeEntry(entry)});
    }
    std::string text = countersJson(database).dump();
    text.pop_back();
    text += ",\"entries\":[";
    for (const EncodedEntry &entry : this->encoded) {
        if (text.back() == '}')
            text += ',';
        text += entry.text;
    }
    text += "]}\n";
    return text;
}

} // namespace rhubarbweir
