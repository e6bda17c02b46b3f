// The leader's registry of observers: control instances without a disk, which hold no state and
// send callers on to the leader.
//
// An observer that lost its memory knows only the instances named in its settings, and these may
// all be observers. Their addresses are therefore in the replicated state, and the leader calls on
// those it has not heard. At the first start it also calls on its seeds, as they may know nobody.
#pragma once

#include "rhubarbweir/coordination/fleet/pooler_registry.hpp"

#include <map>
#include <string>
#include <vector>

namespace rhubarbweir {

struct ObserverRegistryPorts
{
    std::function<void(const FleetCommand &, TimePoint now)> propose;
    std::function<void(const std::string &address)> call;
    // Seeds of this instance that are no members of the quorum. May be empty.
    std::function<std::vector<std::string>()> otherSeeds;
};

class ObserverRegistry
{
public:
    ObserverRegistry(const FleetState &state, ObserverRegistryPorts ports);

    // Resets the registry when this instance becomes the leader.
    void beginLeadership(TimePoint now);
    // An observer at the internal address asked for the leader.
    void heard(const std::string &address, TimePoint now);
    // Calls on silent observers and removes those that have been silent for long.
    void advance(TimePoint now);

private:
    const FleetState &state;
    ObserverRegistryPorts ports;
    TimePoint leadsSince;
    TimePoint nextCall;
    std::map<std::string, TimePoint> lastHeard;
};

} // namespace rhubarbweir
