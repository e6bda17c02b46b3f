// The side of a relayed session that has the caller's connection. It passes the caller's statements
// on to the holder, which runs the session, and passes the answers back.
//
// A statement that was handed to a link may have run. If the link or the holder is lost then, a
// write or commit is answered as in doubt and is never sent again. The session's values and
// prepared statements are lost with the holder, so the caller's session is closed as well.
#pragma once

#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/coordination/sessions/pooler_settings.hpp"
#include "rhubarbweir/coordination/sessions/relay_messages.hpp"
#include "rhubarbweir/state/key_digest.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbweir {

// What a session needs to be opened at a holder.
struct RelayedSession
{
    SessionNumber number = 0;
    std::string database;
    KeyDigest key;
};

struct RelayEntryHooks
{
    // Connects to the holder first if necessary. A failure is reported through peerLost().
    std::function<void(const PoolerPeer &, const RelayMessage &)> send;
    // Closes the link to a silent holder; peerLost() is not called for it.
    std::function<void(const InstanceId &)> drop;
    std::function<void(SessionNumber, const StatementAnswer &)> answer;
    std::function<void(SessionNumber)> closeSession;
    // The holder did not open the session. It is bound to another one if `mayRelay`, or else served
    // here, and the statements are given to it again.
    std::function<void(const RelayedSession &, std::vector<TextStatement>, bool mayRelay)>
        bindElsewhere;
    // The holder is not to be chosen for a while.
    std::function<void(const InstanceId &, TimePoint until)> unreachable;
    std::function<void(std::string_view event, const PoolerEventFields &)> event;
};

class RelayEntry
{
public:
    // `firstRelay`: a random number of the process, from which relay ids are counted.
    RelayEntry(RelayId firstRelay, RelayEntryHooks hooks);

    void open(const RelayedSession &session, const PoolerPeer &holder, TimePoint now);
    bool holds(SessionNumber session) const { return this->relayOf.count(session) != 0; }
    // Null for a session that is not relayed.
    const std::string *databaseOf(SessionNumber session) const;
    // `timeout`: time limit of the statement at the holder.
    void statement(SessionNumber session, TextStatement statement, Duration timeout, TimePoint now);
    void callerClosed(SessionNumber session);

    // Messages of holders.
    void answered(const InstanceId &holder, const RelayAnswer &message, TimePoint now);
    void ended(const InstanceId &holder, const RelayEnded &message, TimePoint now);
    void ponged(const InstanceId &holder, TimePoint now);
    // The link closed, or could not be opened if not `wasConnected`.
    void peerLost(const InstanceId &holder, bool wasConnected, TimePoint now);

    void advance(TimePoint now);
    // When advance() is due.
    TimePoint nextDeadline() const { return this->nextCheck; }

    std::size_t sessionCount() const { return this->relays.size(); }
    // Closes up to `count` sessions without a statement or transaction.
    void closeIdleSessions(std::size_t count);
    // The same for those that `isMisplaced` names, by session and holder.
    using Misplaced = std::function<bool(const RelayedSession &, const PoolerPeer &)>;
    void closeIdleSessions(std::size_t count, const Misplaced &isMisplaced);
    // Closes all sessions that wait for no answer.
    void closeWhenAnswered();
    // Answers all statements with a fault and closes all sessions.
    void closeAll();

private:
    struct Outstanding
    {
        TextStatement statement;
        TimePoint sentAt;
        TimePoint deadline;
    };

    struct Relay
    {
        RelayedSession session;
        PoolerPeer holder;
        // Whether the holder has answered, so that it opened the session.
        bool isOpened = false;
        // After the last answer.
        TransactionState state = TransactionState::None;
        // In the order of sending.
        std::deque<Outstanding> outstanding;
        // The holder is lost. The next statement is answered as aborted.
        bool isLost = false;
    };

    struct Peer
    {
        TimePoint heardAt;
        // When the oldest unanswered ping was sent; max() for none.
        TimePoint pingedAt = TimePoint::max();
    };

    Relay *find(SessionNumber session);
    void remove(RelayId relay);
    std::vector<RelayId> relaysAt(const InstanceId &holder) const;
    void answerLost(Relay &relay, StatementFault safeFault);
    void end(RelayId relay);
    void bindElsewhere(RelayId relay, bool mayRelay);
    void checkPeers(TimePoint now);

    RelayId lastRelay;
    RelayEntryHooks hooks;
    std::map<RelayId, Relay> relays;
    std::map<SessionNumber, RelayId> relayOf;
    // Holders with a relay or a link.
    std::map<InstanceId, Peer> peers;
    bool closingWhenAnswered = false;
    TimePoint nextCheck = TimePoint::max();
};

} // namespace rhubarbweir
