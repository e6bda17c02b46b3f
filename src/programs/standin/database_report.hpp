// What a stand-in database counted, as JSON, for the load tool's final checks.
#pragma once

#include "programs/standin/database.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace rhubarbweir {

// {"target", "group", "role", "term", "received", "applied", "limit_exceeded",
//  "max_connections", "max_slots", "mixed_transactions", "doubled": [request...]}
// with each request as {"session", "request"}.
nlohmann::json countsOf(const Database &database);

// The counts and "entries": [{"term", "position", "kind", "requests": [request...]}...]. Only
// entries that are new since the last call are encoded, so that a long log costs no pause.
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

    // encoded[i] is at position i + 1.
    std::vector<EncodedEntry> encoded;
};

} // namespace rhubarbweir
