// The time line of all processes: their event logs merged in causal order.
#pragma once

#include "programs/ctl/timeline_event.hpp"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbweir {

struct TimelineFilter
{
    // Only these instances; empty: all.
    std::vector<std::string> instances;
    // Only these events; empty: all.
    std::vector<std::string> events;
    // Only events with this text in a field, the cause or the name; empty: all.
    std::string text;
    // Bounds in microseconds after the first event; both included.
    std::optional<std::int64_t> from;
    std::optional<std::int64_t> to;
};

// Merges the logs of several processes by their hybrid logical clocks. Events of one file keep
// their order, even where its clock went back.
std::vector<TimelineEvent> mergeEvents(std::vector<std::vector<TimelineEvent>> files);

// Both take and return a merged time line.
std::vector<TimelineEvent> filterEvents(const std::vector<TimelineEvent> &events,
                                        const TimelineFilter &filter);
// Instances in the order of their names; numbers within names count as numbers.
std::vector<std::string> instancesOf(const std::vector<TimelineEvent> &events);

// One line an event: seconds since `start` (a clock value), instance, event, fields and cause.
void writeTimelineText(const std::vector<TimelineEvent> &events, std::int64_t start,
                       std::ostream &out);
// One HTML page without outside parts: a lane for each instance, causes beside the events.
void writeTimelineHtml(const std::vector<TimelineEvent> &events, std::int64_t start,
                       std::ostream &out);
// One JSON object a line.
void writeTimelineJson(const std::vector<TimelineEvent> &events, std::ostream &out);

} // namespace rhubarbweir
