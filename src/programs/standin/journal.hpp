// Keeps a stand-in database's terms and log across a restart of its process.
#pragma once

#include "programs/standin/database.hpp"

#include <absl/status/status.h>

#include <fstream>
#include <functional>
#include <string>

namespace rhubarbweir {

// Records survive the end of the process, not the loss of the machine's power.
class Journal
{
public:
    // Hands every kept record to `restore`, then appends. An empty name keeps nothing.
    // Errors: Unavailable when the file cannot be opened, DataLoss for a malformed record.
    absl::Status open(const std::string &file,
                      const std::function<void(const JournalRecord &)> &restore);
    void append(const JournalRecord &record);

private:
    std::ofstream out;
};

} // namespace rhubarbweir
