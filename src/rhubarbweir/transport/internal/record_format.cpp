// See record_format.hpp.
#include "rhubarbweir/transport/internal/record_format.hpp"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace rhubarbweir {

namespace {

// u32 length, u32 checksum of the length, u64 checksum of the body.
constexpr std::size_t HeaderBytes = 16;

void appendNumber(std::string &to, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t byte = 0; byte < bytes; ++byte)
        to.push_back(static_cast<char>((value >> (8 * byte)) & 0xff));
}

std::uint64_t readNumber(std::string_view from, std::size_t bytes)
{
    std::uint64_t value = 0;
    for (std::size_t byte = 0; byte < bytes; ++byte)
        value |= std::uint64_t{static_cast<unsigned char>(from[byte])} << (8 * byte);
    return value;
}

std::uint32_t lengthChecksum(std::uint32_t length)
{
    std::string encoded;
    appendNumber(encoded, length, 4);
    return static_cast<std::uint32_t>(XXH64(encoded.data(), encoded.size(), 1));
}

// Whether all bytes from some offset below `size` to the end are zero: the file was extended, but
// the data was not written before a crash.
bool endsInUnwrittenBytes(std::string_view bytes, std::size_t size)
{
    const auto lastWritten = bytes.find_last_not_of('\0');
    const std::size_t written = lastWritten == std::string_view::npos ? 0 : lastWritten + 1;
    return written < size;
}

} // namespace

void appendRecord(std::string &to, std::string_view body)
{
    const auto length = static_cast<std::uint32_t>(body.size());
    appendNumber(to, length, 4);
    appendNumber(to, lengthChecksum(length), 4);
    appendNumber(to, XXH64(body.data(), body.size(), 0), 8);
    to.append(body);
}

absl::StatusOr<RecordScan> scanRecords(std::string_view bytes)
{
    RecordScan scan;
    std::string_view rest = bytes;
    while (rest.size() >= HeaderBytes) {
        const auto length = static_cast<std::uint32_t>(readNumber(rest, 4));
        const bool isLengthValid = readNumber(rest.substr(4), 4) == lengthChecksum(length);
        if (isLengthValid && rest.size() - HeaderBytes < length)
            return scan;
        const std::string_view body = isLengthValid ? rest.substr(HeaderBytes, length) : "";
        const bool isBodyValid =
            isLengthValid && readNumber(rest.substr(8), 8) == XXH64(body.data(), body.size(), 0);
        if (!isBodyValid && endsInUnwrittenBytes(rest, HeaderBytes + body.size()))
            return scan;
        if (!isBodyValid)
            return absl::DataLossError(absl::StrCat("damaged record at byte ", scan.validBytes));
        scan.bodies.push_back(body);
        scan.validBytes += HeaderBytes + length;
        rest.remove_prefix(HeaderBytes + length);
    }
    return scan;
}

} // namespace rhubarbweir
