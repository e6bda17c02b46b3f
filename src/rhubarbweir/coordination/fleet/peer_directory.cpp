// See peer_directory.hpp.
#include "rhubarbweir/coordination/fleet/peer_directory.hpp"

#include <algorithm>
#include <functional>
#include <string>

namespace rhubarbweir {

namespace {

// Most poolers return to a new leader within this time. Without peers, every pooler opens
// connections of its own.
constexpr std::chrono::milliseconds ReturnTime{1000};
// Collects poolers that come and go together.
constexpr std::chrono::milliseconds RebuildInterval{1000};

} // namespace

PeerDirectory::PeerDirectory(const LeaseTracker &leaseTracker)
    : leases(leaseTracker)
{
}

void PeerDirectory::beginLeadership(TimePoint now)
{
    this->knownFrom = now + ReturnTime;
    this->rebuildAt = this->knownFrom;
    this->peersByDomain.clear();
}

std::optional<PoolerPeers> PeerDirectory::changesFor(const FailureDomainId &domain,
                                                     std::uint64_t heldVersion, TimePoint now)
{
    if (now < this->knownFrom)
        return std::nullopt;
    if (now >= this->rebuildAt)
        this->rebuild(now);
    const auto found = this->peersByDomain.find(domain);
    if (found == this->peersByDomain.end() || found->second.version == heldVersion)
        return std::nullopt;
    return found->second;
}

void PeerDirectory::rebuild(TimePoint now)
{
    this->rebuildAt = now + RebuildInterval;
    this->peersByDomain.clear();
    for (const auto &[run, lease] : this->leases.all()) {
        const bool isLive = lease.connection != 0 && !lease.isRetired && !lease.draining
                            && now < lease.endsAt && !lease.address.empty();
        if (isLive)
            this->peersByDomain[lease.failureDomain].peers.push_back({run.proxy, lease.address});
    }
    for (auto &[domain, peers] : this->peersByDomain) {
        std::string content = std::to_string(this->peersByDomain.size());
        for (const PoolerPeer &peer : peers.peers)
            content += "/" + peer.instance.value + "=" + peer.address;
        peers.version = std::max<std::uint64_t>(1, std::hash<std::string>()(content));
        peers.failureDomains = static_cast<std::uint32_t>(this->peersByDomain.size());
    }
}

} // namespace rhubarbweir
