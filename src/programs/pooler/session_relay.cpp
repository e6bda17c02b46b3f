// See session_relay.hpp.
#include "programs/pooler/session_relay.hpp"

#include "programs/support/event_log.hpp"
#include "rhubarbweir/protocol/message_conversion.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <absl/strings/str_cat.h>

#include <utility>

namespace rhubarbweir {

namespace {

// Of the sessions that another pooler should hold, this part is looked at with each lease.
constexpr std::size_t MisplacedPart = 4;
// Other poolers of the failure domain, and operators who look at metrics.
constexpr std::size_t MaxPeerConnections = 512;

std::string peerAddress(const platform::ProcessSettings &settings)
{
    // Control instances use the first internal port.
    return absl::StrCat(settings.ip, ":", settings.firstInternalPort + 1);
}

} // namespace

SessionRelay::SessionRelay(EventLoop &loop, const platform::ProcessSettings &settings,
                           RelayId firstRelay, SessionPooler &sessionPooler,
                           SessionRelayHooks relayHooks)
    : pooler(sessionPooler)
    , programHooks(std::move(relayHooks))
    , ownAddress(peerAddress(settings))
    , holders(settings.instance, PoolerSettings().controlConnections)
    , peers(loop, settings.instance, this->peerHooks())
    , relayEntry(firstRelay, this->entryHooks())
    , relayHolder(this->holderHooks())
    , server(loop, this->ownAddress, {Subprotocol::Peer}, MaxPeerConnections,
             ServerHooks{[this](const ConnectionPtr &connection, Subprotocol) {
                             this->peers.accept(connection);
                         },
                         [](const std::string &) { return HttpReply(); }, logConnectionFault})
{
}

void SessionRelay::callerOpened(const RelayedSession &session)
{
    this->unbound[session.number] = session;
}

void SessionRelay::callerClosed(SessionNumber session)
{
    this->unbound.erase(session);
    this->servedHere.erase(session);
    if (this->relayEntry.holds(session))
        this->relayEntry.callerClosed(session);
    else
        this->pooler.sessionClosed(session, EventLoop::now());
}

void SessionRelay::answer(SessionNumber session, const StatementAnswer &answer)
{
    this->relayHolder.answer(session, answer);
}

void SessionRelay::sessionClosed(SessionNumber session)
{
    this->unbound.erase(session);
    this->servedHere.erase(session);
    if (RelayHolder::isRelayed(session))
        this->relayHolder.sessionClosed(session);
}

std::optional<std::uint32_t> SessionRelay::heldConnections(const GroupId &group,
                                                           const TeamId &team) const
{
    const AuthorityView &view = this->pooler.authorityView();
    return this->holders.connections(view.routes(), group, team, view.connectionHolders());
}

void SessionRelay::callerStatement(SessionNumber session, TextStatement statement)
{
    const auto found = this->unbound.find(session);
    if (found != this->unbound.end()) {
        const RelayedSession opened = found->second;
        this->unbound.erase(found);
        if (this->bindToHolder(session, opened.database, opened.key))
            this->pooler.sessionClosed(session, EventLoop::now());
        else if (this->needsPeers())
            this->servedHere[session] = opened;
    }
    if (this->relayEntry.holds(session))
        this->relayStatement(session, std::move(statement));
    else
        this->pooler.statement(session, std::move(statement), EventLoop::now());
}

// The pooler that is to serve sessions of the database and key; null for this one.
const PoolerPeer *SessionRelay::holderOf(const std::string &database, const KeyDigest &key)
{
    const AuthorityView &view = this->pooler.authorityView();
    const Route *route = view.route(database);
    if (route == nullptr)
        return nullptr;
    TeamId team;
    if (const auto found = view.routes().teamsByKey.find(key);
        !route->isPublic && found != view.routes().teamsByKey.end())
        team = found->second;
    return this->holders.holder(view.routes(), route->group, team, view.connectionHolders(),
                                EventLoop::now());
}

// Opens the session at the holder of its group and team. False if this pooler is to serve it.
bool SessionRelay::bindToHolder(SessionNumber session, const std::string &database,
                                const KeyDigest &key)
{
    const PoolerPeer *holder = this->holderOf(database, key);
    if (holder == nullptr)
        return false;
    this->programHooks.count("relay_opened");
    this->relayEntry.open({session, database, key}, *holder, EventLoop::now());
    return true;
}

bool SessionRelay::needsPeers() const
{
    const AuthorityView &view = this->pooler.authorityView();
    return this->holders.isScarce(view.routes(), view.connectionHolders());
}

void SessionRelay::closeMisplacedSessions()
{
    if (!this->needsPeers())
        return;
    const TimePoint now = EventLoop::now();
    std::vector<SessionNumber> misplaced;
    for (const auto &[number, session] : this->servedHere) {
        if (this->holderOf(session.database, session.key) != nullptr)
            misplaced.push_back(number);
    }
    std::size_t remaining = misplaced.size() / MisplacedPart + 1;
    for (const SessionNumber number : misplaced) {
        if (remaining > 0 && this->pooler.closeIfIdle(number, now))
            --remaining;
    }
    this->relayEntry.closeIdleSessions(
        this->relayEntry.sessionCount() / MisplacedPart + 1,
        [this](const RelayedSession &session, const PoolerPeer &holder) {
            const PoolerPeer *current = this->holderOf(session.database, session.key);
            return current == nullptr || current->instance != holder.instance;
        });
}

void SessionRelay::relayStatement(SessionNumber session, TextStatement statement)
{
    const std::string *database = this->relayEntry.databaseOf(session);
    const Route *route =
        database == nullptr ? nullptr : this->pooler.authorityView().route(*database);
    this->relayEntry.statement(session, std::move(statement),
                               route == nullptr ? Duration::zero() : route->timeout,
                               EventLoop::now());
}

void SessionRelay::bindElsewhere(const RelayedSession &session,
                                 std::vector<TextStatement> statements, bool mayRelay)
{
    const bool isRelayed =
        mayRelay && this->bindToHolder(session.number, session.database, session.key);
    if (!isRelayed
        && this->pooler.sessionOpened(session.number, session.database, session.key,
                                      EventLoop::now())
               != SessionOpening::Opened) {
        StatementAnswer refusal;
        refusal.fault = StatementFault::Busy;
        refusal.detail = "session not opened";
        for (std::size_t count = 0; count < statements.size(); ++count)
            this->programHooks.answer(session.number, refusal);
        this->programHooks.closeSession(session.number);
        return;
    }
    for (TextStatement &statement : statements) {
        if (isRelayed)
            this->relayStatement(session.number, std::move(statement));
        else
            this->pooler.statement(session.number, std::move(statement), EventLoop::now());
    }
    this->programHooks.deadlineChanged();
}

PeerLinksHooks SessionRelay::peerHooks()
{
    PeerLinksHooks hooks;
    hooks.message = [this](const InstanceId &peer, const Message &message) {
        const bool isKnown = this->peerMessage(peer, message);
        this->programHooks.deadlineChanged();
        return isKnown;
    };
    hooks.connected = [](const InstanceId &) {
    };
    hooks.lost = [this](const InstanceId &peer, bool wasConnected) {
        this->relayEntry.peerLost(peer, wasConnected, EventLoop::now());
        this->programHooks.deadlineChanged();
    };
    hooks.left = [this](const InstanceId &peer) {
        this->relayHolder.entryLost(peer);
        this->programHooks.deadlineChanged();
    };
    return hooks;
}

bool SessionRelay::peerMessage(const InstanceId &peer, const Message &message)
{
    const TimePoint now = EventLoop::now();
    if (const auto *statement = std::get_if<RelayStatement>(&message))
        this->relayHolder.statement(peer, *statement);
    else if (const auto *answer = std::get_if<RelayAnswer>(&message))
        this->relayEntry.answered(peer, *answer, now);
    else if (const auto *open = std::get_if<RelayOpen>(&message))
        this->relayHolder.open(peer, *open);
    else if (const auto *close = std::get_if<RelayClose>(&message))
        this->relayHolder.close(peer, *close);
    else if (const auto *ended = std::get_if<RelayEnded>(&message))
        this->relayEntry.ended(peer, *ended, now);
    else if (const auto *ping = std::get_if<RelayPing>(&message)) {
        if (ping->isAnswer)
            this->relayEntry.ponged(peer, now);
        else
            this->peers.send(peer, "", RelayPing{true});
    } else {
        return false;
    }
    return true;
}

RelayEntryHooks SessionRelay::entryHooks()
{
    RelayEntryHooks hooks;
    hooks.send = [this](const PoolerPeer &holder, const RelayMessage &message) {
        this->peers.send(holder.instance, holder.address, toMessage(message));
    };
    hooks.drop = [this](const InstanceId &holder) {
        this->peers.drop(holder);
    };
    hooks.answer = [this](SessionNumber session, const StatementAnswer &answer) {
        if (answer.fault)
            this->programHooks.count(
                absl::StrCat("relay_fault_", std::string(nameOf(*answer.fault))));
        this->programHooks.answer(session, answer);
    };
    hooks.closeSession = [this](SessionNumber session) {
        this->programHooks.closeSession(session);
    };
    hooks.bindElsewhere = [this](const RelayedSession &session,
                                 std::vector<TextStatement> statements, bool mayRelay) {
        this->bindElsewhere(session, std::move(statements), mayRelay);
    };
    hooks.unreachable = [this](const InstanceId &holder, TimePoint until) {
        this->holders.markUnreachable(holder, until);
    };
    hooks.event = [this](std::string_view event, const PoolerEventFields &fields) {
        this->programHooks.event(event, fields);
    };
    return hooks;
}

RelayHolderHooks SessionRelay::holderHooks()
{
    RelayHolderHooks hooks;
    hooks.send = [this](const InstanceId &entry, const RelayMessage &message) {
        this->peers.send(entry, "", toMessage(message));
    };
    hooks.accepts = [this] {
        return !this->programHooks.isStopping()
               && this->pooler.authorityView().leaseValid(EventLoop::now());
    };
    hooks.opened = [this](SessionNumber session, const std::string &database,
                          const KeyDigest &key) {
        return this->pooler.sessionOpened(session, database, key, EventLoop::now());
    };
    hooks.statement = [this](SessionNumber session, TextStatement statement) {
        this->pooler.statement(session, std::move(statement), EventLoop::now());
    };
    hooks.closed = [this](SessionNumber session) {
        this->pooler.sessionClosed(session, EventLoop::now());
    };
    return hooks;
}

} // namespace rhubarbweir
