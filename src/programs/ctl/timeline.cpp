// See timeline.hpp.
#include "programs/ctl/timeline.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <set>

namespace rhubarbweir {

namespace {

bool isSelected(const std::vector<std::string> &selected, const std::string &name)
{
    return selected.empty() || std::find(selected.begin(), selected.end(), name) != selected.end();
}

bool contains(const TimelineEvent &event, const std::string &text)
{
    const auto containsText = [&](const std::string &candidate) {
        return candidate.find(text) != std::string::npos;
    };
    if (containsText(event.event) || containsText(event.cause) || containsText(event.instance))
        return true;
    return std::any_of(event.fields.begin(), event.fields.end(), [&](const auto &field) {
        return containsText(field.first + "=" + field.second);
    });
}

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

// Orders "proxy-9" before "proxy-10".
bool naturalLess(const std::string &a, const std::string &b)
{
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() && j < b.size()) {
        if (!isDigit(a[i]) || !isDigit(b[j])) {
            if (a[i] != b[j])
                return a[i] < b[j];
            ++i;
            ++j;
            continue;
        }
        std::size_t iEnd = i;
        std::size_t jEnd = j;
        while (iEnd < a.size() && isDigit(a[iEnd]))
            ++iEnd;
        while (jEnd < b.size() && isDigit(b[jEnd]))
            ++jEnd;
        if (iEnd - i != jEnd - j)
            return iEnd - i < jEnd - j;
        const int order = a.compare(i, iEnd - i, b, j, jEnd - j);
        if (order != 0)
            return order < 0;
        i = iEnd;
        j = jEnd;
    }
    return a.size() - i < b.size() - j;
}

} // namespace

std::vector<TimelineEvent> mergeEvents(std::vector<std::vector<TimelineEvent>> files)
{
    struct OrderedEvent
    {
        // Latest clock in the file up to this event, so that the events of a file keep their order.
        std::int64_t sortKey = 0;
        TimelineEvent event;
    };
    std::vector<OrderedEvent> orderedEvents;
    for (std::vector<TimelineEvent> &file : files) {
        std::int64_t latestClock = 0;
        for (TimelineEvent &event : file) {
            latestClock = std::max(latestClock, event.clock);
            orderedEvents.push_back({latestClock, std::move(event)});
        }
    }
    std::stable_sort(
        orderedEvents.begin(), orderedEvents.end(),
        [](const OrderedEvent &a, const OrderedEvent &b) { return a.sortKey < b.sortKey; });
    std::vector<TimelineEvent> merged;
    merged.reserve(orderedEvents.size());
    for (OrderedEvent &item : orderedEvents)
        merged.push_back(std::move(item.event));
    return merged;
}

std::vector<TimelineEvent> filterEvents(const std::vector<TimelineEvent> &events,
                                        const TimelineFilter &filter)
{
    std::vector<TimelineEvent> kept;
    const std::int64_t start = events.empty() ? 0 : events.front().clock;
    for (const TimelineEvent &event : events) {
        const std::int64_t offset = event.clock - start;
        if (isSelected(filter.instances, event.instance) && isSelected(filter.events, event.event)
            && contains(event, filter.text) && offset >= filter.from.value_or(offset)
            && offset <= filter.to.value_or(offset))
            kept.push_back(event);
    }
    return kept;
}

std::vector<std::string> instancesOf(const std::vector<TimelineEvent> &events)
{
    std::set<std::string> names;
    for (const TimelineEvent &event : events)
        names.insert(event.instance);
    std::vector<std::string> ordered(names.begin(), names.end());
    std::sort(ordered.begin(), ordered.end(), naturalLess);
    return ordered;
}

void writeTimelineText(const std::vector<TimelineEvent> &events, std::int64_t start,
                       std::ostream &out)
{
    std::size_t width = 0;
    for (const TimelineEvent &event : events)
        width = std::max(width, event.instance.size());
    for (const TimelineEvent &event : events) {
        const double seconds = static_cast<double>(event.clock - start) / 1e6;
        out << '+' << std::fixed << std::setprecision(6) << std::setw(11) << std::right << seconds
            << "s  " << std::left << std::setw(static_cast<int>(width)) << event.instance << "  "
            << event.event;
        for (const auto &[key, value] : event.fields)
            out << ' ' << key << '=' << value;
        if (!event.cause.empty())
            out << "  <- " << event.cause;
        out << "\n";
    }
}

void writeTimelineJson(const std::vector<TimelineEvent> &events, std::ostream &out)
{
    for (const TimelineEvent &event : events) {
        nlohmann::json line = {{"clock", event.clock},
                               {"instance", event.instance},
                               {"event", event.event},
                               {"level", event.level},
                               {"cause", event.cause}};
        for (const auto &[key, value] : event.fields)
            line["fields"][key] = value;
        out << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    }
}

} // namespace rhubarbweir
