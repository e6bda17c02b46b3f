// Checks of single values against their declaration.
#pragma once

#include "programs/support/settings.hpp"

#include <string>

namespace rhubarbweir {

// Whether `value` is one that `setting` accepts. Folders and files are checked on the machine.
bool acceptsValue(const Setting &setting, const std::string &value);

} // namespace rhubarbweir
