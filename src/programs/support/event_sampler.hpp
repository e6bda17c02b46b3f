// Limits the volume of a process's event log: ordinary successes are sampled, and each kind of
// event has a maximum number of lines per second. The next line of a kind reports how many events
// were left out before it.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbweir {

class EventSampler
{
public:
    using Fields = std::vector<std::pair<std::string, std::string>>;

    void log(std::string_view event, const Fields &fields, bool sampled, TimePoint now);

private:
    struct Budget
    {
        TimePoint windowEnd;
        unsigned written = 0;
        std::uint64_t leftOut = 0;
        std::uint64_t seen = 0;
    };

    std::map<std::string, Budget, std::less<>> budgets;
};

} // namespace rhubarbweir
