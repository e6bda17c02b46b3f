// Replies of a control instance without a disk, which has no part in the quorum log.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_messages.hpp"
#include "rhubarbweir/state/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace rhubarbweir {

// Sends an instance that asks to join on to the leader at the internal address, which is also its
// identity. Absent if no leader is known.
std::optional<QuorumJoinRedirect> redirectJoin(const QuorumJoin &join,
                                               const std::string &leaderAddress);

// The part of an observer in the first start of a cluster, as long as it knows no leader. It tells
// each instance that asks to join that it is an observer. If it has the smallest address among the
// seeds, it also names one of them as the founder, who acts on it only where all seeds are
// observers.
//
// The founder is kept for good, as it may have founded the cluster before it fell silent. Only its
// return with another data folder shows that it has not. An observer forgets it with its memory, so
// it names nobody at first: a leader calls on the seeds several times within that delay.
class FounderNaming
{
public:
    FounderNaming(const std::string &selfAddress, const std::vector<std::string> &seedAddresses,
                  TimePoint startedAt);

    QuorumBootstrapAnswer answer(const QuorumJoin &join, TimePoint now);
    // A leader was heard, so nobody is named any more.
    void leaderHeard() { this->names = false; }
    // Empty if none is named.
    const InstanceId &founder() const { return this->named; }

private:
    bool names = false;
    TimePoint namesFrom;
    InstanceId named;
    std::uint64_t incarnation = 0;
};

} // namespace rhubarbweir
