// Replaces a file so that a reader sees the old or the new content, never a part.
#pragma once

#include <absl/status/status.h>

#include <string>

namespace rhubarbweir {

// Writes a temporary file beside `file` and renames it; not synced to the disk.
// Errors: Unavailable when the file cannot be written.
absl::Status replaceFile(const std::string &file, const std::string &content);

} // namespace rhubarbweir
