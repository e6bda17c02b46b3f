// See holder_assignment.hpp.
#include "rhubarbweir/coordination/control/holder_assignment.hpp"

#include "rhubarbweir/state/rendezvous_score.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

const GrantHolder *findRun(const std::vector<GrantHolder> &holders, const GrantHolder &wanted)
{
    const auto found = std::find_if(holders.begin(), holders.end(), [&](const GrantHolder &each) {
        return each.proxy == wanted.proxy && each.incarnation == wanted.incarnation;
    });
    return found == holders.end() ? nullptr : &*found;
}

bool hasDomain(const std::vector<GrantHolder> &holders, const FailureDomainId &domain)
{
    return std::any_of(holders.begin(), holders.end(),
                       [&](const GrantHolder &each) { return each.failureDomain == domain; });
}

// Returns the best candidate that has not been chosen yet; null if there is none.
const GrantHolder *bestCandidate(const GroupId &group, const std::vector<GrantHolder> &chosen,
                                 const std::vector<GrantHolder> &candidates)
{
    const GrantHolder *best = nullptr;
    bool bestIsInNewDomain = false;
    std::uint64_t bestScore = 0;
    for (const GrantHolder &candidate : candidates) {
        if (findRun(chosen, candidate) != nullptr)
            continue;
        const bool isInNewDomain = !hasDomain(chosen, candidate.failureDomain);
        const std::uint64_t score = rendezvousScore(group.value, candidate.proxy);
        const bool isBetter =
            isInNewDomain != bestIsInNewDomain ? isInNewDomain : score > bestScore;
        if (best == nullptr || isBetter) {
            best = &candidate;
            bestIsInNewDomain = isInNewDomain;
            bestScore = score;
        }
    }
    return best;
}

} // namespace

std::vector<GrantHolder> chooseHolders(const GroupId &group, std::size_t count,
                                       const std::vector<GrantHolder> &present,
                                       const std::vector<GrantHolder> &candidates)
{
    std::vector<GrantHolder> chosen;
    for (const GrantHolder &holder : present) {
        const GrantHolder *candidate = findRun(candidates, holder);
        const bool isAnotherDomainOpen =
            candidate != nullptr && hasDomain(chosen, candidate->failureDomain)
            && std::any_of(candidates.begin(), candidates.end(), [&](const GrantHolder &each) {
                   return !hasDomain(chosen, each.failureDomain);
               });
        if (candidate != nullptr && chosen.size() < count && !isAnotherDomainOpen)
            chosen.push_back(*candidate);
    }
    while (chosen.size() < count) {
        const GrantHolder *next = bestCandidate(group, chosen, candidates);
        if (next == nullptr)
            break;
        chosen.push_back(*next);
    }
    for (GrantHolder &holder : chosen)
        holder.shares.clear();
    return chosen;
}

} // namespace rhubarbweir
