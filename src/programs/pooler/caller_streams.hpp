// Connections of callers to a pooler, each with one text session.
#pragma once

#include "platform/text_protocol.hpp"
#include "rhubarbweir/coordination/sessions/session_pooler.hpp"
#include "rhubarbweir/transport/byte_stream.hpp"

#include <map>
#include <memory>
#include <string>

namespace rhubarbweir {

class EventLoop;

struct CallerStreamHooks
{
    // False while no configuration is known; sessions then wait for one.
    std::function<bool()> isReady;
    std::function<SessionOpening(SessionNumber, const std::string &database, const KeyDigest &)>
        opened;
    std::function<void(SessionNumber, TextStatement)> statement;
    std::function<void(SessionNumber)> closed;
};

class CallerStreams
{
public:
    CallerStreams(EventLoop &loop, const std::string &address, std::size_t maxConnections,
                  CallerStreamHooks hooks);

    // Errors: those of StreamListener::listen.
    absl::Status listen() { return this->listener.listen(); }
    void stopListening() { this->listener.stop(); }
    void answer(SessionNumber session, const StatementAnswer &answer);
    // The session's state takes `bytes` from now on.
    void setStateSize(SessionNumber session, std::size_t bytes);
    // After this no hook is called for the session.
    void close(SessionNumber session);
    std::size_t count() const { return this->links.size(); }
    // Opens the sessions that were waiting for a configuration.
    void openWaiting();

private:
    struct Link
    {
        ByteStreamPtr stream;
        platform::LineReader reader;
        bool isOpen = false;
        // Statements that are not yet answered, and their approximate size.
        std::size_t unanswered = 0;
        std::size_t unansweredBytes = 0;
        std::size_t stateBytes = 0;
        // Requested database while the session waits for a configuration; empty otherwise.
        std::string awaitedDatabase;
        KeyDigest awaitedKey;
    };

    void accepted(const ByteStreamPtr &stream);
    void received(SessionNumber session, std::string_view bytes);
    bool lineReceived(SessionNumber session, Link &link, const std::string &line);
    void start(SessionNumber session, Link &link, const std::string &database,
               const KeyDigest &key);
    void refuse(SessionNumber session, Link &link, StatementFault fault, const std::string &detail);
    void end(SessionNumber session);
    static void updateHeld(const Link &link);

    EventLoop &loop;
    CallerStreamHooks hooks;
    std::map<SessionNumber, std::shared_ptr<Link>> links;
    SessionNumber lastNumber = 0;
    StreamListener listener;
};

} // namespace rhubarbweir
