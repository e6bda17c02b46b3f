// See target_streams.hpp.
#include "programs/pooler/target_streams.hpp"

#include "rhubarbweir/transport/event_loop.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};

TargetFailure failureOf(StatementFault fault)
{
    switch (fault) {
    case StatementFault::WrongTarget:
        return TargetFailure::WrongTarget;
    case StatementFault::TooMany:
        return TargetFailure::TooMany;
    default:
        return TargetFailure::Malformed;
    }
}

} // namespace

TargetStreams::TargetStreams(EventLoop &eventLoop, std::string selfName,
                             TargetStreamHooks streamHooks)
    : loop(eventLoop)
    , self(std::move(selfName))
    , hooks(std::move(streamHooks))
{
}

void TargetStreams::open(ConnectionId id, const RegisteredTarget &target, const TeamId &team)
{
    this->links[id] = std::make_shared<Link>();
    connectStream(this->loop, target.address, EventLoop::now() + ConnectTimeout,
                  [this, id, target, team](absl::StatusOr<ByteStreamPtr> result) {
                      if (result.ok())
                          this->connected(id, target, team, *result);
                      else
                          this->fail(id, absl::IsDeadlineExceeded(result.status())
                                             ? TargetFailure::Silent
                                             : TargetFailure::Refused);
                  });
}

void TargetStreams::connected(ConnectionId id, const RegisteredTarget &target, const TeamId &team,
                              const ByteStreamPtr &stream)
{
    const auto found = this->links.find(id);
    if (found == this->links.end()) {
        stream->abort();
        return;
    }
    found->second->stream = stream;
    stream->onBytes = [this, id](std::string_view bytes) {
        this->received(id, bytes);
    };
    stream->onClosed = [this, id](bool) {
        this->fail(id, TargetFailure::Reset);
    };
    const std::string &caller = team.empty() ? this->self : team.value;
    stream->send(platform::encodeTargetStart(target.group, caller, target.target));
}

void TargetStreams::send(ConnectionId id, const std::vector<TargetCommand> &commands)
{
    const auto found = this->links.find(id);
    if (found == this->links.end())
        return;
    std::string bytes;
    for (const TargetCommand &command : commands)
        bytes += platform::encodeTargetCommand(command);
    found->second->stream->send(bytes);
}

void TargetStreams::close(ConnectionId id)
{
    const auto found = this->links.find(id);
    if (found == this->links.end())
        return;
    const std::shared_ptr<Link> link = found->second;
    this->links.erase(found);
    if (link->stream)
        link->stream->abort();
}

void TargetStreams::received(ConnectionId id, std::string_view bytes)
{
    const auto found = this->links.find(id);
    if (found == this->links.end())
        return;
    // Keeps the link alive, because a hook may close it.
    const std::shared_ptr<Link> link = found->second;
    link->reader.append(bytes);
    while (const auto line = link->reader.next()) {
        if (!this->lineReceived(id, *link, *line) || this->links.count(id) == 0)
            return;
    }
    if (link->reader.isOverlong())
        this->fail(id, TargetFailure::Malformed);
    else
        link->stream->holdInput(link->reader.size() + link->assembler.size());
}

bool TargetStreams::lineReceived(ConnectionId id, Link &link, const std::string &line)
{
    using Result = platform::AnswerAssembler::Result;
    const Result result = link.assembler.add(line);
    if (result == Result::Malformed) {
        this->fail(id, TargetFailure::Malformed);
        return false;
    }
    if (!link.isOpen && link.assembler.fault()) {
        this->fail(id, failureOf(*link.assembler.fault()));
        return false;
    }
    if (result == Result::Incomplete)
        return true;
    const StatementAnswer answer = link.assembler.take();
    if (link.isOpen) {
        this->hooks.answered(id, answer);
    } else {
        link.isOpen = true;
        this->hooks.opened(id, answer.position);
    }
    return true;
}

void TargetStreams::fail(ConnectionId id, TargetFailure failure)
{
    if (this->links.count(id) == 0)
        return;
    this->close(id);
    this->hooks.closed(id, failure);
}

} // namespace rhubarbweir
