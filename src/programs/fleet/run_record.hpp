// Remembers across the runs of an instance how often it was started and how its last run ended. The
// record is information for operators: it is not synced to disk, and no failure to read or write it
// has any effect on the run.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarbweir {

class RunRecord
{
public:
    // Reads the record in `dataFolder` and adds this start to it.
    explicit RunRecord(const std::string &dataFolder);

    // Number of starts with this data folder, including this one.
    std::uint64_t starts() const { return this->startCount; }
    // What endsWith() was told by the previous run. "abrupt" if that run was ended without it, as
    // by a crash; "none" without a record.
    const std::string &lastEnd() const { return this->previousEnd; }
    // Call before an orderly end with its kind, a word of at most 16 letters.
    void endsWith(std::string_view kind) const;

private:
    void write(std::string_view end) const;

    std::string path;
    std::uint64_t startCount = 0;
    std::string previousEnd;
};

} // namespace rhubarbweir
