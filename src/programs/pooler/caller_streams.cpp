// See caller_streams.hpp.
#include "programs/pooler/caller_streams.hpp"

#include <utility>

namespace rhubarbweir {

CallerStreams::CallerStreams(EventLoop &loop, const std::string &address,
                             std::size_t maxConnections, CallerStreamHooks streamHooks)
    : hooks(std::move(streamHooks))
    , listener(loop, address, maxConnections,
               [this](const ByteStreamPtr &stream) { this->accepted(stream); })
{
}

void CallerStreams::accepted(const ByteStreamPtr &stream)
{
    const SessionNumber number = ++this->lastNumber;
    auto link = std::make_shared<Link>();
    link->stream = stream;
    this->links[number] = std::move(link);
    stream->onBytes = [this, number](std::string_view bytes) {
        this->received(number, bytes);
    };
    stream->onClosed = [this, number](bool) {
        this->end(number);
    };
}

void CallerStreams::received(SessionNumber number, std::string_view bytes)
{
    const auto found = this->links.find(number);
    if (found == this->links.end())
        return;
    // Kept alive: a hook may close the link.
    const std::shared_ptr<Link> link = found->second;
    link->reader.append(bytes);
    while (const auto line = link->reader.next()) {
        if (!this->lineReceived(number, *link, *line) || this->links.count(number) == 0)
            return;
    }
    if (link->reader.isOverlong())
        this->end(number);
}

bool CallerStreams::lineReceived(SessionNumber number, Link &link, const std::string &line)
{
    platform::CallerLine parsed = platform::parseCallerLine(line);
    if (auto *statement = std::get_if<TextStatement>(&parsed); statement && link.isOpen) {
        this->hooks.statement(number, std::move(*statement));
        return true;
    }
    const auto *start = std::get_if<platform::SessionStart>(&parsed);
    if (start != nullptr && !link.isOpen) {
        link.isOpen = this->hooks.opened(number, start->database);
        if (link.isOpen) {
            link.stream->send(platform::encodeSessionOpened());
            return true;
        }
        link.stream->send(
            platform::encodeSessionRefused(StatementFault::NoDatabase, start->database));
    } else if (!std::holds_alternative<platform::SessionEnd>(parsed)) {
        link.stream->send(platform::encodeSessionRefused(StatementFault::Malformed, ""));
    }
    this->end(number);
    return false;
}

void CallerStreams::answer(SessionNumber number, const StatementAnswer &answer)
{
    const auto found = this->links.find(number);
    if (found != this->links.end())
        found->second->stream->send(platform::encodeAnswer(answer));
}

void CallerStreams::close(SessionNumber number)
{
    const auto found = this->links.find(number);
    if (found == this->links.end())
        return;
    found->second->stream->close();
    this->links.erase(found);
}

void CallerStreams::end(SessionNumber number)
{
    const auto found = this->links.find(number);
    if (found == this->links.end())
        return;
    const bool wasOpen = found->second->isOpen;
    this->close(number);
    if (wasOpen)
        this->hooks.closed(number);
}

} // namespace rhubarbweir
