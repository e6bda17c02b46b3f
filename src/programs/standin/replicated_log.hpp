// The replicated log of a stand-in database and the key values that result from its applied part.
#pragma once

#include "rhubarbweir/coordination/proxy/target_messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarbweir {

class ReplicatedLog
{
public:
    // Positions of the last entry in the log and of the last applied entry; {0, 0} if there is
    // none.
    LogPosition received() const;
    LogPosition applied() const;

    // The entry at `position`, which starts at 1; null for position 0 and beyond the end.
    const LogEntry *entryAt(std::uint64_t position) const;
    // Term of the entry at `position`; 0 for position 0 and beyond the end.
    std::uint64_t termAt(std::uint64_t position) const;
    // The first entry that contains `request`; null if there is none.
    const LogEntry *entryOf(const RequestKey &request) const;
    const std::vector<LogEntry> &entries() const { return this->log; }

    // Requests that occur more than once in the log, with the number of repetitions.
    const std::map<RequestKey, std::uint32_t> &repeatedRequests() const { return this->repeated; }

    // Value of `key` in the applied state; empty if it was never written.
    std::string valueOf(const std::string &key) const;

    // `entry` has to have the position after received().
    void append(LogEntry entry);
    // Removes all entries after `position`, including applied ones.
    void truncateAfter(std::uint64_t position);
    // Applies the entries up to `position`, which makes them visible to reads.
    void applyThrough(std::uint64_t position);

private:
    // log[i] is the entry at position i + 1; terms never decrease along the log.
    std::vector<LogEntry> log;
    // Never beyond the end of the log.
    std::uint64_t appliedPosition = 0;
    // Result of exactly the applied entries.
    std::map<std::string, std::string> values;
    // Position of the first entry of each request in the log.
    std::map<RequestKey, std::uint64_t> positions;
    // Each count is at least 1.
    std::map<RequestKey, std::uint32_t> repeated;
};

} // namespace rhubarbweir
