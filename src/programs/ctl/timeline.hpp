// Timeline of all processes: their event logs merged by clock.
#pragma once

#include "programs/ctl/timeline_event.hpp"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbweir {

struct TimelineFilter
{
    // Only these instances; empty for all.
    std::vector<std::string> instances;
    // Only these events; empty for all.
    std::vector<std::string> events;
    // Only events with this text in the event name, instance, cause or a field; empty for all.
    std::string text;
    // Inclusive bounds, in microseconds after the first event.
    std::optional<std::int64_t> from;
    std::optional<std::int64_t> to;
};

// Merges the logs of several processes by the clock of their events. Events of one file keep their
// order, even where its clock goes back.
std::vector<TimelineEvent> mergeEvents(std::vector<std::vector<TimelineEvent>> files);

// Returns the events of a merged timeline that pass the filter.
std::vector<TimelineEvent> filterEvents(const std::vector<TimelineEvent> &events,
                                        const TimelineFilter &filter);
// Returns the instance names in natural order: numbers within names are compared as numbers.
std::vector<std::string> instancesOf(const std::vector<TimelineEvent> &events);

// Writes one line per event: seconds since `start` (a clock value), instance, event, fields and
// cause.
void writeTimelineText(const std::vector<TimelineEvent> &events, std::int64_t start,
                       std::ostream &out);
// Writes a self-contained HTML page: a lane for each instance, and a table of the events with their
// causes.
void writeTimelineHtml(const std::vector<TimelineEvent> &events, std::int64_t start,
                       std::ostream &out);
// Writes one JSON object per line.
void writeTimelineJson(const std::vector<TimelineEvent> &events, std::ostream &out);

} // namespace rhubarbweir
