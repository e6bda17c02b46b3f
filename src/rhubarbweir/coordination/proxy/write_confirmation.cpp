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
        this->unheld.clear();
    this->term = currentTerm;
}

void WriteConfirmation::add(Ticket ticket, std::uint64_t writeTerm, const LogPosition &position)
{
    this->waiting[ticket] = {writeTerm, position};
}

void WriteConfirmation::remove(Ticket ticket)
{
    this->waiting.erase(ticket);
}

void WriteConfirmation::receive(const TargetStatus &status, TimePoint now)
{
    LogPosition &held = this->received[status.target];
    if (held < status.received)
        held = status.received;
    const bool isPrimary = status.role == TargetRole::Primary && status.received.term == this->term;
    const std::uint64_t majority = this->majorityPosition();
    while (!this->unheld.empty() && this->unheld.front().position <= majority)
        this->unheld.pop_front();
    if (!isPrimary || status.received.position <= majority)
        return;
    if (!this->unheld.empty() && now < this->unheld.back().seenAt + SampleSpacing)
        return;
    if (this->unheld.size() < MaxSamples)
        this->unheld.push_back({status.received.position, now});
}

std::vector<Ticket> WriteConfirmation::takeConfirmed()
{
    std::vector<Ticket> confirmed;
    for (const auto &[ticket, write] : this->waiting) {
        if (this->isHeld(write))
            confirmed.push_back(ticket);
    }
    for (const Ticket ticket : confirmed)
        this->waiting.erase(ticket);
    return confirmed;
}

std::vector<Ticket> WriteConfirmation::takeOvertaken()
{
    std::vector<Ticket> overtaken;
    for (const auto &[ticket, write] : this->waiting) {
        if (write.term < this->term)
            overtaken.push_back(ticket);
    }
    for (const Ticket ticket : overtaken)
        this->waiting.erase(ticket);
    return overtaken;
}

Duration WriteConfirmation::lag(TimePoint now) const
{
    if (this->unheld.empty())
        return Duration{0};
    return std::chrono::duration_cast<Duration>(now - this->unheld.front().seenAt);
}

bool WriteConfirmation::isHeld(const Waiting &write) const
{
    // A primary's answer in one term says nothing once the group moved to another.
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
