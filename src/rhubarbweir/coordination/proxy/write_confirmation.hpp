// Writes that ran and wait until a majority of their group holds them.
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
    // Waits for `position`, answered by the primary of `term`.
    void add(Ticket ticket, std::uint64_t term, const LogPosition &position);
    void remove(Ticket ticket);
    void receive(const TargetStatus &status, TimePoint now);

    // Removes and returns the writes that a majority holds in the current term.
    std::vector<Ticket> takeConfirmed();
    // Removes and returns the writes of terms before the current one; their outcome is open.
    std::vector<Ticket> takeOvertaken();

    // Age of the oldest position of the primary that no majority holds yet; 0 when none.
    Duration lag(TimePoint now) const;
    std::size_t pending() const { return this->waiting.size(); }

private:
    struct Waiting
    {
        std::uint64_t term = 0;
        LogPosition position;
    };
    struct PrimarySample
    {
        std::uint64_t position = 0;
        TimePoint seenAt;
    };

    bool isHeld(const Waiting &write) const;
    // Greatest position of the current term that a majority holds.
    std::uint64_t majorityPosition() const;

    std::uint32_t groupSize = 3;
    std::uint64_t term = 0;
    std::vector<TargetId> targets;
    std::map<Ticket, Waiting> waiting;
    // What each member durably received; a fact of the past stays true within its term.
    std::map<TargetId, LogPosition> received;
    // Positions of the primary that no majority held yet, oldest first; bounded.
    std::deque<PrimarySample> unheld;
};

} // namespace rhubarbweir
