// Places keys on poolers by rendezvous hashing with bounded loads.
//
// Plain rendezvous hashing gives some poolers several of few keys and others none. Here a pooler
// takes keys only up to about the mean load. Heavier keys choose first. Among keys of equal weight,
// the pair of key and pooler with the highest score is placed first: after a loss this moves about
// half as many keys as placing one key after the other.
//
// The result depends only on the sets of keys and poolers, not on their order or on earlier
// results.
#pragma once

#include "rhubarbweir/state/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rhubarbweir {

struct HolderDemand
{
    std::string key;
    // Estimated load of each holder of the key, in any unit; at least 1.
    std::uint64_t weight = 1;
    // Number of poolers that hold the key.
    std::uint32_t holders = 1;
};

class HolderPlacement
{
public:
    // Takes linear time in keys times poolers, plus a scan of the poolers for each refused choice.
    HolderPlacement(std::vector<HolderDemand> demands, std::vector<InstanceId> poolers);

    // Indexes of the poolers that hold the key. Empty for a key that was not placed, and without
    // poolers.
    const std::vector<std::size_t> &holders(const std::string &key) const;
    // Index of the pooler that serves the key while no holder of it is usable: the one with the
    // highest score that has room, or else with the highest score. The number of poolers if none is
    // usable.
    std::size_t substitute(const std::string &key,
                           const std::function<bool(std::size_t)> &isUsable) const;

private:
    struct Choice
    {
        std::uint64_t score = 0;
        std::size_t demand = 0;
    };

    std::uint64_t capacityOfPooler() const;
    std::size_t freePlaces(std::size_t pooler, std::uint64_t weight) const;
    std::vector<std::size_t> placeEqualWeights(std::size_t first, std::size_t last);
    void placeAtLeastLoaded(std::size_t demand);

    // By falling weight, then by key.
    std::vector<HolderDemand> demands;
    std::vector<InstanceId> poolers;
    // By demand and by pooler.
    std::vector<std::vector<std::size_t>> placed;
    std::vector<std::uint64_t> loads;
    // Load up to which a pooler takes keys. A heavier key gets a pooler of its own.
    std::uint64_t capacity = 0;
    std::map<std::string, std::size_t> demandOf;
};

} // namespace rhubarbweir
