// See position_table.hpp.
#include "rhubarbweir/coordination/fleet/position_table.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

// Older positions are left out. Longer than the staleness that callers usually accept.
constexpr std::chrono::seconds MaxPositionAge{5};

} // namespace

PositionTable::PositionTable(const FleetState &fleetState)
    : state(fleetState)
{
}

void PositionTable::clear()
{
    this->lastAnswers.clear();
    this->known.clear();
}

void PositionTable::answerSent(ConnectionId connection, std::uint64_t sequence, TimePoint now)
{
    Answer &answer = this->lastAnswers[connection];
    answer.sequence = sequence;
    answer.sentAt = now;
}

void PositionTable::connectionClosed(ConnectionId connection)
{
    this->lastAnswers.erase(connection);
}

bool PositionTable::isCurrent(const GroupId &group, std::uint64_t generation) const
{
    const PrimaryAuthority *authority = this->state.authority(group);
    return authority != nullptr && !authority->primary.empty()
           && authority->generation == generation;
}

void PositionTable::report(ConnectionId connection, const PositionReport &report)
{
    const auto answer = this->lastAnswers.find(connection);
    if (answer == this->lastAnswers.end())
        return;
    if (answer->second.sequence != report.answered) {
        answer->second.change = 0;
        return;
    }
    for (const GroupPosition &each : report.positions) {
        if (!this->isCurrent(each.group, each.generation) || each.age < Duration::zero())
            continue;
        const TimePoint asOf = answer->second.sentAt - each.age;
        Known &entry = this->known[each.group];
        if (entry.generation == each.generation && asOf <= entry.asOf)
            continue;
        entry = {each.generation, each.position, asOf, ++this->lastChange, connection};
    }
}

std::vector<GroupPosition> PositionTable::positions(TimePoint now) const
{
    return this->changesAfter(0, 0, now);
}

std::vector<GroupPosition> PositionTable::takeChanges(ConnectionId connection, TimePoint now)
{
    Answer &answer = this->lastAnswers[connection];
    return this->changesAfter(std::exchange(answer.change, this->lastChange), connection, now);
}

std::vector<GroupPosition> PositionTable::changesAfter(std::uint64_t change, ConnectionId receiver,
                                                       TimePoint now) const
{
    std::vector<GroupPosition> recent;
    for (const auto &[group, entry] : this->known) {
        const bool isNews = entry.change > change && (change == 0 || entry.reporter != receiver);
        const bool isRecent = now < entry.asOf + MaxPositionAge;
        if (isNews && isRecent && this->isCurrent(group, entry.generation))
            recent.push_back({group, entry.generation, entry.position,
                              std::chrono::duration_cast<Duration>(now - entry.asOf)});
    }
    return recent;
}

} // namespace rhubarbweir
