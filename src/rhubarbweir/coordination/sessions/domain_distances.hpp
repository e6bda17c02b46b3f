// Learns which failure domains are in another region, from the times that their targets take to
// answer.
//
// The smallest time of a domain is an upper bound of its round trip, because it also contains work
// and queues. So a domain counts as distant only if all its recent times exceed the smallest one of
// another domain by more than work and queues explain.
#pragma once

#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/time.hpp"

#include <cstddef>
#include <map>
#include <set>

namespace rhubarbweir {

class DomainDistances
{
public:
    // `domain` is this pooler's own one, which is never distant.
    explicit DomainDistances(FailureDomainId domain);

    // A target in the domain accepted a connection or answered a command after `took`. True when
    // the set of distant domains changed.
    bool record(const FailureDomainId &domain, Duration took, TimePoint now);
    bool isDistant(const FailureDomainId &domain) const { return this->distant.count(domain) != 0; }
    // How much longer a round trip to the domain takes than one in this region; zero unless the
    // domain is distant.
    Duration extraRoundTrip(const FailureDomainId &domain) const;
    // Domains from which there was any time.
    std::size_t domainCount() const { return this->timesByDomain.size(); }
    const std::set<FailureDomainId> &distantDomains() const { return this->distant; }

private:
    struct Times
    {
        // The smallest time of the last complete window with enough times, or a later smaller one.
        Duration smallest = Duration::max();
        unsigned count = 0;
        // Of the window that ends at `windowEnd`.
        Duration smallestInWindow = Duration::max();
        unsigned countInWindow = 0;
        TimePoint windowEnd;
    };

    bool update();

    FailureDomainId own;
    std::map<FailureDomainId, Times> timesByDomain;
    // The smallest time of any domain that has enough times.
    Duration nearest = Duration::max();
    std::set<FailureDomainId> distant;
};

} // namespace rhubarbweir
