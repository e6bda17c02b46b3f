// See write_confirmation.hpp.
#include "rhubarbweir/coordination/proxy/write_confirmation.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

constexpr std::size_t MaxSamples = 256;
constexpr Duration SampleSpacing = std::chrono::milliseconds(20);

} // namespace

void WriteConfirmation::setGroup(std::uint32_t size, std::uint64_t currentTerm,
                                 std::vector<TargetId> members)
{
    this->groupSize = size;
    this->targets = std::move(members);
    if (currentTerm != this->term)
        this->unconfirmed.clear();
    this->term = currentTerm;
}

void WriteConfirmation::add(Ticket ticket, std::uint64_t writeTerm, const LogPosition &position)
{
    this->pendingWrites[ticket] = {writeTerm, position};
}

void WriteConfirmation::remove(Ticket ticket)
{
    this->pendingWrites.erase(ticket);
}

void WriteConfirmation::receive(const TargetStatus &status, TimePoint now)
{
    LogPosition &held = this->received[status.target];
    if (held < status.received)
        held = status.received;
    const bool isPrimary = status.role == TargetRole::Primary && status.received.term == this->term;
    const std::uint64_t majority = this->majorityPosition();
    while (!this->unconfirmed.empty() && this->unconfirmed.front().position <= majority)
        this->unconfirmed.pop_front();
    if (!isPrimary || status.received.position <= majority)
        return;
    if (!this->unconfirmed.empty() && now < this->unconfirmed.back().seenAt + SampleSpacing)
        return;
    if (this->unconfirmed.size() < MaxSamples)
        this->unconfirmed.push_back({status.received.position, now});
}

std::vector<Ticket> WriteConfirmation::takeConfirmed()
{
    std::vector<Ticket> confirmed;
    for (const auto &[ticket, write] : this->pendingWrites) {
        if (this->isConfirmed(write))
            confirmed.push_back(ticket);
    }
    for (const Ticket ticket : confirmed)
        this->pendingWrites.erase(ticket);
    return confirmed;
}

std::vector<Ticket> WriteConfirmation::takeSuperseded()
{
    std::vector<Ticket> superseded;
    for (const auto &[ticket, write] : this->pendingWrites) {
        if (write.term < this->term)
            superseded.push_back(ticket);
    }
    for (const Ticket ticket : superseded)
        this->pendingWrites.erase(ticket);
    return superseded;
}

Duration WriteConfirmation::replicationLag(TimePoint now) const
{
    if (this->unconfirmed.empty())
        return Duration{0};
    return std::chrono::duration_cast<Duration>(now - this->unconfirmed.front().seenAt);
}

bool WriteConfirmation::isConfirmed(const PendingWrite &write) const
{
    // A write of an earlier term may have been lost in the failover.
    return write.term == this->term && write.position.position <= this->majorityPosition();
}

std::uint64_t WriteConfirmation::majorityPosition() const
{
    std::vector<std::uint64_t> positions;
    for (const TargetId &target : this->targets) {
        const auto held = this->received.find(target);
        if (held != this->received.end() && held->second.term == this->term)
            positions.push_back(held->second.position);
    }
    const std::size_t majority = this->groupSize / 2 + 1;
    if (positions.size() < majority)
        return 0;
    std::sort(positions.begin(), positions.end(), std::greater<>());
    return positions[majority - 1];
}

} // namespace rhubarbweir
