// Checksummed records in a byte string.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbweir {

// Appends {length, check of the length, checksum of the body, body}, little endian.
void appendRecord(std::string &to, std::string_view body);

struct RecordScan
{
    std::vector<std::string_view> bodies;
    // Where the complete records end; the rest is a tail that a crash cut off.
    std::uint64_t validBytes = 0;
};

// Errors: DataLoss for a record that does not fit its checksums and is no cut tail.
absl::StatusOr<RecordScan> scanRecords(std::string_view bytes);

} // namespace rhubarbweir
