// See holder_placement.hpp.
#include "rhubarbweir/coordination/sessions/holder_placement.hpp"

#include "rhubarbweir/state/rendezvous_score.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace rhubarbweir {

namespace {

// Load of a pooler, in percent of the mean, that keys of different weights may reach. Without room
// above the mean, the loss of one pooler moves more than a quarter of the keys of the others.
constexpr std::uint64_t SpreadPercent = 120;

} // namespace

HolderPlacement::HolderPlacement(std::vector<HolderDemand> allDemands,
                                 std::vector<InstanceId> allPoolers)
    : demands(std::move(allDemands))
    , poolers(std::move(allPoolers))
    , placed(this->demands.size())
    , loads(this->poolers.size())
{
    if (this->poolers.empty())
        return;
    for (HolderDemand &each : this->demands) {
        each.weight = std::max<std::uint64_t>(1, each.weight);
        each.holders =
            static_cast<std::uint32_t>(std::min<std::size_t>(each.holders, this->poolers.size()));
    }
    std::sort(this->demands.begin(), this->demands.end(),
              [](const HolderDemand &a, const HolderDemand &b) {
                  return std::tie(b.weight, a.key) < std::tie(a.weight, b.key);
              });
    for (std::size_t index = 0; index < this->demands.size(); ++index)
        this->demandOf.emplace(this->demands[index].key, index);
    this->capacity = this->capacityOfPooler();
    std::vector<std::size_t> unplaced;
    for (std::size_t first = 0; first < this->demands.size();) {
        std::size_t last = first;
        while (last < this->demands.size()
               && this->demands[last].weight == this->demands[first].weight)
            ++last;
        const std::vector<std::size_t> rest = this->placeEqualWeights(first, last);
        unplaced.insert(unplaced.end(), rest.begin(), rest.end());
        first = last;
    }
    for (const std::size_t demand : unplaced)
        this->placeAtLeastLoaded(demand);
}

const std::vector<std::size_t> &HolderPlacement::holders(const std::string &key) const
{
    static const std::vector<std::size_t> none;
    const auto found = this->demandOf.find(key);
    return found == this->demandOf.end() ? none : this->placed[found->second];
}

std::size_t HolderPlacement::substitute(const std::string &key,
                                        const std::function<bool(std::size_t)> &isUsable) const
{
    const auto found = this->demandOf.find(key);
    const std::uint64_t weight =
        found == this->demandOf.end() ? 1 : this->demands[found->second].weight;
    std::size_t best = this->poolers.size();
    std::pair<bool, std::uint64_t> bestRank;
    for (std::size_t pooler = 0; pooler < this->poolers.size(); ++pooler) {
        if (!isUsable(pooler))
            continue;
        const std::pair<bool, std::uint64_t> rank(this->freePlaces(pooler, weight) > 0,
                                                  rendezvousScore(key, this->poolers[pooler]));
        if (best == this->poolers.size() || rank > bestRank) {
            best = pooler;
            bestRank = rank;
        }
    }
    return best;
}

// Mean load of the poolers without those that a single heavier key fills, rounded up to a whole
// number of the lightest keys. Somewhat more if the other weights differ.
std::uint64_t HolderPlacement::capacityOfPooler() const
{
    std::uint64_t total = 0;
    for (const HolderDemand &each : this->demands)
        total += each.weight * each.holders;
    std::uint64_t count = this->poolers.size();
    std::uint64_t heaviest = 0;
    for (const HolderDemand &each : this->demands) {
        std::uint32_t left = each.holders;
        for (; left > 0 && count > 1 && each.weight * count > total; --left) {
            total -= each.weight;
            --count;
        }
        if (left > 0)
            heaviest = std::max(heaviest, each.weight);
    }
    const std::uint64_t lightest = this->demands.empty() ? 1 : this->demands.back().weight;
    if (heaviest > lightest)
        total = total * SpreadPercent / 100;
    return (total + count * lightest - 1) / (count * lightest) * lightest;
}

