// Encoding of checksummed records.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbweir {

// Appends {length, checksum of the length, checksum of the body, body} in little endian.
void appendRecord(std::string &to, std::string_view body);

struct RecordScan
{
    std::vector<std::string_view> bodies;
    // Size of all complete records. Bytes after that are an incomplete record left by a crash.
    std::uint64_t validBytes = 0;
};

// Errors: DataLoss for a record whose checksums do not match, unless it is an incomplete record at
// the end.
absl::StatusOr<RecordScan> scanRecords(std::string_view bytes);

} // namespace rhubarbweir
