// See domain_distances.hpp.
#include "rhubarbweir/coordination/sessions/domain_distances.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

// Below the round trip between regions (30 ms), and above the time that a target in the same region
// takes to accept a connection (14 ms) when another one has answered at once.
constexpr std::chrono::milliseconds DistantBy{20};
// A domain with fewer times than this is not judged, because all of them may contain long work.
constexpr unsigned RequiredTimes = 4;
// A larger time replaces the smallest one only if it was the smallest of a window with at least
// RequiredInWindow times. Longer than a typical overload, in which no answer is quick.
constexpr std::chrono::seconds WindowLength{120};
constexpr unsigned RequiredInWindow = 32;

} // namespace

DomainDistances::DomainDistances(FailureDomainId domain)
    : own(std::move(domain))
{
}

bool DomainDistances::record(const FailureDomainId &domain, Duration took, TimePoint now)
{
    Times &times = this->timesByDomain[domain];
    const Duration before = times.smallest;
    if (now >= times.windowEnd) {
        if (times.countInWindow >= RequiredInWindow)
            times.smallest = times.smallestInWindow;
        times.smallestInWindow = Duration::max();
        times.countInWindow = 0;
        times.windowEnd = now + WindowLength;
    }
    times.smallest = std::min(times.smallest, took);
    times.smallestInWindow = std::min(times.smallestInWindow, took);
    ++times.countInWindow;
    times.count = std::min(times.count + 1, RequiredTimes + 1);
    return (times.smallest != before || times.count == RequiredTimes) && this->update();
}

bool DomainDistances::update()
{
    this->nearest = Duration::max();
    for (const auto &[domain, times] : this->timesByDomain) {
        if (times.count >= RequiredTimes)
            this->nearest = std::min(this->nearest, times.smallest);
    }
    std::set<FailureDomainId> next;
    for (const auto &[domain, times] : this->timesByDomain) {
        if (domain != this->own && times.count >= RequiredTimes
            && times.smallest - this->nearest >= DistantBy)
            next.insert(domain);
    }
    const bool changed = next != this->distant;
    this->distant = std::move(next);
    return changed;
}

Duration DomainDistances::extraRoundTrip(const FailureDomainId &domain) const
{
    return this->isDistant(domain) ? this->timesByDomain.at(domain).smallest - this->nearest
                                   : Duration::zero();
}

} // namespace rhubarbweir
