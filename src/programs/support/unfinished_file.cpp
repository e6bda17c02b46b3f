// See unfinished_file.hpp.
#include "programs/support/unfinished_file.hpp"

namespace rhubarbweir {

namespace {

// A file that is being written changes sooner than this.
constexpr std::chrono::seconds WriteTimeout{5};

} // namespace

bool UnfinishedFile::mayChange(const std::string &text, TimePoint now)
{
    if (text.empty() || this->lastText != text) {
        this->lastText = text;
        this->wholeAt = now + WriteTimeout;
    }
    return now < this->wholeAt;
}

} // namespace rhubarbweir
