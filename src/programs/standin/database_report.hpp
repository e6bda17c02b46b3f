// Report of a stand-in database's counters and log as JSON, for the load tool's final checks.
#pragma once

#include "programs/standin/database.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace rhubarbweir {

// {"target", "group", "role", "term", "received", "applied", "limit_exceeded",
//  "max_connections", "max_slots", "mixed_transactions", "doubled": [request...]}
// where each request is {"session", "request"}.
nlohmann::json countersJson(const Database &database);

// The counters and "entries": [{"term", "position", "kind", "requests": [request...]}...]. Caches
// encoded entries, as encoding a long log at each call would block the event loop.
class DatabaseReport
{
public:
    std::string text(const Database &database);

private:
    struct EncodedEntry
    {
        LogPosition at;
        std::string text;
    };

    // encoded[i] is the entry at position i + 1.
    std::vector<EncodedEntry> encoded;
};

} // namespace rhubarbweir
