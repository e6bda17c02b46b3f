// The part of a pooler that relays sessions to other poolers and serves sessions of theirs, where
// targets accept few connections. It owns the links between poolers, the table of holders and both
// sides of relayed sessions. See docs/design/session-relay.md.
#pragma once

#include "platform/process_settings.hpp"
#include "programs/support/peer_links.hpp"
#include "rhubarbweir/coordination/sessions/holder_table.hpp"
#include "rhubarbweir/coordination/sessions/relay_entry.hpp"
#include "rhubarbweir/coordination/sessions/relay_holder.hpp"
#include "rhubarbweir/coordination/sessions/session_pooler.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbweir {

class EventLoop;

struct SessionRelayHooks
{
    // For sessions of callers of this pooler.
    std::function<void(SessionNumber, const StatementAnswer &)> answer;
    std::function<void(SessionNumber)> closeSession;
    // Whether the process is stopping; it then takes no sessions of other poolers.
    std::function<bool()> isStopping;
    // nextDeadline() of the relay or the pooler may have changed.
    std::function<void()> deadlineChanged;
    std::function<void(std::string_view metric)> count;
    std::function<void(std::string_view event, const PoolerEventFields &)> event;
};

class SessionRelay
{
public:
    // `firstRelay`: see RelayEntry. `pooler` serves the sessions that this pooler holds.
    SessionRelay(EventLoop &loop, const platform::ProcessSettings &settings, RelayId firstRelay,
                 SessionPooler &pooler, SessionRelayHooks hooks);

    // Errors: those of WebSocketServer::listen.
    absl::Status listen() { return this->server.listen(); }
    // Where other poolers reach this one, as host:port.
    const std::string &address() const { return this->ownAddress; }

    // Events of callers of this pooler. The session has been opened at the pooler.
    void callerOpened(const RelayedSession &session);
    void callerStatement(SessionNumber session, TextStatement statement);
    void callerClosed(SessionNumber session);

    // Events of sessions of the pooler. The answer is one of a session of another pooler's caller.
    void answer(SessionNumber session, const StatementAnswer &answer);
    void sessionClosed(SessionNumber session);
    // Connections to one target of the group that this pooler may open for the team; empty for a
    // group without holders.
    std::optional<std::uint32_t> heldConnections(const GroupId &group, const TeamId &team) const;

    // Whether any group has holders.
    bool needsPeers() const;
    // Version of the peers in use; 0 before the first.
    std::uint64_t peersVersion() const { return this->holders.peersVersion(); }
    void peersReceived(PoolerPeers next) { this->holders.setPeers(std::move(next)); }
    // Closes idle sessions that began while their holder was not known or not reachable, a part of
    // them at a time. Otherwise they would keep connections away from the holder for as long as
    // they last.
    void closeMisplacedSessions();

    void advance(TimePoint now) { this->relayEntry.advance(now); }
    // When advance() is due.
    TimePoint nextDeadline() const { return this->relayEntry.nextDeadline(); }

    // Sessions of this pooler's callers at other poolers, and how to end them: see RelayEntry.
    std::size_t sessionCount() const { return this->relayEntry.sessionCount(); }
    void closeIdleSessions(std::size_t count) { this->relayEntry.closeIdleSessions(count); }
    void closeWhenAnswered() { this->relayEntry.closeWhenAnswered(); }
    void closeAll() { this->relayEntry.closeAll(); }

private:
    PeerLinksHooks peerHooks();
    RelayEntryHooks entryHooks();
    RelayHolderHooks holderHooks();
    bool peerMessage(const InstanceId &peer, const Message &message);
    const PoolerPeer *holderOf(const std::string &database, const KeyDigest &key);
    bool bindToHolder(SessionNumber session, const std::string &database, const KeyDigest &key);
    void bindElsewhere(const RelayedSession &session, std::vector<TextStatement> statements,
                       bool mayRelay);
    void relayStatement(SessionNumber session, TextStatement statement);

    SessionPooler &pooler;
    SessionRelayHooks programHooks;
    std::string ownAddress;
    HolderTable holders;
    PeerLinks peers;
    RelayEntry relayEntry;
    RelayHolder relayHolder;
    WebSocketServer server;
    // Callers' sessions that have sent no statement yet. With the first one they are bound to a
    // holder or to this pooler.
    std::map<SessionNumber, RelayedSession> unbound;
    // Callers' sessions that this pooler serves itself, where connections are scarce.
    std::map<SessionNumber, RelayedSession> servedHere;
};

} // namespace rhubarbweir
