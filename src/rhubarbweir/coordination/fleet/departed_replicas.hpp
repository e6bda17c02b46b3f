// The leader's list of replicas whose logs a survey cannot ask for: those that left, and those that
// started again and may have lost their log. In a synchronous group they may alone hold a confirmed
// commit.
//
// After the number of confirming replicas was raised, the primary may alone hold commits that were
// confirmed before, in the same way.
//
// The log of a target that left passes to the next target at its address, which is then asked in
// its place. Until then a candidate is known to hold what the departed replica held only if its log
// reaches a position that the primary had after the replica was gone.
#pragma once

#include "rhubarbweir/coordination/fleet/fleet_settings.hpp"
#include "rhubarbweir/state/fleet_state.hpp"

#include <map>
#include <optional>
#include <vector>

namespace rhubarbweir {

class DepartedReplicas
{
public:
    DepartedReplicas(const FleetSettings &settings, const FleetState &state);

    // Begins with all targets that have left; when they did is not known.
    void beginLeadership(TimePoint now);
    // The record of a target has changed; `before` is empty if it was unknown.
    void recorded(const std::optional<RegisteredTarget> &before, const RegisteredTarget &after,
                  TimePoint now);
    // From now on more replicas hold a commit of the group before it is confirmed.
    void confirmationRaised(const GroupId &group, TimePoint now);
    // A target that has left called once more, so it may still receive.
    void calledAgain(const TargetId &target, TimePoint now);
    // Whether a position of the group's primary would show what the departed replicas cannot
    // exceed. It is asked for repeatedly, as a target may take over a log and receive on it for a
    // while before it announces itself.
    bool awaitsPosition(const GroupId &group, TimePoint now) const;
    // The group's primary was asked after awaitsPosition() held, and has this position.
    void positionKnown(const GroupId &group, const LogPosition &position, TimePoint now);
    // Those that may hold commits of the group beyond `best`: departed replicas, until the next
    // target at the address is registered, and the former primary. Empty after
    // FleetSettings::lastResortTimeout.
    std::vector<TargetId> mayExceed(const GroupId &group, const LogPosition &best,
                                    TimePoint now) const;

private:
    struct Departure
    {
        GroupId group;
        // It receives nothing after this.
        TimePoint endsAt;
        TimePoint forgetAt;
        // The latest known position of the primary after `endsAt`, or the first one after a raise.
        std::optional<LogPosition> bound;
    };

    bool isGone(const TargetId &target, const Departure &departure, TimePoint now) const;
    static bool takesBound(const Departure &departure, TimePoint now);
    void add(const RegisteredTarget &target, TimePoint endsAt, TimePoint now);

    const FleetSettings &settings;
    const FleetState &state;
    std::map<TargetId, Departure> departures;
    // Groups whose number of confirming replicas was raised, as if another replica had departed.
    std::map<GroupId, Departure> raised;
};

} // namespace rhubarbweir
