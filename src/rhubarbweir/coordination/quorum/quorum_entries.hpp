// The entries of one instance in memory: the tail behind the newest snapshot.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_entry.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace rhubarbweir {

class QuorumEntries
{
public:
    // Starts anew behind entry (index, term).
    void reset(std::uint64_t index, std::uint64_t term, const QuorumMembership &membership);
    void append(QuorumEntry entry);
    // Drops entries from `index` on.
    void truncateFrom(std::uint64_t index);
    // Drops entries up to `index`, which must be present.
    void dropUpTo(std::uint64_t index);

    std::uint64_t firstIndex() const { return this->baseIndex + 1; }
    std::uint64_t lastIndex() const { return this->baseIndex + this->entries.size(); }
    std::uint64_t lastTerm() const { return *this->termAt(this->lastIndex()); }
    // Absent for an index outside [firstIndex() - 1, lastIndex()].
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    const QuorumEntry &at(std::uint64_t index) const;
    // Entries from `from` on within the bounds; at least one when there is one.
    std::vector<QuorumEntry> slice(std::uint64_t from, std::size_t maxEntries,
                                   std::size_t maxBytes) const;
    // The newest membership at or before `index`, and the index that set it (at the earliest the
    // base: firstIndex() - 1).
    const QuorumMembership &membershipAt(std::uint64_t index) const;
    std::uint64_t membershipIndexAt(std::uint64_t index) const;

private:
    // Entries are baseIndex + 1, baseIndex + 2, ... without gaps.
    std::deque<QuorumEntry> entries;
    std::uint64_t baseIndex = 0;
    std::uint64_t baseTerm = 0;
    // In force at baseIndex.
    QuorumMembership baseMembership;
    // Indexes of the entries of kind Membership, in order.
    std::deque<std::uint64_t> membershipIndexes;
};

} // namespace rhubarbweir
