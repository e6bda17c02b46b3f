// The leader's table of the newest known position of each group's primary, from poolers' reports.
//
// A large fleet spreads a group's statements so thinly that a pooler seldom talks to the primary
// itself. Without a recent position it could serve no read from a replica.
//
// Ages travel instead of times, as no two clocks agree. The leader counts an age from when it sent
// the answer that the report confirms, and a pooler from when it sent its renewal. Both are earlier
// than the age was taken, so delays only make a position look older than it is.
//
// A pooler that was sent a position keeps it with its time, so that only what changed has to be
// sent on the same connection.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"
#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/state/fleet_state.hpp"

#include <map>
#include <vector>

namespace rhubarbweir {

class PositionTable
{
public:
    explicit PositionTable(const FleetState &state);

    void clear();
    // An answer with `sequence` is being sent on the connection.
    void answerSent(ConnectionId connection, std::uint64_t sequence, TimePoint now);
    void connectionClosed(ConnectionId connection);
    // Ignores a report that does not confirm the connection's last answer, and positions of another
    // authority generation. What was ignored because of the answer makes the next one complete, as
    // the pooler takes it for known.
    void report(ConnectionId connection, const PositionReport &report);
    // Positions that are recent enough to be of use.
    std::vector<GroupPosition> positions(TimePoint now) const;
    // Those of them that changed since the last call for the connection, except by its own reports.
    std::vector<GroupPosition> takeChanges(ConnectionId connection, TimePoint now);

private:
    // What a connection was sent.
    struct Answer
    {
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        // Changes up to this one.
        std::uint64_t change = 0;
    };
    struct Known
    {
        std::uint64_t generation = 0;
        LogPosition position;
        // Every commit confirmed before this is covered.
        TimePoint asOf;
        // Number of the change that set the position, and the connection that reported it.
        std::uint64_t change = 0;
        ConnectionId reporter = 0;
    };

    std::vector<GroupPosition> changesAfter(std::uint64_t change, ConnectionId receiver,
                                            TimePoint now) const;
    bool isCurrent(const GroupId &group, std::uint64_t generation) const;

    const FleetState &state;
    std::map<ConnectionId, Answer> lastAnswers;
    std::map<GroupId, Known> known;
    std::uint64_t lastChange = 0;
};

} // namespace rhubarbweir
