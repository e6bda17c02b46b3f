// Tells a file that is still being written from one that is whole and wrong.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <optional>
#include <string>

namespace rhubarbweir {

class UnfinishedFile
{
public:
    // `text` is the unreadable content at `now`. False once it has not changed for long. An empty
    // file may always change.
    bool mayChange(const std::string &text, TimePoint now);

private:
    std::optional<std::string> lastText;
    // When `lastText` counts as whole.
    TimePoint wholeAt;
};

} // namespace rhubarbweir
