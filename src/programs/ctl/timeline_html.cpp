// Writes the timeline as an HTML page (declared in timeline.hpp).
#include "programs/ctl/timeline.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <iomanip>
#include <map>
#include <ostream>

namespace rhubarbweir {

namespace {

constexpr const char *Style = R"(
body { font: 14px/1.4 system-ui, sans-serif; margin: 1em; color: #222; }
h1 { font-size: 1.3em; }
#lanes { overflow-x: auto; border: 1px solid #bbb; max-height: 60vh; overflow-y: auto; }
#track { width: calc(var(--zoom, 1) * 100%); min-width: 100%; }
.lane { position: relative; height: 22px; border-bottom: 1px solid #eee; }
.lane:nth-child(odd) { background: #f8f8f8; }
.name { position: sticky; left: 0; display: inline-block; width: 11em; padding-left: .4em;
        background: inherit; z-index: 2; font-size: 12px; }
.dots { position: absolute; left: 12em; right: 1em; top: 0; bottom: 0; }
.dots a { position: absolute; width: 9px; height: 9px; top: 6px; margin-left: -4px;
          border-radius: 50%; background: #4a7ab5; opacity: .75; }
.dots a.caused { background: #d08600; }
.dots a.warning { background: #c94f00; }
.dots a.error { background: #b00020; }
.dots a:hover, .dots a:focus { outline: 2px solid #000; opacity: 1; z-index: 1; }
table { border-collapse: collapse; margin-top: 1em; width: 100%; }
td, th { text-align: left; padding: 1px 8px; border-bottom: 1px solid #eee; vertical-align: top; }
td:first-child { text-align: right; font-variant-numeric: tabular-nums; white-space: nowrap; }
tr:target { background: #fff3c4; }
.cause { color: #8a5a00; }
label { margin-right: 1.5em; }
)";

constexpr const char *Script = R"(
const rows = [...document.querySelectorAll('tbody tr')];
const dots = new Map([...document.querySelectorAll('.dots a')].map(d => [d.hash.slice(1), d]));
document.getElementById('zoom').addEventListener('input', e =>
  document.getElementById('track').style.setProperty('--zoom', e.target.value));
document.getElementById('find').addEventListener('input', e => {
  const words = e.target.value.toLowerCase().split(' ').filter(w => w);
  for (const row of rows) {
    const text = row.textContent.toLowerCase();
    const shown = words.every(w => text.includes(w));
    row.hidden = !shown;
    dots.get(row.id).hidden = !shown;
  }
});
)";

std::string escaped(const std::string &text)
{
    return absl::StrReplaceAll(
        text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}, {"'", "&#39;"}});
}

std::string describeFields(const TimelineEvent &event)
{
    std::string text;
    for (const auto &[key, value] : event.fields)
        absl::StrAppend(&text, text.empty() ? "" : " ", key, "=", value);
    return text;
}

class HtmlWriter
{
public:
    HtmlWriter(const std::vector<TimelineEvent> &timeline, std::int64_t startClock,
               std::ostream &stream)
        : events(timeline)
        , out(stream)
        , start(startClock)
        , end(startClock)
    {
        for (const TimelineEvent &event : timeline)
            this->end = std::max(this->end, event.clock);
    }

    void write()
    {
        this->out << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
                  << "<title>Timeline</title>\n<style>" << Style << "</style></head><body>\n"
                  << "<h1>Timeline of " << this->events.size() << " events over " << std::fixed
                  << std::setprecision(3) << this->seconds(this->end) << " s</h1>\n"
                  << "<p><label>Zoom <input id=\"zoom\" type=\"range\" min=\"1\" max=\"100\" "
                     "value=\"1\"></label><label>Find <input id=\"find\" size=\"40\" "
                     "placeholder=\"words, such as windlog-1 primary\"></label>"
                     "Amber: with a cause. Orange, red: warning, error.</p>\n";
        this->writeLanes();
        this->writeRows();
        this->out << "<script>" << Script << "</script></body></html>\n";
    }

private:
    double seconds(std::int64_t clock) const
    {
        return static_cast<double>(clock - this->start) / 1e6;
    }

    std::string dotClass(const TimelineEvent &event) const
    {
        if (event.level == "error" || event.level == "warning")
            return event.level;
        return event.cause.empty() ? "plain" : "caused";
    }

    void writeLanes()
    {
        std::map<std::string, std::vector<std::size_t>> lanes;
        for (std::size_t index = 0; index < this->events.size(); ++index)
            lanes[this->events[index].instance].push_back(index);
        this->out << "<div id=\"lanes\"><div id=\"track\">\n";
        for (const std::string &instance : instancesOf(this->events)) {
            this->out << "<div class=\"lane\"><span class=\"name\">" << escaped(instance)
                      << "</span><span class=\"dots\">";
            for (const std::size_t index : lanes[instance])
                this->writeDot(index);
            this->out << "</span></div>\n";
        }
        this->out << "</div></div>\n";
    }

    void writeDot(std::size_t index)
    {
        const TimelineEvent &event = this->events[index];
        const double span = std::max(this->seconds(this->end), 1e-6);
        std::string title = event.event + "\n" + describeFields(event);
        if (!event.cause.empty())
            title += "\ncause: " + event.cause;
        this->out << "<a href=\"#e" << index << "\" class=\"" << this->dotClass(event)
                  << "\" style=\"left:" << std::setprecision(4)
                  << 100 * this->seconds(event.clock) / span << "%\" title=\"+"
                  << std::setprecision(6) << this->seconds(event.clock) << " s " << escaped(title)
                  << "\"></a>";
    }

    void writeRows()
    {
        this->out << "<table><thead><tr><th>seconds</th><th>instance</th><th>event</th>"
                     "<th>fields</th><th>cause</th></tr></thead><tbody>\n";
        for (std::size_t index = 0; index < this->events.size(); ++index) {
            const TimelineEvent &event = this->events[index];
            this->out << "<tr id=\"e" << index << "\"><td>" << std::setprecision(6)
                      << this->seconds(event.clock) << "</td><td>" << escaped(event.instance)
                      << "</td><td>" << escaped(event.event) << "</td><td>"
                      << escaped(describeFields(event)) << "</td><td class=\"cause\">"
                      << escaped(event.cause) << "</td></tr>\n";
        }
        this->out << "</tbody></table>\n";
    }

    const std::vector<TimelineEvent> &events;
    std::ostream &out;
    // Clock values at the left and the right end of the lanes.
    std::int64_t start;
    std::int64_t end;
};

} // namespace

void writeTimelineHtml(const std::vector<TimelineEvent> &events, std::int64_t start,
                       std::ostream &out)
{
    HtmlWriter(events, start, out).write();
}

} // namespace rhubarbweir
