// See event_sampler.hpp.
#include "programs/support/event_sampler.hpp"

#include "programs/support/event_log.hpp"

namespace rhubarbweir {

namespace {

// Maximum lines of one kind per second; writing a line costs a few microseconds of CPU time.
constexpr unsigned MaxLinesPerSecond = 20;
// One of this many ordinary successes is written.
constexpr std::uint64_t SampleInterval = 64;

} // namespace

void EventSampler::log(std::string_view event, const Fields &fields, bool sampled, TimePoint now)
{
    auto found = this->budgets.find(event);
    if (found == this->budgets.end())
        found = this->budgets.emplace(std::string(event), Budget{}).first;
    Budget &budget = found->second;
    if (now >= budget.windowEnd) {
        budget.windowEnd = now + std::chrono::seconds(1);
        budget.written = 0;
    }
    const bool isSelected = !sampled || budget.seen++ % SampleInterval == 0;
    if (!isSelected || budget.written >= MaxLinesPerSecond) {
        ++budget.leftOut;
        return;
    }
    ++budget.written;
    std::vector<EventField> converted;
    converted.reserve(fields.size() + 1);
    for (const auto &[key, value] : fields)
        converted.emplace_back(key, value);
    if (budget.leftOut != 0)
        converted.emplace_back("left_out", static_cast<std::int64_t>(budget.leftOut));
    budget.leftOut = 0;
    logEvent(LogLevel::Info, event, converted);
}

} // namespace rhubarbweir