// Number of keys of this weight that the pooler still takes.
std::size_t HolderPlacement::freePlaces(std::size_t pooler, std::uint64_t weight) const
{
    const std::uint64_t load = this->loads[pooler];
    if (load == 0)
        return std::max<std::uint64_t>(1, this->capacity / weight);
    return load < this->capacity ? (this->capacity - load) / weight : 0;
}

// Places demands of equal weight by deferred acceptance: each chooses the pooler with the next
// lower score, and a full pooler keeps those with the highest scores. This gives the same result as
// sorting all pairs by score, in less time. Returns the demands that found no room, once for each
// missing holder.
std::vector<std::size_t> HolderPlacement::placeEqualWeights(std::size_t first, std::size_t last)
{
    const std::uint64_t weight = this->demands[first].weight;
    const std::size_t width = this->poolers.size();
    std::vector<std::uint64_t> scores((last - first) * width);
    std::vector<std::size_t> waiting;
    for (std::size_t demand = first; demand < last; ++demand) {
        for (std::size_t pooler = 0; pooler < width; ++pooler)
            scores[(demand - first) * width + pooler] =
                rendezvousScore(this->demands[demand].key, this->poolers[pooler]);
        waiting.insert(waiting.end(), this->demands[demand].holders, demand);
    }
    std::vector<std::size_t> places(width);
    for (std::size_t pooler = 0; pooler < width; ++pooler)
        places[pooler] = this->freePlaces(pooler, weight);
    // The score of the last choice of each demand. All choices of a demand differ, so its holders
    // do.
    std::vector<std::uint64_t> lastScores(last - first, std::numeric_limits<std::uint64_t>::max());
    std::vector<std::vector<Choice>> accepted(width);
    std::vector<std::size_t> unplaced;
    while (!waiting.empty()) {
        const std::size_t demand = waiting.back();
        waiting.pop_back();
        std::uint64_t &lastScore = lastScores[demand - first];
        std::size_t chosen = width;
        std::uint64_t best = 0;
        for (std::size_t pooler = 0; pooler < width; ++pooler) {
            const std::uint64_t score = scores[(demand - first) * width + pooler];
            if (places[pooler] > 0 && score < lastScore && (chosen == width || score > best)) {
                chosen = pooler;
                best = score;
            }
        }
        if (chosen == width) {
            unplaced.push_back(demand);
            continue;
        }
        lastScore = best;
        std::vector<Choice> &kept = accepted[chosen];
        kept.push_back({best, demand});
        if (kept.size() <= places[chosen])
            continue;
        const auto lowest =
            std::min_element(kept.begin(), kept.end(),
                             [](const Choice &a, const Choice &b) { return a.score < b.score; });
        waiting.push_back(lowest->demand);
        kept.erase(lowest);
    }
    for (std::size_t pooler = 0; pooler < width; ++pooler) {
        this->loads[pooler] += accepted[pooler].size() * weight;
        for (const Choice &each : accepted[pooler])
            this->placed[each.demand].push_back(pooler);
    }
    std::sort(unplaced.begin(), unplaced.end());
    return unplaced;
}

// Places one more holder of a demand that fits nowhere, so that the load exceeds the capacity by no
// more than its weight.
void HolderPlacement::placeAtLeastLoaded(std::size_t demand)
{
    std::vector<std::size_t> &holders = this->placed[demand];
    std::size_t best = this->poolers.size();
    std::uint64_t bestScore = 0;
    for (std::size_t pooler = 0; pooler < this->poolers.size(); ++pooler) {
        if (std::find(holders.begin(), holders.end(), pooler) != holders.end())
            continue;
        const std::uint64_t score =
            rendezvousScore(this->demands[demand].key, this->poolers[pooler]);
        const bool isBetter = best == this->poolers.size()
                              || this->loads[pooler] < this->loads[best]
                              || (this->loads[pooler] == this->loads[best] && score > bestScore);
        if (isBetter) {
            best = pooler;
            bestScore = score;
        }
    }
    if (best == this->poolers.size())
        return;
    holders.push_back(best);
    this->loads[best] += this->demands[demand].weight;
}

} // namespace rhubarbweir
