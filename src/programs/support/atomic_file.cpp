// See atomic_file.hpp.
#include "programs/support/atomic_file.hpp"

#include <absl/strings/str_cat.h>

#include <cstdio>
#include <fstream>

namespace rhubarbweir {

absl::Status replaceFile(const std::string &file, const std::string &content)
{
    const std::string temporary = file + ".new";
    std::ofstream out(temporary, std::ios::trunc | std::ios::binary);
    out << content;
    out.close();
    if (!out || std::rename(temporary.c_str(), file.c_str()) != 0)
        return absl::UnavailableError(absl::StrCat("cannot write ", file));
    return absl::OkStatus();
}

} // namespace rhubarbweir
