// See timeline_event.hpp.
#include "programs/ctl/timeline_event.hpp"

#include <absl/strings/numbers.h>

#include <istream>

namespace rhubarbweir {

namespace {

// Reads the key=value pairs of a line from left to right.
class FieldScanner
{
public:
    explicit FieldScanner(std::string_view line)
        : rest(line)
    {
    }

    // Returns nothing at the end of the line or at a malformed pair.
    std::optional<std::pair<std::string, std::string>> next()
    {
        this->rest.remove_prefix(std::min(this->rest.find_first_not_of(' '), this->rest.size()));
        const std::size_t equals = this->rest.find('=');
        if (equals == std::string_view::npos || equals == 0)
            return std::nullopt;
        std::string key(this->rest.substr(0, equals));
        this->rest.remove_prefix(equals + 1);
        std::optional<std::string> value = this->value();
        if (!value || key.find(' ') != std::string::npos)
            return std::nullopt;
        return std::make_pair(std::move(key), *std::move(value));
    }

    bool atEnd() const { return this->rest.find_first_not_of(' ') == std::string_view::npos; }

private:
    std::optional<std::string> value()
    {
        if (this->rest.empty() || this->rest[0] != '"') {
            const std::size_t end = std::min(this->rest.find(' '), this->rest.size());
            std::string text(this->rest.substr(0, end));
            this->rest.remove_prefix(end);
            return text;
        }
        return this->quotedValue();
    }

    std::optional<std::string> quotedValue()
    {
        std::string text;
        for (std::size_t index = 1; index < this->rest.size(); ++index) {
            const char character = this->rest[index];
            if (character == '"') {
                this->rest.remove_prefix(index + 1);
                return text;
            }
            if (character == '\\' && index + 1 < this->rest.size()) {
                ++index;
                text += this->rest[index] == 'n' ? '\n' : this->rest[index];
            } else {
                text += character;
            }
        }
        return std::nullopt;
    }

    std::string_view rest;
};

void assignField(TimelineEvent &event, std::string key, std::string value)
{
    if (key == "instance")
        event.instance = std::move(value);
    else if (key == "event")
        event.event = std::move(value);
    else if (key == "level")
        event.level = std::move(value);
    else if (key == "cause")
        event.cause = std::move(value);
    else if (key != "time")
        event.fields.emplace_back(std::move(key), std::move(value));
}

} // namespace

std::string TimelineEvent::field(std::string_view key) const
{
    for (const auto &[name, value] : this->fields) {
        if (name == key)
            return value;
    }
    return "";
}

std::optional<TimelineEvent> parseEventLine(std::string_view line)
{
    TimelineEvent event;
    FieldScanner scanner(line);
    while (auto pair = scanner.next()) {
        if (pair->first == "clock") {
            if (!absl::SimpleAtoi(pair->second, &event.clock))
                return std::nullopt;
        } else {
            assignField(event, std::move(pair->first), std::move(pair->second));
        }
    }
    const bool isComplete = scanner.atEnd() && event.clock > 0 && !event.event.empty();
    return isComplete ? std::optional(std::move(event)) : std::nullopt;
}

EventFile readEvents(std::istream &in)
{
    EventFile file;
    std::string line;
    while (std::getline(in, line)) {
        if (std::optional<TimelineEvent> event = parseEventLine(line))
            file.events.push_back(*std::move(event));
        else
            ++file.skippedLines;
    }
    return file;
}

} // namespace rhubarbweir
