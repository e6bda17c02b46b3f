// What a stand-in database counted, as JSON, for the load tool's final checks.
#pragma once

#include "programs/standin/database.hpp"

#include <nlohmann/json_fwd.hpp>

namespace rhubarbweir {

// {"target", "group", "role", "term", "received", "applied", "limit_exceeded",
//  "max_connections", "max_slots", "mixed_transactions", "doubled": [request...],
//  "entries": [{"term", "position", "kind", "requests": [request...]}...]}
// with each request as {"session", "request"}.
nlohmann::json reportOf(const Database &database);

} // namespace rhubarbweir
