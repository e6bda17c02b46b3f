// Persists a stand-in database's terms and log across a restart of its process.
#pragma once

#include "programs/standin/database.hpp"

#include <absl/status/status.h>

#include <fstream>
#include <functional>
#include <string>

namespace rhubarbweir {

// Records are flushed but not synced: they survive a crash of the process, but not a power loss.
class Journal
{
public:
    // Passes every stored record to `restore`, then opens the file for appending. An empty file
    // name disables the journal.
    // Errors: Unavailable if the file cannot be opened, DataLoss for a malformed record.
    absl::Status open(const std::string &file,
                      const std::function<void(const JournalRecord &)> &restore);
    void append(const JournalRecord &record);

private:
    std::ofstream out;
};

} // namespace rhubarbweir
