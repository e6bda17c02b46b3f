// See read_index.hpp.
#include "rhubarbweir/coordination/proxy/read_index.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// A round starts at least this often: bounded reads need recent positions, and the answers show
// that targets are alive.
constexpr Duration RoundInterval = std::chrono::milliseconds(100);
// How long a round waits for further members after a majority answered. More answers prove a lower
// index, which more replicas cover.
constexpr Duration StragglerGrace = std::chrono::milliseconds(5);

} // namespace

void ReadIndex::setGroup(std::uint32_t groupSize, std::uint64_t currentTerm,
                         std::vector<TargetId> members)
{
    const bool termChanged = currentTerm != this->term;
    this->size = groupSize;
    this->term = currentTerm;
    this->targets = std::move(members);
    if (!termChanged)
        return;
    // Answers of another term prove nothing about this one, so the open round is abandoned and a
    // new one requested for the reads that wait.
    this->isRoundRequested = true;
    this->isRoundOpen = false;
    this->graceEnd = TimePoint::max();
}

bool ReadIndex::isDue(TimePoint now) const
{
    if (this->isRoundOpen)
        return now >= this->openRound.startedAt + RoundInterval;
    return this->isRoundRequested || now >= this->nextRoundAt;
}

void ReadIndex::startRound(std::uint64_t probeId, TimePoint now)
{
    this->openRound = {probeId, now, LogPosition{}};
    this->answers.clear();
    this->isRoundOpen = true;
    this->isRoundRequested = false;
    this->graceEnd = TimePoint::max();
    this->nextRoundAt = now + RoundInterval;
}

void ReadIndex::receive(const TargetStatus &status, TimePoint now)
{
    if (!this->isRoundOpen || status.probeId != this->openRound.probeId
        || status.adoptedTerm != this->term)
        return;
    if (std::find(this->targets.begin(), this->targets.end(), status.target) == this->targets.end())
        return;
    this->answers[status.target] = status.received;
    if (this->hasMajority())
        this->graceEnd = std::min(this->graceEnd, now + StragglerGrace);
}

std::optional<ReadIndexRound> ReadIndex::takeCompleted(TimePoint now)
{
    if (!this->isRoundOpen || !this->hasMajority())
        return std::nullopt;
    if (this->answers.size() < this->targets.size() && now < this->graceEnd)
        return std::nullopt;
    this->openRound.index = this->lowestIndex();
    this->isRoundOpen = false;
    this->graceEnd = TimePoint::max();
    return this->openRound;
}

TimePoint ReadIndex::nextDeadline() const
{
    if (!this->isRoundOpen)
        return this->nextRoundAt;
    return std::min(this->graceEnd, this->openRound.startedAt + RoundInterval);
}

bool ReadIndex::hasMajority() const
{
    return this->answers.size() > this->size / 2;
}

LogPosition ReadIndex::lowestIndex() const
{
    // A confirmed write is held by a majority, so any majority of answers includes a member that
    // holds it. The majority with the lowest positions gives the lowest index.
    std::vector<LogPosition> positions;
    for (const auto &[target, received] : this->answers)
        positions.push_back(received);
    std::sort(positions.begin(), positions.end());
    return positions[this->size / 2];
}

} // namespace rhubarbweir
