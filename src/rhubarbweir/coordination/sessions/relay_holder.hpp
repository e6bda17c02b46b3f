// The side of a relayed session that runs it: an ordinary session of this pooler, whose caller is
// another pooler.
#pragma once

#include "rhubarbweir/coordination/sessions/pooler_settings.hpp"
#include "rhubarbweir/coordination/sessions/relay_messages.hpp"
#include "rhubarbweir/state/key_digest.hpp"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace rhubarbweir {

struct RelayHolderHooks
{
    // Sends to a pooler that has a link to this one; dropped if it has none.
    std::function<void(const InstanceId &, const RelayMessage &)> send;
    // False while this pooler takes no sessions of others.
    std::function<bool()> accepts;
    std::function<SessionOpening(SessionNumber, const std::string &database, const KeyDigest &)>
        opened;
    std::function<void(SessionNumber, TextStatement)> statement;
    std::function<void(SessionNumber)> closed;
};

class RelayHolder
{
public:
    explicit RelayHolder(RelayHolderHooks hooks);

    // Whether the session belongs to another pooler's caller.
    static bool isRelayed(SessionNumber session) { return (session & RelayedBit) != 0; }

    // Messages of the pooler that has the caller.
    void open(const InstanceId &entry, const RelayOpen &message);
    void statement(const InstanceId &entry, const RelayStatement &message);
    void close(const InstanceId &entry, const RelayClose &message);
    // The entry's link closed: its callers' sessions end.
    void entryLost(const InstanceId &entry);

    // Events of a session of this pooler.
    void answer(SessionNumber session, const StatementAnswer &answer);
    void sessionClosed(SessionNumber session);

private:
    // Distinguishes sessions of other poolers' callers from own ones.
    static constexpr SessionNumber RelayedBit = SessionNumber{1} << 63U;

    using Key = std::pair<InstanceId, RelayId>;

    RelayHolderHooks hooks;
    std::map<Key, SessionNumber> sessions;
    std::map<SessionNumber, Key> keys;
    SessionNumber lastNumber = 0;
};

} // namespace rhubarbweir
