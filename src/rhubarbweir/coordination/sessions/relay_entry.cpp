// See relay_entry.hpp.
#include "rhubarbweir/coordination/sessions/relay_entry.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

// Interval of the checks for silent holders and overdue answers while statements are outstanding.
constexpr std::chrono::milliseconds CheckInterval{100};
// A holder that owes an answer and has sent nothing for this long is pinged.
constexpr std::chrono::milliseconds PingAfter{400};
// A holder that does not return a ping within this time is lost. Longer than most stalls of a
// processor.
constexpr std::chrono::milliseconds PongTimeout{700};
// How long a lost or refusing holder is not chosen.
constexpr std::chrono::milliseconds LostHolderBackoff{3000};
// The holder answers within the time limit of a statement, so an answer is overdue only after a bit
// more.
constexpr std::chrono::milliseconds AnswerMargin{500};

// Whether the statement may have had an effect once it was handed over. An uncommitted statement of
// a transaction has none.
bool mayHaveEffect(const TextStatement &statement, TransactionState state)
{
    switch (statement.kind) {
    case TextStatementKind::Commit:
        return true;
    case TextStatementKind::Write:
    case TextStatementKind::Execute:
        return state == TransactionState::None;
    default:
        return false;
    }
}

// State of the session after the statement succeeded.
TransactionState stateAfter(const TextStatement &statement, TransactionState state)
{
    if (statement.kind == TextStatementKind::Begin)
        return TransactionState::Open;
    const bool ends = statement.kind == TextStatementKind::Commit
                      || statement.kind == TextStatementKind::Rollback;
    return ends ? TransactionState::None : state;
}

} // namespace

RelayEntry::RelayEntry(RelayId firstRelay, RelayEntryHooks entryHooks)
    : lastRelay(firstRelay)
    , hooks(std::move(entryHooks))
{
}

RelayEntry::Relay *RelayEntry::find(SessionNumber session)
{
    const auto found = this->relayOf.find(session);
    return found == this->relayOf.end() ? nullptr : &this->relays.at(found->second);
}

const std::string *RelayEntry::databaseOf(SessionNumber session) const
{
    const auto found = this->relayOf.find(session);
    return found == this->relayOf.end() ? nullptr
                                        : &this->relays.at(found->second).session.database;
}

void RelayEntry::open(const RelayedSession &session, const PoolerPeer &holder, TimePoint now)
{
    const RelayId id = ++this->lastRelay;
    Relay relay;
    relay.session = session;
    relay.holder = holder;
    this->relays.emplace(id, std::move(relay));
    this->relayOf[session.number] = id;
    this->peers.emplace(holder.instance, Peer{now});
    const std::string key(session.key.bytes.begin(), session.key.bytes.end());
    this->hooks.send(holder, RelayOpen{id, session.database, OpaqueBytes(key)});
}

void RelayEntry::statement(SessionNumber session, TextStatement statement, Duration timeout,
                           TimePoint now)
{
    Relay *relay = this->find(session);
    if (relay == nullptr)
        return;
    const RelayId id = this->relayOf.at(session);
    if (relay->isLost) {
        StatementAnswer answer;
        answer.fault = StatementFault::Aborted;
        answer.detail = "holder lost";
        this->remove(id);
        this->hooks.answer(session, answer);
        this->hooks.closeSession(session);
        return;
    }
    relay->outstanding.push_back({statement, now, now + timeout + AnswerMargin});
    this->nextCheck = std::min(this->nextCheck, now + CheckInterval);
    this->hooks.send(relay->holder, RelayStatement{id, std::move(statement)});
}

void RelayEntry::callerClosed(SessionNumber session)
{
    const Relay *relay = this->find(session);
    if (relay == nullptr)
        return;
    const RelayId id = this->relayOf.at(session);
    if (!relay->isLost)
        this->hooks.send(relay->holder, RelayClose{id});
    this->remove(id);
}

void RelayEntry::remove(RelayId id)
{
    const auto found = this->relays.find(id);
    if (found == this->relays.end())
        return;
    this->relayOf.erase(found->second.session.number);
    this->relays.erase(found);
}

void RelayEntry::answered(const InstanceId &holder, const RelayAnswer &message, TimePoint now)
{
    this->ponged(holder, now);
    const auto found = this->relays.find(message.relay);
    if (found == this->relays.end() || found->second.outstanding.empty()
        || found->second.holder.instance != holder)
        return;
    Relay &relay = found->second;
    relay.isOpened = true;
    relay.state = message.answer.state;
    relay.outstanding.pop_front();
    const SessionNumber number = relay.session.number;
    const bool closes = this->closingWhenAnswered && relay.outstanding.empty();
    this->hooks.answer(number, message.answer);
    if (closes && this->holds(number))
        this->end(message.relay);
}

void RelayEntry::ended(const InstanceId &holder, const RelayEnded &message, TimePoint now)
{
    this->ponged(holder, now);
    const auto found = this->relays.find(message.relay);
    if (found == this->relays.end() || found->second.holder.instance != holder)
        return;
    if (message.reason != RelayEndReason::Closed && !found->second.isOpened) {
        const bool isLeaving = message.reason == RelayEndReason::Leaving;
        if (isLeaving)
            this->hooks.unreachable(holder, now + LostHolderBackoff);
        this->bindElsewhere(message.relay, isLeaving);
        return;
    }
    found->second.isLost = true;
    this->end(message.relay);
}

void RelayEntry::ponged(const InstanceId &holder, TimePoint now)
{
    const auto found = this->peers.find(holder);
    if (found == this->peers.end())
        return;
    found->second.heardAt = now;
    found->second.pingedAt = TimePoint::max();
}

