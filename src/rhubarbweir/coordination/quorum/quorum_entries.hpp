// In-memory log entries of one instance, after the entry at which the log was last compacted.
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
    // Discards all entries; the next one appended follows entry (index, term).
    void reset(std::uint64_t index, std::uint64_t term, const QuorumMembership &membership);
    void append(QuorumEntry entry);
    // Removes the entry at `index` and all later ones.
    void truncateFrom(std::uint64_t index);
    // Removes the entries up to and including `index`, which must be present.
    void dropUpTo(std::uint64_t index);

    std::uint64_t firstIndex() const { return this->baseIndex + 1; }
    std::uint64_t lastIndex() const { return this->baseIndex + this->entries.size(); }
    std::uint64_t lastTerm() const { return *this->termAt(this->lastIndex()); }
    // nullopt for an index outside [firstIndex() - 1, lastIndex()].
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    const QuorumEntry &at(std::uint64_t index) const;
    // Entries from `from` on, limited by both bounds. Returns at least one entry if any exists,
    // even if it exceeds `maxBytes`.
    std::vector<QuorumEntry> slice(std::uint64_t from, std::size_t maxEntries,
                                   std::size_t maxBytes) const;
    // Payload bytes of the entries after `index`.
    std::size_t bytesAfter(std::uint64_t index) const;
    // The first of the entries before and including `index` that together stay within both bounds;
    // index + 1 if none does.
    std::uint64_t trailingFrom(std::uint64_t index, std::uint64_t maxEntries,
                               std::size_t maxBytes) const;
    // The latest membership at or before `index`.
    const QuorumMembership &membershipAt(std::uint64_t index) const;
    // Index of the entry that set membershipAt(index), or firstIndex() - 1 if that entry was
    // removed.
    std::uint64_t membershipIndexAt(std::uint64_t index) const;

private:
    // Consecutive indexes, starting at baseIndex + 1.
    std::deque<QuorumEntry> entries;
    std::uint64_t baseIndex = 0;
    std::uint64_t baseTerm = 0;
    // Membership at baseIndex.
    QuorumMembership baseMembership;
    // Indexes of the entries of kind Membership, in order.
    std::deque<std::uint64_t> membershipIndexes;
};

} // namespace rhubarbweir
