// Replaces a file atomically: readers see either the old or the new content, never a partial file.
#pragma once

#include <absl/status/status.h>

#include <string>

namespace rhubarbweir {

// Writes a temporary file next to `file` and renames it over `file`, without syncing to disk.
// Errors: Unavailable when the file cannot be written.
absl::Status replaceFile(const std::string &file, const std::string &content);

} // namespace rhubarbweir