void RelayEntry::bindElsewhere(RelayId id, bool mayRelay)
{
    const RelayedSession session = this->relays.at(id).session;
    std::vector<TextStatement> statements;
    for (Outstanding &each : this->relays.at(id).outstanding)
        statements.push_back(std::move(each.statement));
    this->remove(id);
    this->hooks.bindElsewhere(session, std::move(statements), mayRelay);
}

std::vector<RelayId> RelayEntry::relaysAt(const InstanceId &holder) const
{
    std::vector<RelayId> ids;
    for (const auto &[id, relay] : this->relays) {
        if (relay.holder.instance == holder)
            ids.push_back(id);
    }
    return ids;
}

void RelayEntry::peerLost(const InstanceId &holder, bool wasConnected, TimePoint now)
{
    this->peers.erase(holder);
    this->hooks.unreachable(holder, now + LostHolderBackoff);
    const std::vector<RelayId> ids = this->relaysAt(holder);
    this->hooks.event("relay_holder_lost", {{"holder", holder.value},
                                            {"connected", wasConnected ? "yes" : "no"},
                                            {"sessions", absl::StrCat(ids.size())}});
    for (const RelayId id : ids) {
        const auto found = this->relays.find(id);
        if (found == this->relays.end())
            continue;
        if (!wasConnected && !found->second.isOpened) {
            this->bindElsewhere(id, true);
            continue;
        }
        Relay &relay = found->second;
        relay.isLost = true;
        // A session that rests inside a transaction learns of the loss with its next statement.
        if (!relay.outstanding.empty() || relay.state == TransactionState::None)
            this->end(id);
    }
}

// Answers what is outstanding with faults that are true whatever the holder did.
void RelayEntry::answerLost(Relay &relay, StatementFault safeFault)
{
    const SessionNumber number = relay.session.number;
    // A commit that was sent without waiting for earlier answers may have kept what they did.
    bool hasEffect = false;
    TransactionState state = relay.state;
    for (const Outstanding &each : relay.outstanding) {
        hasEffect = hasEffect || mayHaveEffect(each.statement, state);
        state = stateAfter(each.statement, state);
    }
    state = relay.state;
    for (const Outstanding &each : std::exchange(relay.outstanding, {})) {
        StatementAnswer answer;
        answer.fault = hasEffect ? StatementFault::InDoubt : safeFault;
        answer.detail = "holder lost";
        state = stateAfter(each.statement, state);
        answer.state = state == TransactionState::None ? state : TransactionState::Failed;
        this->hooks.answer(number, answer);
    }
}

// Answers what is outstanding and closes the caller's session.
void RelayEntry::end(RelayId id)
{
    const auto found = this->relays.find(id);
    if (found == this->relays.end())
        return;
    Relay relay = std::move(found->second);
    this->remove(id);
    if (!relay.isLost)
        this->hooks.send(relay.holder, RelayClose{id});
    this->answerLost(relay, StatementFault::Aborted);
    this->hooks.closeSession(relay.session.number);
}

void RelayEntry::advance(TimePoint now)
{
    if (now < this->nextCheck)
        return;
    this->nextCheck = TimePoint::max();
    std::vector<RelayId> overdue;
    for (const auto &[id, relay] : this->relays) {
        if (relay.outstanding.empty())
            continue;
        this->nextCheck = now + CheckInterval;
        if (now >= relay.outstanding.front().deadline)
            overdue.push_back(id);
    }
    for (const RelayId id : overdue)
        this->end(id);
    this->checkPeers(now);
}

// Pings holders that owe an answer and have been silent, and drops those that do not return it.
void RelayEntry::checkPeers(TimePoint now)
{
    std::map<InstanceId, PoolerPeer> owing;
    for (const auto &[id, relay] : this->relays) {
        if (!relay.outstanding.empty() && now >= relay.outstanding.front().sentAt + PingAfter)
            owing.emplace(relay.holder.instance, relay.holder);
    }
    std::vector<InstanceId> silent;
    for (const auto &[instance, address] : owing) {
        const auto found = this->peers.find(instance);
        if (found == this->peers.end() || now < found->second.heardAt + PingAfter)
            continue;
        Peer &peer = found->second;
        if (peer.pingedAt == TimePoint::max()) {
            peer.pingedAt = now;
            this->hooks.send(address, RelayPing{});
        } else if (now >= peer.pingedAt + PongTimeout) {
            silent.push_back(instance);
        }
    }
    for (const InstanceId &instance : silent) {
        this->hooks.drop(instance);
        this->peerLost(instance, true, now);
    }
}

void RelayEntry::closeIdleSessions(std::size_t count)
{
    this->closeIdleSessions(count, [](const RelayedSession &, const PoolerPeer &) { return true; });
}

void RelayEntry::closeIdleSessions(std::size_t count, const Misplaced &isMisplaced)
{
    std::vector<RelayId> idle;
    for (const auto &[id, relay] : this->relays) {
        if (idle.size() >= count)
            break;
        if (relay.outstanding.empty() && relay.state == TransactionState::None
            && isMisplaced(relay.session, relay.holder))
            idle.push_back(id);
    }
    for (const RelayId id : idle)
        this->end(id);
}

void RelayEntry::closeWhenAnswered()
{
    this->closingWhenAnswered = true;
    std::vector<RelayId> answered;
    for (const auto &[id, relay] : this->relays) {
        if (relay.outstanding.empty())
            answered.push_back(id);
    }
    for (const RelayId id : answered)
        this->end(id);
}

void RelayEntry::closeAll()
{
    this->closingWhenAnswered = true;
    while (!this->relays.empty())
        this->end(this->relays.begin()->first);
}

} // namespace rhubarbweir
