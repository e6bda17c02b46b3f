// See caller_streams.hpp.
#include "programs/pooler/caller_streams.hpp"

#include "rhubarbweir/protocol/key_digest.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <utility>
#include <vector>

namespace rhubarbweir {

namespace {

// Callers abandon a session that is not opened within two seconds.
constexpr std::chrono::milliseconds SessionOpenTimeout{1500};

} // namespace

CallerStreams::CallerStreams(EventLoop &eventLoop, const std::string &address,
                             std::size_t maxConnections, CallerStreamHooks streamHooks)
    : loop(eventLoop)
    , hooks(std::move(streamHooks))
    , listener(eventLoop, address, maxConnections,
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
    // Keeps the link alive, because a hook may close it.
    const std::shared_ptr<Link> link = found->second;
    link->reader.append(bytes);
    while (const auto line = link->reader.next()) {
        if (!this->lineReceived(number, *link, *line) || this->links.count(number) == 0)
            return;
    }
    if (link->reader.isOverlong())
        this->end(number);
    else
        updateHeld(*link);
}

void CallerStreams::updateHeld(const Link &link)
{
    link.stream->holdInput(link.reader.size() + link.unansweredBytes + link.stateBytes);
}

void CallerStreams::setStateSize(SessionNumber number, std::size_t bytes)
{
    const auto found = this->links.find(number);
    if (found == this->links.end())
        return;
    found->second->stateBytes = bytes;
    updateHeld(*found->second);
}

bool CallerStreams::lineReceived(SessionNumber number, Link &link, const std::string &line)
{
    platform::CallerLine parsed = platform::parseCallerLine(line);
    if (auto *statement = std::get_if<TextStatement>(&parsed); statement && link.isOpen) {
        ++link.unanswered;
        link.unansweredBytes += sizeof(TextStatement) + line.size();
        this->hooks.statement(number, std::move(*statement));
        return true;
    }
    const auto *opening = std::get_if<platform::SessionStart>(&parsed);
    if (opening != nullptr && !link.isOpen && link.awaitedDatabase.empty()) {
        this->start(number, link, opening->database, digestOfKey(opening->key));
        return true;
    }
    if (std::holds_alternative<platform::SessionEnd>(parsed))
        this->end(number);
    else
        this->refuse(number, link, StatementFault::Malformed, "");
    return false;
}

void CallerStreams::start(SessionNumber number, Link &link, const std::string &database,
                          const KeyDigest &key)
{
    if (!this->hooks.isReady()) {
        link.awaitedDatabase = database;
        link.awaitedKey = key;
        this->loop.schedule(EventLoop::now() + SessionOpenTimeout, [this, number] {
            const auto found = this->links.find(number);
            if (found != this->links.end() && !found->second->awaitedDatabase.empty())
                this->refuse(number, *found->second, StatementFault::Busy, "no configuration yet");
        });
        return;
    }
    link.awaitedDatabase.clear();
    switch (this->hooks.opened(number, database, key)) {
    case SessionOpening::Opened:
        link.isOpen = true;
        link.stream->send(platform::encodeSessionOpened());
        return;
    case SessionOpening::UnknownDatabase:
        this->refuse(number, link, StatementFault::NoDatabase, database);
        return;
    case SessionOpening::Denied:
        this->refuse(number, link, StatementFault::Denied, "no team holds the key");
        return;
    case SessionOpening::Unproven:
        this->refuse(number, link, StatementFault::Busy, "configuration not proven");
        return;
    }
}

void CallerStreams::openWaiting()
{
    std::vector<SessionNumber> waiting;
    for (const auto &[number, link] : this->links) {
        if (!link->awaitedDatabase.empty())
            waiting.push_back(number);
    }
    for (const SessionNumber number : waiting) {
        const std::shared_ptr<Link> link = this->links.at(number);
        this->start(number, *link, std::string(link->awaitedDatabase), link->awaitedKey);
    }
}

void CallerStreams::refuse(SessionNumber number, Link &link, StatementFault fault,
                           const std::string &detail)
{
    link.stream->send(platform::encodeSessionRefused(fault, detail));
    this->end(number);
}

void CallerStreams::answer(SessionNumber number, const StatementAnswer &answer)
{
    const auto found = this->links.find(number);
    if (found == this->links.end())
        return;
    Link &link = *found->second;
    if (link.unanswered > 0)
        link.unansweredBytes -= link.unansweredBytes / link.unanswered--;
    updateHeld(link);
    link.stream->send(platform::encodeAnswer(answer));
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
