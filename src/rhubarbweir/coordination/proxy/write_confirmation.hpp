// Tracks executed writes until a majority of their group holds them.
#pragma once

#include "rhubarbweir/coordination/proxy/admission_queue.hpp"
#include "rhubarbweir/coordination/proxy/target_messages.hpp"

#include <deque>
#include <map>
#include <vector>

namespace rhubarbweir {

class WriteConfirmation
{
public:
    void setGroup(std::uint32_t size, std::uint64_t currentTerm, std::vector<TargetId> members);
    // Adds a write that the primary of `term` executed at `position`.
    void add(Ticket ticket, std::uint64_t term, const LogPosition &position);
    void remove(Ticket ticket);
    void receive(const TargetStatus &status, TimePoint now);

    // Removes and returns the writes that a majority holds in the current term.
    std::vector<Ticket> takeConfirmed();
    // Removes and returns the writes of earlier terms, whose outcome is unknown.
    std::vector<Ticket> takeSuperseded();

    // Age of the oldest position of the primary that no majority holds yet; 0 if none.
    Duration replicationLag(TimePoint now) const;
    std::size_t pendingCount() const { return this->pendingWrites.size(); }

private:
    struct PendingWrite
    {
        std::uint64_t term = 0;
        LogPosition position;
    };
    struct PrimarySample
    {
        std::uint64_t position = 0;
        TimePoint seenAt;
    };

    bool isConfirmed(const PendingWrite &write) const;
    // Highest position of the current term that a majority holds; 0 if none.
    std::uint64_t majorityPosition() const;

    std::uint32_t groupSize = 3;
    std::uint64_t term = 0;
    std::vector<TargetId> targets;
    std::map<Ticket, PendingWrite> pendingWrites;
    // Highest durable position reported by each member; it does not decrease within a term.
    std::map<TargetId, LogPosition> received;
    // Samples of the primary's position that no majority holds yet, oldest first; bounded.
    std::deque<PrimarySample> unconfirmed;
};

} // namespace rhubarbweir
