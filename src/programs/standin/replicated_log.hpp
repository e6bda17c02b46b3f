// The replicated log of a stand-in database and the key values that its applied part makes.
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
    // Positions of the last entry held and of the last entry applied; {0, 0} when there is none.
    LogPosition received() const;
    LogPosition applied() const;

    // The entry at `position`, which counts from 1; null beyond the end.
    const LogEntry *entryAt(std::uint64_t position) const;
    // Term of the entry at `position`; 0 for position 0 and beyond the end.
    std::uint64_t termAt(std::uint64_t position) const;
    // The first entry that holds `request`; null when there is none.
    const LogEntry *entryOf(const RequestKey &request) const;
    const std::vector<LogEntry> &entries() const { return this->log; }

    // Requests that stand in more than one entry, with the number of entries after the first.
    const std::map<RequestKey, std::uint32_t> &repeatedRequests() const { return this->repeated; }

    // Value under `key` in the applied state; empty when it was never written.
    std::string valueOf(const std::string &key) const;

    // `entry` has to be at the position after received().
    void append(LogEntry entry);
    // Drops all entries after `position`, also applied ones.
    void truncateAfter(std::uint64_t position);
    // Makes entries up to `position` visible to reads.
    void applyThrough(std::uint64_t position);

private:
    // log[i] is at position i + 1; terms never decrease along the log.
    std::vector<LogEntry> log;
    // Never beyond the end of the log.
    std::uint64_t appliedPosition = 0;
    // Holds exactly the changes of the applied entries.
    std::map<std::string, std::string> values;
    // Position of the first entry of each request in the log.
    std::map<RequestKey, std::uint64_t> positions;
    // Each count is at least 1.
    std::map<RequestKey, std::uint32_t> repeated;
};

} // namespace rhubarbweir
