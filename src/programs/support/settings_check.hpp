// Validates a single value against the declaration of its setting.
#pragma once

#include "programs/support/settings.hpp"

#include <string>

namespace rhubarbweir {

// Returns whether `setting` accepts `value`. Folders and files are checked in the file system.
bool acceptsValue(const Setting &setting, const std::string &value);

} // namespace rhubarbweir
