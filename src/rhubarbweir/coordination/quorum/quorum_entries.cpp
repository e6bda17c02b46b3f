// See quorum_entries.hpp.
#include "rhubarbweir/coordination/quorum/quorum_entries.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace rhubarbweir {

void QuorumEntries::reset(std::uint64_t index, std::uint64_t term,
                          const QuorumMembership &membership)
{
    this->entries.clear();
    this->baseIndex = index;
    this->baseTerm = term;
    this->baseMembership = membership;
    this->membershipIndexes.clear();
}

void QuorumEntries::append(QuorumEntry entry)
{
    assert(entry.index == this->lastIndex() + 1);
    if (entry.kind == EntryKind::Membership)
        this->membershipIndexes.push_back(entry.index);
    this->entries.push_back(std::move(entry));
}

void QuorumEntries::truncateFrom(std::uint64_t index)
{
    while (this->lastIndex() >= index && !this->entries.empty())
        this->entries.pop_back();
    while (!this->membershipIndexes.empty() && this->membershipIndexes.back() >= index)
        this->membershipIndexes.pop_back();
}

void QuorumEntries::dropUpTo(std::uint64_t index)
{
    while (!this->entries.empty() && this->firstIndex() <= index) {
        QuorumEntry &front = this->entries.front();
        this->baseIndex = front.index;
        this->baseTerm = front.term;
        if (front.kind == EntryKind::Membership) {
            this->baseMembership = std::move(front.membership);
            this->membershipIndexes.pop_front();
        }
        this->entries.pop_front();
    }
}

std::optional<std::uint64_t> QuorumEntries::termAt(std::uint64_t index) const
{
    if (index == this->baseIndex)
        return this->baseTerm;
    if (index < this->baseIndex || index > this->lastIndex())
        return std::nullopt;
    return this->at(index).term;
}

const QuorumEntry &QuorumEntries::at(std::uint64_t index) const
{
    return this->entries.at(index - this->firstIndex());
}

std::vector<QuorumEntry> QuorumEntries::slice(std::uint64_t from, std::size_t maxEntries,
                                              std::size_t maxBytes) const
{
    std::vector<QuorumEntry> result;
    std::size_t bytes = 0;
    for (std::uint64_t index = std::max(from, this->firstIndex()); index <= this->lastIndex();
         ++index) {
        const QuorumEntry &entry = this->at(index);
        bytes += entry.payload.bytes.size();
        if (!result.empty() && (bytes > maxBytes || result.size() >= maxEntries))
            break;
        result.push_back(entry);
    }
    return result;
}

std::size_t QuorumEntries::bytesAfter(std::uint64_t index) const
{
    std::size_t bytes = 0;
    for (std::uint64_t next = std::max(index + 1, this->firstIndex()); next <= this->lastIndex();
         ++next)
        bytes += this->at(next).payload.bytes.size();
    return bytes;
}

std::uint64_t QuorumEntries::trailingFrom(std::uint64_t index, std::uint64_t maxEntries,
                                          std::size_t maxBytes) const
{
    std::uint64_t first = index + 1;
    std::size_t bytes = 0;
    while (first > this->firstIndex() && index + 1 - first < maxEntries) {
        bytes += this->at(first - 1).payload.bytes.size();
        if (bytes > maxBytes)
            break;
        --first;
    }
    return first;
}

const QuorumMembership &QuorumEntries::membershipAt(std::uint64_t index) const
{
    const std::uint64_t found = this->membershipIndexAt(index);
    return found == this->baseIndex ? this->baseMembership : this->at(found).membership;
}

std::uint64_t QuorumEntries::membershipIndexAt(std::uint64_t index) const
{
    for (auto found = this->membershipIndexes.rbegin(); found != this->membershipIndexes.rend();
         ++found) {
        if (*found <= index)
            return *found;
    }
    return this->baseIndex;
}

} // namespace rhubarbweir
