// See observer_reply.hpp.
#include "rhubarbweir/coordination/fleet/observer_reply.hpp"

#include <algorithm>
#include <chrono>

namespace rhubarbweir {

namespace {

// Several intervals at which a leader calls on the seeds, and at which instances ask to join.
constexpr std::chrono::seconds NamingDelay{2};

} // namespace

std::optional<QuorumJoinRedirect> redirectJoin(const QuorumJoin &join,
                                               const std::string &leaderAddress)
{
    if (leaderAddress.empty())
        return std::nullopt;
    QuorumJoinRedirect redirect;
    redirect.header.toIncarnation = join.header.fromIncarnation;
    redirect.leader = {InstanceId(leaderAddress), leaderAddress, {}};
    return redirect;
}

FounderNaming::FounderNaming(const std::string &selfAddress,
                             const std::vector<std::string> &seedAddresses, TimePoint startedAt)
    : names(!seedAddresses.empty()
            && *std::min_element(seedAddresses.begin(), seedAddresses.end()) == selfAddress)
    , namesFrom(startedAt + NamingDelay)
{
}

QuorumBootstrapAnswer FounderNaming::answer(const QuorumJoin &join, TimePoint now)
{
    const InstanceId &asking = join.peer.instance;
    const std::uint64_t askingAs = join.header.fromIncarnation;
    if (this->named == asking && this->incarnation != askingAs)
        this->named = {};
    if (this->names && this->named.empty() && now >= this->namesFrom && join.mayBootstrap) {
        this->named = asking;
        this->incarnation = askingAs;
    }
    QuorumBootstrapAnswer answer;
    answer.header.toIncarnation = askingAs;
    answer.isObserver = true;
    answer.promised = !asking.empty() && this->named == asking;
    return answer;
}

} // namespace rhubarbweir
