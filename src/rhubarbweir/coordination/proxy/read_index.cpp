// See read_index.hpp.
#include "rhubarbweir/coordination/proxy/read_index.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// Rounds run at least so often, for the freshness of bounded reads and the health of targets.
constexpr Duration RoundInterval = std::chrono::milliseconds(100);
// How long a round with a majority waits for the rest: more answers prove a lower index, which
// more replicas cover.
constexpr Duration Grace = std::chrono::milliseconds(5);

} // namespace

void ReadIndex::setGroup(std::uint32_t groupSize, std::uint64_t currentTerm,
                         std::vector<TargetId> members)
{
    const bool termMoved = currentTerm != this->term;
    this->size = groupSize;
    this->term = currentTerm;
    this->targets = std::move(members);
    if (!termMoved)
        return;
    // Answers of another term prove nothing about this one; reads still wait for a round.
    this->wanted = true;
    this->isOpen = false;
    this->graceEnd = TimePoint::max();
}

bool ReadIndex::isDue(TimePoint now) const
{
    if (this->isOpen)
        return now >= this->open.startedAt + RoundInterval;
    return this->wanted || now >= this->nextRoundAt;
}

void ReadIndex::start(std::uint64_t probeId, TimePoint now)
{
    this->open = {probeId, now, LogPosition{}};
    this->answers.clear();
    this->isOpen = true;
    this->wanted = false;
    this->graceEnd = TimePoint::max();
    this->nextRoundAt = now + RoundInterval;
}

void ReadIndex::receive(const TargetStatus &status, TimePoint now)
{
    if (!this->isOpen || status.probeId != this->open.probeId || status.adoptedTerm != this->term)
        return;
    if (std::find(this->targets.begin(), this->targets.end(), status.target) == this->targets.end())
        return;
    this->answers[status.target] = status.received;
    if (this->hasMajority())
        this->graceEnd = std::min(this->graceEnd, now + Grace);
}

std::optional<ReadIndexRound> ReadIndex::takeCompleted(TimePoint now)
{
    if (!this->isOpen || !this->hasMajority())
        return std::nullopt;
    if (this->answers.size() < this->targets.size() && now < this->graceEnd)
        return std::nullopt;
    this->open.index = this->leastIndex();
    this->isOpen = false;
    this->graceEnd = TimePoint::max();
    return this->open;
}

TimePoint ReadIndex::nextDeadline() const
{
    if (!this->isOpen)
        return this->nextRoundAt;
    return std::min(this->graceEnd, this->open.startedAt + RoundInterval);
}

bool ReadIndex::hasMajority() const
{
    return this->answers.size() > this->size / 2;
}

LogPosition ReadIndex::leastIndex() const
{
    // A confirmed write is held by a majority, so every majority of answers has a member that
    // holds it. The majority with the least positions gives the lowest index.
    std::vector<LogPosition> positions;
    for (const auto &[target, received] : this->answers)
        positions.push_back(received);
    std::sort(positions.begin(), positions.end());
    return positions[this->size / 2];
}

} // namespace rhubarbweir
