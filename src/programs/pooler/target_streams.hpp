// A pooler's connections to targets: handshake, commands and answers.
#pragma once

#include "platform/text_protocol.hpp"
#include "rhubarbweir/coordination/sessions/session_pooler.hpp"
#include "rhubarbweir/transport/byte_stream.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rhubarbweir {

class EventLoop;

struct TargetStreamHooks
{
    std::function<void(ConnectionId, std::optional<LogPosition>)> opened;
    std::function<void(ConnectionId, const StatementAnswer &)> answered;
    std::function<void(ConnectionId, TargetFailure)> closed;
};

class TargetStreams
{
public:
    TargetStreams(EventLoop &loop, std::string self, TargetStreamHooks hooks);

    // The target is told the team, or this instance's name if it is empty.
    void open(ConnectionId id, const RegisteredTarget &target, const TeamId &team);
    void send(ConnectionId id, const std::vector<TargetCommand> &commands);
    // After this no hook is called for the connection.
    void close(ConnectionId id);

private:
    struct Link
    {
        ByteStreamPtr stream;
        platform::LineReader reader;
        platform::AnswerAssembler assembler;
        bool isOpen = false;
    };

    void connected(ConnectionId id, const RegisteredTarget &target, const TeamId &team,
                   const ByteStreamPtr &stream);
    void received(ConnectionId id, std::string_view bytes);
    bool lineReceived(ConnectionId id, Link &link, const std::string &line);
    void fail(ConnectionId id, TargetFailure failure);

    EventLoop &loop;
    std::string self;
    TargetStreamHooks hooks;
    // By connection. Erased on close, so that late events of a stream are ignored.
    std::map<ConnectionId, std::shared_ptr<Link>> links;
};

} // namespace rhubarbweir
