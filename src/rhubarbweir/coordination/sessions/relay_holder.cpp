// See relay_holder.hpp.
#include "rhubarbweir/coordination/sessions/relay_holder.hpp"

#include <algorithm>
#include <vector>

namespace rhubarbweir {

RelayHolder::RelayHolder(RelayHolderHooks holderHooks)
    : hooks(std::move(holderHooks))
{
}

void RelayHolder::open(const InstanceId &entry, const RelayOpen &message)
{
    const Key key(entry, message.relay);
    if (this->sessions.count(key) != 0)
        return;
    KeyDigest digest;
    const bool isWhole = message.key.bytes.size() == digest.bytes.size();
    if (isWhole)
        std::copy(message.key.bytes.begin(), message.key.bytes.end(), digest.bytes.begin());
    const SessionNumber number = RelayedBit | ++this->lastNumber;
    if (!this->hooks.accepts()) {
        this->hooks.send(entry, RelayEnded{message.relay, RelayEndReason::Leaving});
        return;
    }
    if (!isWhole
        || this->hooks.opened(number, message.database, digest) != SessionOpening::Opened) {
        this->hooks.send(entry, RelayEnded{message.relay, RelayEndReason::Refused});
        return;
    }
    this->sessions[key] = number;
    this->keys[number] = key;
}

void RelayHolder::statement(const InstanceId &entry, const RelayStatement &message)
{
    const auto found = this->sessions.find(Key(entry, message.relay));
    // The session was refused or has ended, and the entry has been told.
    if (found != this->sessions.end())
        this->hooks.statement(found->second, message.statement);
}

void RelayHolder::close(const InstanceId &entry, const RelayClose &message)
{
    const auto found = this->sessions.find(Key(entry, message.relay));
    if (found == this->sessions.end())
        return;
    const SessionNumber number = found->second;
    this->sessions.erase(found);
    this->keys.erase(number);
    this->hooks.closed(number);
}

void RelayHolder::entryLost(const InstanceId &entry)
{
    std::vector<RelayId> relays;
    for (auto each = this->sessions.lower_bound(Key(entry, 0));
         each != this->sessions.end() && each->first.first == entry; ++each)
        relays.push_back(each->first.second);
    for (const RelayId relay : relays)
        this->close(entry, RelayClose{relay});
}

void RelayHolder::answer(SessionNumber session, const StatementAnswer &answer)
{
    const auto found = this->keys.find(session);
    if (found != this->keys.end())
        this->hooks.send(found->second.first, RelayAnswer{found->second.second, answer});
}

void RelayHolder::sessionClosed(SessionNumber session)
{
    const auto found = this->keys.find(session);
    if (found == this->keys.end())
        return;
    const Key key = found->second;
    this->sessions.erase(key);
    this->keys.erase(found);
    this->hooks.send(key.first, RelayEnded{key.second, RelayEndReason::Closed});
}

} // namespace rhubarbweir
