// Compression of large message parts with zlib.
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace rhubarbweir {

// Throws std::bad_alloc.
std::string compress(std::string_view bytes);

// Errors: InvalidArgument for malformed bytes, ResourceExhausted for a result of more than `limit`
// bytes and for want of memory.
absl::StatusOr<std::string> decompress(std::string_view compressed, std::size_t limit);

} // namespace rhubarbweir
