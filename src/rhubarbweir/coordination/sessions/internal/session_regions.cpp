// See session_pooler.hpp. This file: targets in other regions.
#include "rhubarbweir/coordination/sessions/session_pooler.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace rhubarbweir {

// Removes the targets of other regions while a replica in this region can serve the read in time.
// The primary is no reason to stay, because it also has all writes; it is ranked by delay.
void SessionPooler::keepInRegion(const PendingStatement &pending, std::vector<RankedTarget> &ranked,
                                 TimePoint now) const
{
    const DomainDistances &distances = this->targetTracker.distances();
    const bool mayLeave =
        now
        >= pending.arrivedAt + pending.route.latencyObjective / this->settings.regionStayDivisor;
    if (distances.distantDomains().empty() || pending.needsPrimary || mayLeave)
        return;
    const bool hasReplica =
        std::any_of(ranked.begin(), ranked.end(), [this, &pending, now](const RankedTarget &each) {
            return this->mayServeInRegion(pending, each, now);
        });
    if (!hasReplica)
        return;
    const auto isDistant = [this, &distances](const RankedTarget &each) {
        return distances.isDistant(this->targetTracker.find(each.second)->target.failureDomain);
    };
    ranked.erase(std::remove_if(ranked.begin(), ranked.end(), isDistant), ranked.end());
}

// Whether the target is a replica in this region that is expected to answer within the objective
// and to which there is a connection or may be one.
bool SessionPooler::mayServeInRegion(const PendingStatement &pending, const RankedTarget &ranked,
                                     TimePoint now) const
{
    const auto &[delay, id] = ranked;
    const TargetRecord &record = *this->targetTracker.find(id);
    return !this->targetTracker.distances().isDistant(record.target.failureDomain)
           && id != this->view.knownPrimary(pending.route.group)
           && now + delay <= pending.arrivedAt + pending.route.latencyObjective
           && (!record.connections.empty() || now >= record.connectBlockedUntil);
}

void SessionPooler::logDistances()
{
    const std::set<FailureDomainId> &distant = this->targetTracker.distances().distantDomains();
    if (distant == this->loggedDistant)
        return;
    this->loggedDistant = distant;
    PoolerEventFields fields = {{"own", this->settings.failureDomain.value}};
    for (const FailureDomainId &domain : distant) {
        const Duration extra = this->targetTracker.distances().extraRoundTrip(domain);
        fields.emplace_back("distant", domain.value);
        fields.emplace_back("extra_us", absl::StrCat(extra.count()));
    }
    this->hooks.event("distant_domains", fields, false);
}

} // namespace rhubarbweir
