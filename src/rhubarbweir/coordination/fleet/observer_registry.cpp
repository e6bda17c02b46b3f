// See observer_registry.hpp.
#include "rhubarbweir/coordination/fleet/observer_registry.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

// Limit on registered observers.
constexpr std::size_t MaxObservers = 64;
// A few times the interval at which observers ask.
constexpr std::chrono::milliseconds ObserverSilence{1500};
constexpr std::chrono::milliseconds CallInterval{300};
// Longer than an outage of a whole site is expected to last.
constexpr std::chrono::minutes ObserverRetention{10};

} // namespace

ObserverRegistry::ObserverRegistry(const FleetState &fleetState,
                                   ObserverRegistryPorts registryPorts)
    : state(fleetState)
    , ports(std::move(registryPorts))
{
}

void ObserverRegistry::beginLeadership(TimePoint now)
{
    this->leadsSince = now;
    this->nextCall = now;
    this->lastHeard.clear();
}

void ObserverRegistry::heard(const std::string &address, TimePoint now)
{
    const bool isKnown = this->state.observers().count(address) != 0;
    if (!isKnown && this->state.observers().size() < MaxObservers && !address.empty())
        this->ports.propose(RegisterObserver{address}, now);
    this->lastHeard[address] = now;
}

void ObserverRegistry::advance(TimePoint now)
{
    if (now < this->nextCall)
        return;
    this->nextCall = now + CallInterval;
    std::vector<std::string> forgotten;
    for (const std::string &address : this->state.observers()) {
        const auto heardAt = this->lastHeard.find(address);
        const TimePoint since =
            heardAt == this->lastHeard.end() ? this->leadsSince : heardAt->second;
        if (now >= since + ObserverRetention)
            forgotten.push_back(address);
        else if (heardAt == this->lastHeard.end() || now >= since + ObserverSilence)
            this->ports.call(address);
    }
    for (const std::string &seed : this->ports.otherSeeds()) {
        if (this->state.observers().count(seed) == 0)
            this->ports.call(seed);
    }
    for (const std::string &address : forgotten)
        this->ports.propose(ForgetObserver{address}, now);
}

} // namespace rhubarbweir
